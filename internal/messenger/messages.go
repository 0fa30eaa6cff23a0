// Package messenger carries remote procedure calls between entry VMs over net/rpc and defines their messages.
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

// Names of the methods that entry VMs call on each other.
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
)

// SubRequest is one sub-request of a batch.
type SubRequest struct {
	// ID is unique within the request.
	ID      uint32
	Replica string
	Shard   int
	// Extra marks a hedge or a retry.
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
	// Remaining is the time until the deadline when the message was sent.
	Remaining time.Duration
	// Succeeded says that the entry VM has had an answer to an equal request lately. The request is then not refused for the pause
	// after a crash, because it only ran beside the one that crashed the server.
	Succeeded bool
	// Canary marks the first sub-request of a request that has not succeeded lately. Equal canaries run one at a time.
	Canary bool
	// SoftWait is how long the owner collects answers before it replies with those it has.
	SoftWait time.Duration
	Subs     []SubRequest
}

// Hit is one document with the shard that it came from.
type Hit struct {
	ID    string
	Score float64
	Body  []byte
}

// SubResponse is the outcome of one sub-request.
type SubResponse struct {
	ID    uint32
	Shard int
	// Code is OK when the sub-request was answered.
	Code classifier.Code
	// Searched of Total parts of the shard were searched.
	Searched int
	Total    int
	// Of is the number of shards of the snapshot as the backend server states it.
	Of int
	// Latency is the time between sending to the backend server and its answer.
	Latency time.Duration
	// Holder is set with NotOwner when the owner knows who holds the replica.
	Holder string
}

// SearchReply is an owner's answer to a batch.
type SearchReply struct {
	Stamp recorder.Stamp
	// Hits are the best Limit hits of Answers, ordered by descending score, then by ID.
	Hits    []Hit
	Answers []SubResponse
	// Pending lists the sub-requests that still run. Token collects them; it is 0 when Pending is empty.
	Pending []uint32
	Token   uint64
	// Held says that a pending canary has not proved itself yet: it waits for its turn, or its connection broke and the owner is
	// finding out whether the backend server crashed.
	Held bool
}

// CollectRequest asks for the rest of a batch. The reply comes when at least one more sub-request is done or Wait is over.
type CollectRequest struct {
	Stamp recorder.Stamp
	Token uint64
	Wait  time.Duration
}

// CancelRequest ends sub-requests whose answers are no longer needed. Answers of a cancelled sub-request may be dropped.
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

// RunReply is the outcome of an operation. Code is OK, a code for which NotRun holds, or an unknown outcome.
type RunReply struct {
	Stamp  recorder.Stamp
	Code   classifier.Code
	Body   []byte
	Holder string
}

// HeartbeatRequest asks the successor of the named replicas for leases.
type HeartbeatRequest struct {
	Stamp    recorder.Stamp
	From     string
	Replicas []string
	// Incarnation identifies the process of the sender.
	Incarnation uint64
	// To is the incarnation of the receiver to which the leases were offered. Another incarnation grants nothing.
	To uint64
	// Terms holds one number per replica. It rises with every change of the successor or the holder.
	Terms []uint64
}

// HeartbeatReply grants leases.
type HeartbeatReply struct {
	Stamp recorder.Stamp
	// Incarnation identifies the process of the receiver.
	Incarnation uint64
	// Taken are the replicas that the receiver holds itself under a higher term.
	Taken []string
	// Granted are the replicas whose lease is extended. A replica that the successor has taken over is not granted.
	Granted []string
}

// ReleaseKind says what a ReleaseRequest asks for.
type ReleaseKind uint8

// Kinds of release requests.
const (
	// ReleaseAcquire comes from a VM that ranks first for the replicas and wants to hold them.
	ReleaseAcquire ReleaseKind = iota + 1
	// ReleaseRecall comes from the holder and ends the receiver's role as successor.
	ReleaseRecall
	// ReleaseProbe comes from a silent holder's successor. Released are the replicas for which the receiver does not use it.
	ReleaseProbe
	// ReleaseCancel takes back an earlier answer to an ask. Released are the replicas for which the receiver does not count on it.
	ReleaseCancel
	// ReleaseShutdown says that the sender uses no replica any more and is about to stop.
	ReleaseShutdown
)

