package gossiper

import (
	"cmp"
	"slices"
	"time"

	"github.com/anvildyke/anvildyke/internal/blackboard"
	"github.com/anvildyke/anvildyke/internal/messenger"
)

// Bounds of the record map per kind. The target has 780 entry VMs and 5,300 backend servers.
const (
	MaxMembers     = 2048
	MaxReplicas    = 8192
	MaxConfigHeads = 4
	MaxEvidence    = 8192
	MaxVerdicts    = 256
	MaxCrashes     = 4096
	MaxVMs         = 10240
	// maxRecords bounds the records that are read from one message.
	maxRecords = MaxMembers + MaxReplicas + MaxConfigHeads + MaxEvidence + MaxVerdicts + MaxCrashes + MaxVMs
	// maxKey is the greatest length of a key or an origin in bytes, maxPayload that of a payload.
	maxKey     = 512
	maxPayload = 64 << 10
	// logSize is the number of changes that can be read without a scan of the whole map.
	logSize = 8192
)

// staleAfter is the age at which a record of an unknown origin or of a Gone member is not taken into the map any more. Without
// it, records that were dropped here would return from VMs that have not dropped them yet.
const staleAfter = GoneRetention

func bound(k messenger.RecordKind) int {
	switch k {
	case messenger.RecordMember:
		return MaxMembers
	case messenger.RecordReplica:
		return MaxReplicas
	case messenger.RecordConfigHead:
		return MaxConfigHeads
	case messenger.RecordVersionStats:
		return MaxEvidence
	case messenger.RecordMoveOutcome:
		return MaxVerdicts
	case messenger.RecordCrash:
		return MaxCrashes
	case messenger.RecordVM:
		return MaxVMs
	default:
		return 0
	}
}

// replaceable reports whether a full kind drops its oldest record for a new one.
func replaceable(k messenger.RecordKind) bool {
	return k == messenger.RecordCrash || k == messenger.RecordVersionStats || k == messenger.RecordMoveOutcome
}

type id struct {
	kind messenger.RecordKind
	key  string
}

