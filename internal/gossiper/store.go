package gossiper

import (
	"cmp"
	"slices"
	"time"

	"github.com/anvildyke/anvildyke/internal/blackboard"
	"github.com/anvildyke/anvildyke/internal/messenger"
)

// Limits of the record map per kind. The largest deployment has 780 entry VMs and 5,300 backend servers.
const (
	MaxMembers      = 2048
	MaxReplicas     = 8192
	MaxConfigHeads  = 4
	MaxVersionStats = 8192
	MaxMoveOutcomes = 256
	MaxCrashes      = 4096
	MaxVMs          = 10240
	// maxRecords limits the number of records that are applied from one message.
	maxRecords = MaxMembers + MaxReplicas + MaxConfigHeads + MaxVersionStats + MaxMoveOutcomes + MaxCrashes + MaxVMs
	// maxKeyBytes is the maximum length of a key or an origin, maxPayloadBytes that of a payload.
	maxKeyBytes     = 512
	maxPayloadBytes = 64 << 10
	// changeLogSize is the number of changes that can be read without a scan of the whole map.
	changeLogSize = 8192
)

// staleRecordAge is the age above which a record with a new key is rejected if its member is Gone, its VM is delisted or, for
// crashes and version statistics, its origin is unknown. Otherwise, VMs that still hold a record would send it again to VMs
// that have already removed it.
const staleRecordAge = GoneRetention

func recordLimit(kind messenger.RecordKind) int {
	switch kind {
	case messenger.RecordMember:
		return MaxMembers
	case messenger.RecordReplica:
		return MaxReplicas
	case messenger.RecordConfigHead:
		return MaxConfigHeads
	case messenger.RecordVersionStats:
		return MaxVersionStats
	case messenger.RecordMoveOutcome:
		return MaxMoveOutcomes
	case messenger.RecordCrash:
		return MaxCrashes
	case messenger.RecordVM:
		return MaxVMs
	default:
		return 0
	}
}

// evictsOldest reports whether a new record evicts the oldest one of its kind when the limit of the kind is reached.
func evictsOldest(kind messenger.RecordKind) bool {
	return kind == messenger.RecordCrash || kind == messenger.RecordVersionStats || kind == messenger.RecordMoveOutcome
}

type recordKey struct {
	kind messenger.RecordKind
	key  string
}

type entry struct {
	record messenger.Record
	// value is the decoded payload. It is nil for kinds from which no section is derived and for undecodable payloads.
	value any
	// position is the position of the last change in the change log. contentPosition is that of the last change of the payload
	// or the origin.
	position        uint64
	contentPosition uint64
	// sender is the name of the peer that sent the last change. It is empty for a change by this VM.
	sender string
	// receivedAt is the time at which the last change arrived.
	receivedAt time.Time
}

func decode(r messenger.Record) any {
	switch r.Kind {
	case messenger.RecordMember:
		return decodeAs[messenger.MemberRecord](r)
	case messenger.RecordReplica:
		return decodeAs[messenger.ReplicaRecord](r)
	case messenger.RecordCrash:
		return decodeAs[messenger.CrashRecord](r)
	case messenger.RecordVM:
		return decodeAs[messenger.VMRecord](r)
	default:
		return nil
	}
}

// decodeAs returns the payload as a T, or nil if it cannot be decoded.
func decodeAs[T any](r messenger.Record) any {
	var v T
	if messenger.DecodePayload(r.Payload, &v) != nil {
		return nil
	}
	return v
}

type logEntry struct {
	position uint64
	key      recordKey
}

// store is the record map with a log of its changes. It is not safe for concurrent use; Gossiper.mu guards it.
type store struct {
	entries map[recordKey]*entry
	counts  map[messenger.RecordKind]int
	// changeLog contains the last changes in ascending order of their positions, which have no gaps. When it reaches twice
	// changeLogSize, its older half is discarded.
	changeLog    []logEntry
	lastPosition uint64
}

func newStore() *store {
	return &store{
		entries: map[recordKey]*entry{},
		counts:  map[messenger.RecordKind]int{},
	}
}

// isSuperseded reports whether update replaces current: the record with the higher Seq wins, then the higher Origin.
func isSuperseded(current, update messenger.Record) bool {
	if current.Kind == messenger.RecordMoveOutcome && len(update.Payload) > 0 {
		// MoveRolledBack is final: it replaces every other outcome, and no other outcome replaces it, whatever the Seq.
		currentRolledBack, updateRolledBack := isRolledBack(current), isRolledBack(update)
		if currentRolledBack != updateRolledBack {
			return updateRolledBack
		}
	}
	if current.Seq != update.Seq {
		return update.Seq > current.Seq
	}
	return update.Origin > current.Origin
}

func isRolledBack(r messenger.Record) bool {
	var v messenger.MoveOutcomeRecord
	return messenger.DecodePayload(r.Payload, &v) == nil && v.Outcome == blackboard.MoveRolledBack
}

