// Package messenger implements remote procedure calls between entry VMs over net/rpc and defines their messages.
package messenger

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/ugorji/go/codec"

	"github.com/anvildyke/anvildyke/internal/balancer"
	"github.com/anvildyke/anvildyke/internal/blackboard"
	"github.com/anvildyke/anvildyke/internal/classifier"
	"github.com/anvildyke/anvildyke/internal/connector"
	"github.com/anvildyke/anvildyke/internal/recorder"
	"github.com/anvildyke/anvildyke/internal/storeclient"
)

// Names of the methods that entry VMs call on each other, as sent on the wire.
const (
	MethodSearch     = "Owner.Search"
	MethodCollect    = "Owner.Collect"
	MethodCancel     = "Owner.Cancel"
	MethodRun        = "Owner.Run"
	MethodHeartbeat  = "Peer.Heartbeat"
	MethodRelease    = "Peer.Release"
	MethodExchange   = "Peer.Exchange"
	MethodFetchParts = "Peer.FetchParts"
	MethodEvents     = "Peer.Events"
	MethodQuery      = "Entry.Query"
	MethodFollow     = "Feed.Follow"
	MethodMoves      = "Moves.Exchange"
	MethodCrashes    = "Crashes.Exchange"
)

// SubRequest is one sub-request of a batch.
type SubRequest struct {
	// ID is unique within the request of the caller.
	ID      uint32
	Replica string
	Shard   int
	// Extra is set for a hedge or a retry.
	Extra bool
}

// SearchRequest asks an owner to run sub-requests on replicas that it holds.
type SearchRequest struct {
	Stamp       recorder.Stamp
	RequestID   string
	Application string
	Route       string
	Fingerprint uint64
	Snapshot    uint64
	Limit       int
	Body        []byte
	// Remaining is the time until the deadline, measured when the message was sent.
	Remaining time.Duration
	// Succeeded is set if the entry VM has recently received an answer to an equal request. Such a request is not refused during
	// the cooldown after a crash, because it was only running at the same time as the request that crashed the server.
	Succeeded bool
	// Canary is set for the first sub-request of a request that has not succeeded recently. Equal canaries run one at a time.
	Canary bool
	// SoftWait is how long the owner waits for answers before it replies with those that have arrived.
	SoftWait time.Duration
	Subs     []SubRequest
}

// Hit is one document of a search result.
type Hit struct {
	ID    string
	Score float64
	Body  []byte
}

// SubResponse is the outcome of one sub-request.
type SubResponse struct {
	ID    uint32
	Shard int
	// Code is OK if the backend server answered the sub-request.
	Code classifier.Code
	// Searched is the number of parts of the shard that were searched, Total the number of all its parts.
	Searched int
	Total    int
	// Of is the number of shards of the snapshot, as reported by the backend server.
	Of int
	// Latency is the time from sending the sub-request to the backend server to receiving its answer.
	Latency time.Duration
	// Holder is the name of the VM that holds the replica. It is set only with the code NotOwner and may be empty.
	Holder string
}

// SearchReply is an owner's reply to a SearchRequest or a CollectRequest.
type SearchReply struct {
	Stamp recorder.Stamp
	// Hits contains the Limit best hits of Answers in descending order of their scores, then in order of their IDs.
	Hits    []Hit
	Answers []SubResponse
	// Pending contains the IDs of the sub-requests that are still running. Token identifies them in a CollectRequest or a
	// CancelRequest. It is 0 if Pending is empty.
	Pending []uint32
	Token   uint64
	// Held is set if a pending canary has not been proved safe yet: it is waiting for an equal canary to end, or its connection
	// broke and the owner is checking whether the backend server crashed.
	Held bool
}

// CollectRequest asks for further answers of a batch. The owner replies when at least one more sub-request is done or Wait has
// elapsed.
type CollectRequest struct {
	Stamp recorder.Stamp
	Token uint64
	Wait  time.Duration
}

// CancelRequest cancels sub-requests whose answers are no longer needed. Answers of a cancelled sub-request may be discarded.
type CancelRequest struct {
	Stamp recorder.Stamp
	Token uint64
	Subs  []uint32
}

// CancelReply acknowledges a cancellation.
type CancelReply struct {
	Stamp recorder.Stamp
}

// RunRequest asks an owner to send an operation once to one replica that it holds.
type RunRequest struct {
	Stamp       recorder.Stamp
	RequestID   string
	OperationID string
	Application string
	Route       string
	Replica     string
	Shard       int
	Key         string
	Fingerprint uint64
	Body        []byte
	Remaining   time.Duration
}

// RunReply is the outcome of an operation. Code is OK, a code for which NotRun returns true, or the code of an unknown outcome.
type RunReply struct {
	Stamp  recorder.Stamp
	Code   classifier.Code
	Body   []byte
	Holder string
}