// ReleaseRequest moves the right to use replicas between VMs of a zone.
type ReleaseRequest struct {
	Stamp    recorder.Stamp
	From     string
	Replicas []string
	Kind     ReleaseKind
	// Incarnation identifies the process of the sender.
	Incarnation uint64
	// Terms holds one number per replica: the term of a recall or a probe, the number of the round of an ask or a cancel.
	Terms []uint64
}

// ReleaseReply lists the replicas that the receiver does not use any more.
type ReleaseReply struct {
	Stamp    recorder.Stamp
	Released []string
	// Incarnation identifies the process of the receiver.
	Incarnation uint64
	// Passed are replicas that the receiver held alone and passes to the sender of an ask, PassedTerms their terms.
	Passed      []string
	PassedTerms []uint64
	// Askers names other VMs that asked the receiver for the same replicas or got one of them, AskerIncarnations their processes.
	Askers            []string
	AskerIncarnations []uint64
}

// RecordKind is a kind of soft-state record.
type RecordKind uint8

// Kinds of records.
const (
	RecordMember RecordKind = iota + 1
	RecordReplica
	RecordConfigHead
	RecordVersionStats
	RecordMoveOutcome
	RecordCrash
	RecordVM
)

// payloadHandle encodes payloads as MessagePack maps in a canonical order. Gob is not used, because it numbers types per
// process: equal payloads of two VMs would differ and be spread as changes.
var payloadHandle = newPayloadHandle()

func newPayloadHandle() *codec.MsgpackHandle {
	h := msgpackHandle()
	h.Canonical = true
	return h
}

// EncodePayload returns the payload of a record. Equal values have equal payloads on all VMs.
func EncodePayload(v any) ([]byte, error) {
	var payload []byte
	if err := codec.NewEncoderBytes(&payload, payloadHandle).Encode(v); err != nil {
		return nil, fmt.Errorf("the payload %T cannot be encoded: %w", v, err)
	}
	return payload, nil
}

// DecodePayload reads the payload of a record into v, a pointer. Unknown fields are left out, so that VMs of two releases
// understand each other.
func DecodePayload(payload []byte, v any) error {
	if err := codec.NewDecoderBytes(payload, payloadHandle).Decode(v); err != nil {
		return fmt.Errorf("the payload is no %T: %w", v, err)
	}
	return nil
}

// Record is one piece of soft state. For a kind and key the record with the higher Seq wins, then the higher Origin.
type Record struct {
	Kind   RecordKind
	Key    string
	Origin string
	Seq    uint64
	// Payload is one message of this package, encoded by EncodePayload; RecordCrash and others state which. It is empty in an exchange when the
	// receiver has it already under a lower Seq of the same Origin.
	Payload []byte
}

// MemberRecord is the payload of RecordMember; the key is the name of the VM.
type MemberRecord struct {
	AvailabilityZone string
	Address          netip.AddrPort
	State            blackboard.MemberState
	Generation       uint64
	// Incarnation is the start time of the process in microseconds.
	Incarnation uint64
}

// ReplicaRecord is the payload of RecordReplica; the key is the name of the backend server.
type ReplicaRecord struct {
	State       blackboard.ReplicaState
	Allowance   int
	Load        int
	Held        []connector.HeldSnapshot
	Incarnation string
	// Released says that the origin does not hold the replica any more.
	Released bool
}

// ConfigHeadRecord is the payload of RecordConfigHead; the key is "current" and the Seq is the generation.
type ConfigHeadRecord struct {
	Generation uint64
	// Parts are the hexadecimal SHA-256 sums of the parts in order.
	Parts []string
}

// VersionStatsRecord is the payload of RecordEvidence; the key is "application/version/route/vm".
type VersionStatsRecord struct {
	Application string
	Version     string
	Route       string
	Answers     uint64
	Failures    uint64
	Crashes     uint64
	// LatencySum is the sum over all answers.
	LatencySum time.Duration
	// LatencySquares is the sum of the squared latencies in square seconds.
	LatencySquares float64
	// Slow counts answers above the latency bound of the route.
	Slow uint64
}

// MoveOutcomeRecord is the payload of RecordVerdict; the key is the name of the move.
type MoveOutcomeRecord struct {
	Outcome blackboard.MoveOutcome
	Reason  string
	// Final says that the platform has stored the outcome. A final verdict overrules any other.
	Final bool
}