// put adds r if it is within the limits and replaces the present record of its key. It reports whether r was accepted and
// whether it changed the content. A refresh is accepted without a change of content.
func (s *store) put(r messenger.Record, sender string, now time.Time, isKnown func(origin string) bool) (changed, accepted bool) {
	if len(r.Key) > maxKeyBytes || len(r.Origin) > maxKeyBytes || len(r.Payload) > maxPayloadBytes {
		return false, false
	}
	k := recordKey{
		kind: r.Kind,
		key:  r.Key,
	}
	e := s.entries[k]
	if e == nil {
		if !s.admit(r, now, isKnown) {
			return false, false
		}
		e = &entry{}
		s.entries[k] = e
		s.counts[r.Kind]++
		s.update(k, e, r, sender, now, true)
		return true, true
	}
	if !isSuperseded(e.record, r) {
		return false, false
	}
	refresh := r.Origin == e.record.Origin && (len(r.Payload) == 0 || string(r.Payload) == string(e.record.Payload))
	if len(r.Payload) == 0 {
		if !refresh {
			return false, false
		}
		r.Payload = e.record.Payload
	}
	s.update(k, e, r, sender, now, !refresh)
	return !refresh, true
}

// admit reports whether a record with a new key is accepted. It evicts the oldest record of the kind if necessary.
func (s *store) admit(r messenger.Record, now time.Time, isKnown func(origin string) bool) bool {
	if len(r.Payload) == 0 {
		return false
	}
	if now.Sub(time.UnixMicro(int64(r.Seq))) > staleRecordAge {
		switch r.Kind {
		case messenger.RecordCrash, messenger.RecordVersionStats:
			if !isKnown(r.Origin) {
				return false
			}
		case messenger.RecordMember:
			if m, ok := decode(r).(messenger.MemberRecord); !ok || m.State == blackboard.MemberGone {
				return false
			}
		case messenger.RecordVM:
			if vm, ok := decode(r).(messenger.VMRecord); !ok || !vm.Listed {
				return false
			}
		}
	}
	if s.counts[r.Kind] < recordLimit(r.Kind) {
		return true
	}
	return evictsOldest(r.Kind) && s.removeOldest(r.Kind)
}

// removeOldest removes the oldest record of a kind. Crash records of quarantined fingerprints are removed only if there are no others.
func (s *store) removeOldest(kind messenger.RecordKind) bool {
	var crashes map[uint64]int
	if kind == messenger.RecordCrash {
		crashes = s.crashes()
	}
	var oldest recordKey
	var seq uint64
	oldestQuarantined := false
	for k, e := range s.entries {
		if k.kind != kind {
			continue
		}
		c, _ := e.value.(messenger.CrashRecord)
		quarantined := crashes[c.Fingerprint] >= blackboard.CrashLimit
		if seq == 0 || oldestQuarantined && !quarantined || oldestQuarantined == quarantined && e.record.Seq < seq {
			oldest, seq, oldestQuarantined = k, e.record.Seq, quarantined
		}
	}
	s.remove(oldest)
	return seq != 0
}

// crashes returns the number of crashes by fingerprint, over all VMs that have seen any.
func (s *store) crashes() map[uint64]int {
	crashes := map[uint64]int{}
	for _, e := range s.entries {
		if c, ok := e.value.(messenger.CrashRecord); ok {
			crashes[c.Fingerprint] += c.Crashes
		}
	}
	return crashes
}

func (s *store) remove(k recordKey) {
	if _, ok := s.entries[k]; ok {
		delete(s.entries, k)
		s.counts[k.kind]--
	}
}

func (s *store) update(k recordKey, e *entry, r messenger.Record, sender string, now time.Time, contentChanged bool) {
	s.lastPosition++
	e.record = r
	e.position = s.lastPosition
	e.sender = sender
	e.receivedAt = now
	if contentChanged {
		e.contentPosition = s.lastPosition
		e.value = decode(r)
	}
	if len(s.changeLog) >= 2*changeLogSize {
		s.changeLog = append(s.changeLog[:0], s.changeLog[changeLogSize:]...)
	}
	s.changeLog = append(s.changeLog, logEntry{
		position: s.lastPosition,
		key:      k,
	})
}

// deltaFilter selects the changes that are sent to a peer.
type deltaFilter struct {
	peer  string
	since uint64
	// includeFromPeer also selects records that the peer itself sent. It is set if since is 0, because the peer may have
	// restarted and lost them.
	includeFromPeer bool
	// contentOnly excludes refreshes except those of relays. It is set for peers outside the local zone.
	contentOnly bool
	relays      map[string]bool
}

// changes returns the changes that f selects and the position of the last change in the log. Refreshes have no payload.
func (s *store) changes(f deltaFilter) ([]messenger.Record, uint64) {
	var records []messenger.Record
	for _, e := range s.changed(f.since) {
		if e.sender != "" && e.sender == f.peer && !f.includeFromPeer {
			continue
		}
		r := e.record
		if e.contentPosition <= f.since {
			if f.contentOnly && !f.relays[r.Origin] {
				continue
			}
			r.Payload = nil
		}
		records = append(records, r)
	}
	return records, s.lastPosition
}

// changed returns the entries that changed after the position since, in ascending order of their positions. It reads them from
// the change log, or scans the whole map if the log does not reach back that far.
func (s *store) changed(since uint64) []*entry {
	var entries []*entry
	if len(s.changeLog) > 0 && since+1 >= s.changeLog[0].position {
		for _, le := range s.changeLog[min(since+1-s.changeLog[0].position, uint64(len(s.changeLog))):] {
			if e := s.entries[le.key]; e != nil && e.position == le.position {
				entries = append(entries, e)
			}
		}
		return entries
	}
	for _, e := range s.entries {
		if e.position > since {
			entries = append(entries, e)
		}
	}
	slices.SortFunc(entries, func(a, b *entry) int {
		return cmp.Compare(a.position, b.position)
	})
	return entries
}