// HeartbeatRequest asks the successor of the replicas to extend the leases of the sender on them.
type HeartbeatRequest struct {
	Stamp    recorder.Stamp
	From     string
	Replicas []string
	// Incarnation identifies the process of the sender.
	Incarnation uint64
	// To is the incarnation of the receiver that the request is meant for. A process with another incarnation grants nothing.
	To uint64
	// Terms contains the lease term of each replica. It increases with every change of the successor or the holder.
	Terms []uint64
}

// HeartbeatReply lists the leases that the successor has granted or taken over.
type HeartbeatReply struct {
	Stamp recorder.Stamp
	// Incarnation identifies the process of the receiver.
	Incarnation uint64
	// Taken contains the replicas that the receiver itself holds under a higher term.
	Taken []string
	// Granted contains the replicas whose lease is extended. The lease of a replica that the successor has taken over is not
	// granted.
	Granted []string
}

// ReleaseKind is the purpose of a ReleaseRequest.
type ReleaseKind uint8

// Kinds of release requests.
const (
	// ReleaseAcquire is sent by the VM that ranks first for the replicas in order to hold them. A released replica is one that
	// the receiver has no right to use.
	ReleaseAcquire ReleaseKind = iota + 1
	// ReleaseRecall is sent by the holder and ends the receiver's role as successor. A released replica is one that the receiver
	// no longer has a right to use as successor.
	ReleaseRecall
	// ReleaseProbe is sent by the successor of a holder whose heartbeats are missing. A released replica is one for which the
	// receiver is not the holder or does not use the sender as its successor.
	ReleaseProbe
	// ReleaseCancel withdraws the sender's earlier reply to a ReleaseAcquire. A released replica is one for which the receiver
	// does not rely on that reply.
	ReleaseCancel
	// ReleaseShutdown announces that the sender no longer uses any replica and is about to stop. The reply lists all replicas of
	// the request as released.
	ReleaseShutdown
)

// ReleaseRequest transfers the right to use replicas between VMs of an availability zone.
type ReleaseRequest struct {
	Stamp    recorder.Stamp
	From     string
	Replicas []string
	Kind     ReleaseKind
	// Incarnation identifies the process of the sender.
	Incarnation uint64
	// Terms contains one number per replica: the lease term for ReleaseRecall and ReleaseProbe, the number of the round for
	// ReleaseAcquire and ReleaseCancel.
	Terms []uint64
}

// ReleaseReply lists the replicas that the receiver has released. The constants of ReleaseKind describe what a released replica
// is for each kind of request.
type ReleaseReply struct {
	Stamp    recorder.Stamp
	Released []string
	// Incarnation identifies the process of the receiver.
	Incarnation uint64
	// Passed contains the replicas that the receiver held alone and transfers to the sender of a ReleaseAcquire, PassedTerms
	// their lease terms.
	Passed      []string
	PassedTerms []uint64
	// Askers contains the names of other VMs that sent the receiver a ReleaseAcquire for the same replicas or received one of
	// them. AskerIncarnations contains the incarnations of their processes.
	Askers            []string
	AskerIncarnations []uint64
}

// RecordKind is a kind of soft-state record.
type RecordKind uint8

// Kinds of soft-state records.
const (
	RecordMember RecordKind = iota + 1
	RecordReplica
	RecordConfigHead
	RecordVersionStats
	RecordMoveOutcome
	RecordCrash
	RecordVM
)

// payloadHandle encodes payloads as MessagePack maps in canonical order. Gob is not used, because it assigns type numbers per
// process: equal payloads of two VMs would differ and be propagated as changes.
var payloadHandle = newPayloadHandle()

func newPayloadHandle() *codec.MsgpackHandle {
	h := msgpackHandle()
	h.Canonical = true
	return h
}

// EncodePayload returns the payload of a record as MessagePack. Equal values have equal payloads on all VMs.
func EncodePayload(v any) ([]byte, error) {
	var payload []byte
	if err := codec.NewEncoderBytes(&payload, payloadHandle).Encode(v); err != nil {
		return nil, fmt.Errorf("encoding the payload %T: %w", v, err)
	}
	return payload, nil
}

// DecodePayload decodes the payload of a record into v, a pointer. Unknown fields are ignored, so that VMs of different
// releases can exchange records.
func DecodePayload(payload []byte, v any) error {
	if err := codec.NewDecoderBytes(payload, payloadHandle).Decode(v); err != nil {
		return fmt.Errorf("decoding a payload into %T: %w", v, err)
	}
	return nil
}