type entry struct {
	record messenger.Record
	// value is the decoded payload of the kinds from which sections are derived, otherwise nil.
	value any
	// position is the place of the last change in the log, content that of the last change of the payload or the origin.
	position uint64
	content  uint64
	// from is the peer that sent the last change, or empty.
	from string
	// at is when the last change arrived.
	at time.Time
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

// decodeAs returns the payload as a T, or nil when it is none.
func decodeAs[T any](r messenger.Record) any {
	var v T
	if messenger.DecodePayload(r.Payload, &v) != nil {
		return nil
	}
	return v
}

type change struct {
	position uint64
	id       id
}

// store is the record map with a log of its changes. It is not safe for concurrent use.
type store struct {
	entries map[id]*entry
	counts  map[messenger.RecordKind]int
	// log holds the last logSize changes in ascending order of their positions, which have no gaps.
	log  []change
	last uint64
}

func newStore() *store {
	return &store{
		entries: map[id]*entry{},
		counts:  map[messenger.RecordKind]int{},
	}
}

// wins reports whether b replaces a.
func wins(a, b messenger.Record) bool {
	if a.Kind == messenger.RecordMoveOutcome && len(b.Payload) > 0 {
		// A verdict that takes a move back is final, whatever came later.
		was, is := isTakenBack(a), isTakenBack(b)
		if was != is {
			return is
		}
	}
	if a.Seq != b.Seq {
		return b.Seq > a.Seq
	}
	return b.Origin > a.Origin
}

func isTakenBack(r messenger.Record) bool {
	var v messenger.MoveOutcomeRecord
	return messenger.DecodePayload(r.Payload, &v) == nil && v.Outcome == blackboard.MoveRolledBack
}

// put adds r and reports whether its content is new here, and whether it was accepted at all.
func (s *store) put(r messenger.Record, from string, now time.Time, known func(origin string) bool) (fresh, accepted bool) {
	if len(r.Key) > maxKey || len(r.Origin) > maxKey || len(r.Payload) > maxPayload {
		return false, false
	}
	k := id{
		kind: r.Kind,
		key:  r.Key,
	}
	e := s.entries[k]
	if e == nil {
		if !s.admits(r, now, known) {
			return false, false
		}
		e = &entry{}
		s.entries[k] = e
		s.counts[r.Kind]++
		s.set(k, e, r, from, now, true)
		return true, true
	}
	if !wins(e.record, r) {
		return false, false
	}
	refresh := r.Origin == e.record.Origin && (len(r.Payload) == 0 || string(r.Payload) == string(e.record.Payload))
	if len(r.Payload) == 0 {
		if !refresh {
			return false, false
		}
		r.Payload = e.record.Payload
	}
	s.set(k, e, r, from, now, !refresh)
	return !refresh, true
}

// admits reports whether a record with a new key is taken, and makes room for it.
func (s *store) admits(r messenger.Record, now time.Time, known func(origin string) bool) bool {
	if len(r.Payload) == 0 {
		return false
	}
	if now.Sub(time.UnixMicro(int64(r.Seq))) > staleAfter {
		switch r.Kind {
		case messenger.RecordCrash, messenger.RecordVersionStats:
			if !known(r.Origin) {
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
	if s.counts[r.Kind] < bound(r.Kind) {
		return true
	}
	return replaceable(r.Kind) && s.dropOldest(r.Kind)
}

func (s *store) dropOldest(kind messenger.RecordKind) bool {
	var oldest id
	var seq uint64
	for k, e := range s.entries {
		if k.kind == kind && (seq == 0 || e.record.Seq < seq) {
			oldest, seq = k, e.record.Seq
		}
	}
	s.drop(oldest)
	return seq != 0
}

func (s *store) drop(k id) {
	if _, ok := s.entries[k]; ok {
		delete(s.entries, k)
		s.counts[k.kind]--
	}
}

func (s *store) set(k id, e *entry, r messenger.Record, from string, now time.Time, content bool) {
	s.last++
	e.record = r
	e.position = s.last
	e.from = from
	e.at = now
	if content {
		e.content = s.last
		e.value = decode(r)
	}
	if len(s.log) >= 2*logSize {
		s.log = append(s.log[:0], s.log[logSize:]...)
	}
	s.log = append(s.log, change{
		position: s.last,
		id:       k,
	})
}

// scope says which changes a peer gets.
type scope struct {
	peer  string
	since uint64
	// full sends records back to the peer that they came from, because it has lost them.
	full bool
	// content skips refreshes; only relays' refreshes pass. It is used between zones.
	content bool
	relays  map[string]bool
}

// changes returns the changes after since and the position up to which they reach.
func (s *store) changes(c scope) ([]messenger.Record, uint64) {
	var records []messenger.Record
	for _, e := range s.changed(c.since) {
		if e.from != "" && e.from == c.peer && !c.full {
			continue
		}
		r := e.record
		if e.content <= c.since {
			if c.content && !c.relays[r.Origin] {
				continue
			}
			r.Payload = nil
		}
		records = append(records, r)
	}
	return records, s.last
}

// changed returns the entries that changed after since in ascending order, from the log if it reaches back far enough.
func (s *store) changed(since uint64) []*entry {
	var found []*entry
	if len(s.log) > 0 && since+1 >= s.log[0].position {
		for _, ch := range s.log[min(since+1-s.log[0].position, uint64(len(s.log))):] {
			if e := s.entries[ch.id]; e != nil && e.position == ch.position {
				found = append(found, e)
			}
		}
		return found
	}
	for _, e := range s.entries {
		if e.position > since {
			found = append(found, e)
		}
	}
	slices.SortFunc(found, func(a, b *entry) int {
		return cmp.Compare(a.position, b.position)
	})
	return found
}
