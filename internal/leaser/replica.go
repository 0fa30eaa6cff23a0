package leaser

import "time"

// replica is the state of the lease protocol for one replica. The comment at the head of state.go describes the protocol and the
// ceiling and floor halves of the limit.
type replica struct {
	// isHolder means that this VM owns the ceiling half. term is the number of the last change of the holder or the successor, or
	// of the last recall.
	isHolder bool
	term     uint64
	// successor is the VM that owns the floor half or is about to get it; empty means that the holder owns both halves.
	// leaseUntil is the end of the lease that the successor has granted.
	successor            string
	successorIncarnation uint64
	leaseUntil           time.Time
	// recallUntil is when an unanswered recall is given up; zero means that there is no recall.
	recallUntil time.Time
	// handoverUntil is the time until which the holder chooses no successor, so that it can hand both halves over to a
	// higher-ranked VM that has sent an acquire request.
	handoverUntil time.Time
	// stopping means that the holder waits for running sub-requests to end before it hands the replica over.
	stopping bool

	// isSuccessor means that this VM is the successor of the holder holderName and owns the floor half. It may use that half
	// from floorUsableFrom on. holderTerm is the term of the last heartbeat that was accepted, lastHeartbeat its time.
	isSuccessor       bool
	holderName        string
	holderIncarnation uint64
	holderTerm        uint64
	floorUsableFrom   time.Time
	lastHeartbeat     time.Time
	// floorDraining means that the floor half is no longer used for new sub-requests. It goes back, or is leased to the holder
	// again, once no sub-request runs on it.
	floorDraining bool

	// round is the number of the current round of acquire requests, or 0 when there is no claim. responded are the VMs that have
	// answered in it.
	round     uint64
	responded map[string]bool
	// firstAnswers and secondAnswers contain the incarnations of the VMs that have answered in the first and in the second phase
	// that they own no half; 0 stands for a refused connection. firstPhaseEnd is the end of the first phase, or zero during it.
	firstAnswers  map[string]uint64
	secondAnswers map[string]uint64
	firstPhaseEnd time.Time
	// extraRequired are further VMs that have to answer, with their incarnations, because another VM has made them a promise or
	// handed them a replica.
	extraRequired map[string]uint64
	// promises are the promises of this VM to acquire no half, by the claiming VM that received them.
	promises map[string]promise
	// recallTerms contains the term of the last recall by each holder. Heartbeats whose term is not higher are refused.
	recallTerms map[string]uint64
	// lastHandover is the last handover. It is answered again if the same request is repeated because the reply was lost.
	lastHandover handover

	// nextStep is the earliest time at which step sends the next message for this replica.
	nextStep time.Time
	// best and bestSuccessor cache the first of all candidates and this VM, and the first of the other VMs that are alive.
	best          string
	bestSuccessor string
}

// promise is the promise to a claiming VM to acquire no half of a replica.
type promise struct {
	incarnation uint64
	round       uint64
	at          time.Time
}

// handover is the transfer of both halves in the reply to an acquire request.
type handover struct {
	to          string
	incarnation uint64
	round       uint64
	term        uint64
}

func newReplica() *replica {
	return &replica{
		promises:    map[string]promise{},
		recallTerms: map[string]uint64{},
	}
}

// becomeHolder makes this VM the holder and the owner of both halves, and ends its claim and its promises.
func (r *replica) becomeHolder(term uint64) {
	r.isHolder = true
	r.term = term
	r.isSuccessor = false
	r.floorDraining = false
	r.stopping = false
	r.round = 0
	r.handoverUntil = time.Time{}
	r.dropSuccessor()
	clear(r.promises)
}

func (r *replica) dropSuccessor() {
	r.successor = ""
	r.recallUntil = time.Time{}
	r.nextStep = time.Time{}
}