// Record is one item of soft state. For each kind and key, the record with the higher Seq wins, then the higher Origin.
type Record struct {
	Kind   RecordKind
	Key    string
	Origin string
	Seq    uint64
	// Payload is the record type of the kind, encoded by EncodePayload. In an exchange it is empty if the receiver already has
	// the same payload under a lower Seq of the same Origin.
	Payload []byte
}

// MemberRecord is the payload of RecordMember; the key is the name of the VM.
type MemberRecord struct {
	AvailabilityZone string
	Address          netip.AddrPort
	State            blackboard.MemberState
	Generation       uint64
	// Incarnation is the start time of the process in microseconds since the Unix epoch.
	Incarnation uint64
}

// ReplicaRecord is the payload of RecordReplica; the key is the name of the backend server.
type ReplicaRecord struct {
	State       blackboard.ReplicaState
	Allowance   int
	Load        int
	Held        []connector.HeldSnapshot
	Incarnation string
	// Released is set if the origin no longer holds the replica.
	Released bool
}

// ConfigHeadRecord is the payload of RecordConfigHead; the key is "current" and the Seq is the generation.
type ConfigHeadRecord struct {
	Generation uint64
	// Parts contains the hexadecimal SHA-256 sums of the parts of the configuration, in order.
	Parts []string
}

// VersionStatsRecord is the payload of RecordVersionStats; the key is "application/version/route/vm".
type VersionStatsRecord struct {
	Application string
	Version     string
	Route       string
	Answers     uint64
	Failures    uint64
	Crashes     uint64
	// LatencySum is the sum of the latencies of all answers.
	LatencySum time.Duration
	// LatencySquares is the sum of the squared latencies in square seconds.
	LatencySquares float64
	// Slow is the number of answers whose latency exceeded the latency limit of the route.
	Slow uint64
}

// MoveOutcomeRecord is the payload of RecordMoveOutcome; the key is the name of the move.
type MoveOutcomeRecord struct {
	Outcome blackboard.MoveOutcome
	Reason  string
	// Final is set if the platform has stored the outcome. A final outcome overrides any other.
	Final bool
}

// CrashRecord is the payload of RecordCrash; the key is "fingerprint/origin".
type CrashRecord struct {
	Fingerprint uint64
	Crashes     int
	// Untried is set if no backend server had answered an equal request before the last crash.
	Untried bool
}

// VMRecord is the payload of RecordVM; the key is the name of an entry VM or a backend server in the platform's VM list.
type VMRecord struct {
	// Listed is false if the platform has removed the VM from its list.
	Listed  bool
	Leaving bool
}

// ExchangeRequest contains the records that changed at the sender since its last exchange with the receiver.
type ExchangeRequest struct {
	Stamp   recorder.Stamp
	From    string
	Records []Record
	// Since is the position in the receiver's change log up to which the sender has received records; 0 requests all records.
	Since uint64
	// Incarnation is the incarnation of the receiver's process whose change log Since refers to.
	Incarnation uint64
}

// ExchangeReply contains the receiver's records that changed after Since of the request. Position is the position in the
// receiver's change log that they reach, Incarnation the incarnation of its process.
type ExchangeReply struct {
	Stamp       recorder.Stamp
	Records     []Record
	Position    uint64
	Incarnation uint64
	// From is the name of the receiver.
	From string
}

// FetchPartsRequest asks for parts of a configuration by their SHA-256 sums.
type FetchPartsRequest struct {
	Stamp recorder.Stamp
	Sums  []string
}

// FetchPartsReply contains those of the requested parts that the receiver has, by their SHA-256 sums.
type FetchPartsReply struct {
	Stamp recorder.Stamp
	Parts map[string][]byte
}

// EventsRequest asks for the events of the receiver's timeline that match Filter.
type EventsRequest struct {
	Stamp  recorder.Stamp
	Filter recorder.Filter
}

// EventsReply contains the events in ascending order of their stamps.
type EventsReply struct {
	Stamp  recorder.Stamp
	Events []recorder.Event
}

// QueryRequest forwards a caller's request to another entry VM.
type QueryRequest struct {
	Stamp       recorder.Stamp
	RequestID   string
	Application string
	Route       string
	Limit       int
	Body        []byte
	OperationID string
	Key         string
	Remaining   time.Duration
}

// QueryReply contains the HTTP response, which is forwarded to the caller unchanged.
type QueryReply struct {
	Stamp      recorder.Stamp
	HTTPStatus int
	Body       []byte
}

