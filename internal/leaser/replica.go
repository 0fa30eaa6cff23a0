package leaser

import "time"

// right is this VM's part in one replica.
type right struct {
	// holder says that this VM has the ceiling half; term numbers the last change of the holder or the successor.
	holder bool
	term   uint64
	// successor has the floor half or is about to get it; empty means that the holder has both halves. leaseUntil ends its lease.
	successor  string
	successorN uint64
	leaseUntil time.Time
	// recallUntil is when an unanswered recall is given up; zero means that no recall runs.
	recallUntil time.Time
	// wantedUntil keeps the halves together for a higher-ranked VM that asked for the replica.
	wantedUntil time.Time
	// stopping says that the holder waits for running sub-requests before it passes the replica on.
	stopping bool

	// floor says that this VM is the successor and has the floor half. It may use it from lentUntil on.
	floor     bool
	primary   string
	primaryN  uint64
	floorTerm uint64
	lentUntil time.Time
	heardAt   time.Time
	// returning says that the floor half is not used any more and goes back once no sub-request runs.
	returning bool

	// round numbers the asks of a claim; 0 means that none runs. heard are the VMs that answered in it.
	round uint64
	heard map[string]bool
	// free and confirmed hold the incarnations of the VMs that answered in the first and the second collect that they have no
	// right; 0 stands for a refused connection. collected is the end of the first collect, or zero.
	free      map[string]uint64
	confirmed map[string]uint64
	collected time.Time
	// also are further VMs whose answer the round needs, because another VM has promised them something.
	also map[string]uint64
	// asked are the VMs to which this VM has promised to take no right.
	asked map[string]promise
	// recalled holds the term of the last recall by each holder; older offers are refused.
	recalled map[string]uint64
	// passed is the last pass, repeated when its reply was lost.
	passed pass

	due time.Time
	// best and bestSuccessor are cached ranks.
	best          string
	bestSuccessor string
}

type promise struct {
	incarnation uint64
	round       uint64
	at          time.Time
}

type pass struct {
	to          string
	incarnation uint64
	round       uint64
	term        uint64
}

func newRight() *right {
	return &right{
		asked:    map[string]promise{},
		recalled: map[string]uint64{},
	}
}

// become makes this VM the holder of both halves.
func (r *right) become(term uint64) {
	r.holder = true
	r.term = term
	r.floor = false
	r.returning = false
	r.stopping = false
	r.round = 0
	r.wantedUntil = time.Time{}
	r.dropSuccessor()
	clear(r.asked)
}

func (r *right) dropSuccessor() {
	r.successor = ""
	r.recallUntil = time.Time{}
	r.due = time.Time{}
}