// CrashRecord is the payload of RecordCrash; the key is "fingerprint/origin".
type CrashRecord struct {
	Fingerprint uint64
	Crashes     int
	// Untried says that no backend server had answered an equal request before the last crash.
	Untried bool
}

// VMRecord is the payload of RecordVM; the key is the name of an entry VM or of a backend server in the platform's list.
type VMRecord struct {
	// Listed is false when the platform has dropped the VM.
	Listed  bool
	Leaving bool
}

// ExchangeRequest carries records that changed at the sender since its last exchange with the receiver.
type ExchangeRequest struct {
	Stamp   recorder.Stamp
	From    string
	Records []Record
	// Since is the position in the receiver's log up to which the sender has its records; 0 asks for all.
	Since uint64
	// Incarnation identifies the receiver's log that Since refers to.
	Incarnation uint64
}

// ExchangeReply carries the receiver's changed records.
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

// FetchPartsReply holds the parts that the receiver has, by sum.
type FetchPartsReply struct {
	Stamp recorder.Stamp
	Parts map[string][]byte
}

// EventsRequest asks for events of the receiver's time line.
type EventsRequest struct {
	Stamp  recorder.Stamp
	Filter recorder.Filter
}

// EventsReply holds the events in ascending order of their stamps.
type EventsReply struct {
	Stamp  recorder.Stamp
	Events []recorder.Event
}

// QueryRequest passes a caller's request on to another entry VM.
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

// QueryReply carries the response to the caller as it stands.
type QueryReply struct {
	Stamp      recorder.Stamp
	HTTPStatus int
	Body       []byte
}

// FollowRequest asks for the objects of the platform that changed after the revisions that the sender has.
type FollowRequest struct {
	Stamp recorder.Stamp
	// From is the name of the sender.
	From string
	// After maps each kind to a revision, 0 for none.
	After map[string]uint64
	// Wait is how long the reply may wait for changes.
	Wait time.Duration
	// Seen is what the sender has seen of backend servers.
	Seen []balancer.Observation
	// Load is the number of requests that the sender sent to services lately.
	Load float64
}

// FollowReply has the changes of the kinds that changed.
type FollowReply struct {
	Stamp recorder.Stamp
	// Synced says that the replying VM knows all kinds.
	Synced bool
	// Away says that the platform does not answer the VM that the replying one follows, or this itself.
	Away bool
	// TurnedAway says that the platform does not answer the replying VM itself, as far as this has asked.
	TurnedAway bool
	Updates    []FollowUpdate
	// Conditions are those of backend servers, as the VMs of the zone have seen them.
	Conditions []balancer.ServerHealth
	// Share is the receiver's part of what the VMs of its zone may spend on extra requests, 0 while it is not known.
	Share float64
}

// FollowUpdate has the changes of a kind between two revisions, or with Whole set the list at the later one.
type FollowUpdate struct {
	Kind     string
	Whole    bool
	After    uint64
	Revision uint64
	Items    []storeclient.Item
	// Packed has the items in gob and DEFLATE (RFC 1951) if they are large; Items is empty then.
	Packed []byte
}

// MovesRequest tells what a VM has seen of the moves between versions, and asks for what others have.
type MovesRequest struct {
	Stamp recorder.Stamp
	// From and Zone are those of the sender.
	From string
	Zone string
	// Reports are empty from VMs of other zones.
	Reports []MoveReport
}

// MovesReply has the sums over the VMs of each zone. VMs of other zones get that of the receiver's zone only.
type MovesReply struct {
	Stamp recorder.Stamp
	Zones []ZoneMoveReports
}

// ZoneMoveReports is what the VMs of a zone have seen.
type ZoneMoveReports struct {
	Zone string
	// Age is the time since the VM that adds the reports up was last heard of.
	Age     time.Duration
	Reports []MoveReport
}

// MoveReport is what one VM or all VMs of a zone have seen of a move.
type MoveReport struct {
	Name string
	// Order tells orders of the same name apart.
	Order uint64
	// Age is the time since the order.
	Age time.Duration
	// Switched says that all requests go to the new version.
	Switched bool
	// OldRunning is the number of requests that run at servers of the old version.
	OldRunning int
	// Fault is why the move was taken back, or "".
	Fault string
	// Evidence has the counters since the order on each route; those without a version are of the old one.
	Evidence []VersionStatsRecord
}