// FollowRequest asks for the platform's objects that changed after the sender's revisions.
type FollowRequest struct {
	Stamp recorder.Stamp
	// From is the name of the sender.
	From string
	// After contains the sender's revision of each kind of object, 0 for none.
	After map[string]uint64
	// Eras contains the era of each revision in After. A VM of an earlier release states none.
	Eras map[string]uint64
	// Wait is how long the receiver may wait for changes before it replies.
	Wait time.Duration
	// Seen contains the sender's observations of backend servers.
	Seen []balancer.Observation
	// Load is the number of requests that the sender recently sent to services.
	Load float64
	// Crashes contains the sender's reports of requests that ran at the crash of a backend server.
	Crashes []CrashReport
	// First is set if another VM has replied to the sender's last request or none. The receiver then replies with all reports and departures
	// instead of those since its last reply.
	First bool
}

// FollowReply contains the changes of those kinds of objects that have changed.
type FollowReply struct {
	Stamp recorder.Stamp
	// Synced is set if the replying VM has received all kinds of objects.
	Synced bool
	// Away is set if the platform does not answer the replying VM or the VM from which the replying VM receives its objects.
	Away bool
	// TurnedAway is set if the platform did not answer the last ping of the replying VM itself.
	TurnedAway bool
	// Age is the time since the replying VM's objects were known to contain all changes. It is negative while that is unknown.
	Age time.Duration
	// Eras contains the era of each kind of object at the replying VM.
	Eras    map[string]uint64
	Updates []FollowUpdate
	// Conditions contains the health of backend servers, derived from the observations of all VMs of the zone.
	Conditions []balancer.ServerHealth
	// Crashes contains the replying VM's reports of requests that ran at the crash of a backend server.
	Crashes []CrashReport
	// Share is the fraction of the zone's extra attempts that the receiver of this reply may make. It is 0 while it
	// is unknown.
	Share float64
}

// FollowUpdate contains the changes of a kind of object after the revision After up to Revision, both of the era Era. If Whole is set,
// it contains the complete list at Revision.
type FollowUpdate struct {
	Kind     string
	Whole    bool
	Era      uint64
	After    uint64
	Revision uint64
	Items    []storeclient.Item
	// Packed contains the items as gob compressed with DEFLATE (RFC 1951) if they are large. Items is empty in that case.
	Packed []byte
}

// CrashReport states that a backend server crashed while it ran a request, or that a server survived the request.
type CrashReport struct {
	// Key identifies equal requests for the same service, Contents for any service. A VM of an earlier release states no Contents.
	Key      uint64
	Contents uint64
	// Survived is set if a server has answered the request at the time At. Server and Began are not set then.
	Survived bool
	// Server is the hash of the key of the process that crashed.
	Server uint64
	// Began is the time at which the request was sent to the server, At the time at which the connection broke, both by the clock of the
	// VM that saw it.
	Began time.Time
	At    time.Time
	// Age is the time since At when the report was sent. It does not depend on any clock. A VM of an earlier release states none.
	Age time.Duration `json:"-"`
}

// CrashesRequest contains the sender's reports. If Full is set, it asks for those of the receiver.
type CrashesRequest struct {
	Stamp   recorder.Stamp
	Reports []CrashReport
	Full    bool
}

// CrashesReply contains the reports of the replying VM if they were asked for.
type CrashesReply struct {
	Stamp   recorder.Stamp
	Reports []CrashReport
}

// MovesRequest contains the sender's reports on the moves between versions and asks for the reports of other VMs.
type MovesRequest struct {
	Stamp recorder.Stamp
	// From is the name of the sender, Zone its availability zone.
	From string
	Zone string
	// Reports is empty if the sender is in another zone than the receiver.
	Reports []MoveReport
}

// MovesReply contains the sums of the reports of each zone. A VM of another zone receives only those of the receiver's zone.
type MovesReply struct {
	Stamp recorder.Stamp
	Zones []ZoneMoveReports
}

// ZoneMoveReports contains the sums of the reports of the VMs of a zone.
type ZoneMoveReports struct {
	Zone string
	// Age is the time since the last message from the VM that sums up the reports.
	Age     time.Duration
	Reports []MoveReport
}

// MoveReport is the report of one VM on a move, or the sum of the reports of all VMs of a zone.
type MoveReport struct {
	Name string
	// Era and Order are the era and the ID of the move order. They distinguish successive orders with the same name.
	Era   uint64
	Order uint64
	// Age is the time since the move was ordered.
	Age time.Duration
	// Switched is set if all VMs of the report send all requests to the new version, AnySwitched if one of them does.
	Switched    bool
	AnySwitched bool
	// OldRunning is the number of requests that are running on servers of the old version.
	OldRunning int
	// Fault is the reason for which the move was rolled back. It is empty if the move was not rolled back.
	Fault string
	// Confirmed is the final outcome that the platform has once confirmed, "" if there is none. The platform may have lost it since.
	Confirmed blackboard.MoveOutcome
	// Evidence contains the statistics of each route since the move was ordered. Those without a version belong to the old one.
	Evidence []VersionStatsRecord
}
