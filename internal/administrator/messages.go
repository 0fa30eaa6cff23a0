package administrator

import (
	"encoding/json"
	"time"

	"github.com/anvildyke/anvildyke/internal/blackboard"
	"github.com/anvildyke/anvildyke/internal/classifier"
)

// Fault is one error in a set. File and Line are set for faults found while decoding the request body, Object for faults found
// while validating the set.
type Fault struct {
	File    string `json:",omitempty"`
	Line    int    `json:",omitempty"`
	Object  string `json:",omitempty"`
	Field   string `json:",omitempty"`
	Message string
}

// ErrorResponse is the body of every response that reports an error.
type ErrorResponse struct {
	Code    classifier.Code
	Name    string
	Message string
	Faults  []Fault `json:",omitempty"`
}

// ApplyResponse is the response to POST /v1/apply.
type ApplyResponse struct {
	Generation uint64
	// Unchanged is true when the same set had already been published. Nothing was written in that case.
	Unchanged bool
	// Objects contains the keys, in the form Kind/Name, of the objects that differ from the previous generation.
	Objects []string
}

// ValidateResponse is the response to POST /v1/validate for a set without faults.
type ValidateResponse struct {
	// Objects is the number of objects in the set.
	Objects int
}

// ObjectsResponse is the response to GET /v1/objects/{kind} and GET /v1/objects/{kind}/{name}.
type ObjectsResponse struct {
	Generation uint64
	// Objects is a JSON array of configuration objects in the form that parser.EncodeJSON returns and parser.Decode accepts.
	Objects json.RawMessage
}

// Member is the state of one entry VM as seen by the VM that answers.
type Member struct {
	Name             string
	AvailabilityZone string
	Address          string
	State            string
	Generation       uint64
}

// Replica is the state of one backend server as seen by the VM that answers.
type Replica struct {
	Name             string
	Service          string
	Version          string
	AvailabilityZone string
	State            string
	Owner            string
	Allowance        int
	Load             int
	Leaving          bool
}

// Move is the state of a version move. The state is final when Recorded is true.
type Move struct {
	Name          string
	Application   string
	From          string
	To            string
	SharePerMille int
	Outcome       blackboard.MoveOutcome
	// Reason explains the outcome in one sentence, or is empty.
	Reason string
	// Recorded is true when Outcome and Reason were read from the platform, which stores the outcome that all VMs report.
	Recorded bool
}

// StatusResponse is the response to GET /v1/status. It contains the state as seen by the VM that answers.
type StatusResponse struct {
	VM         string
	Phase      blackboard.Phase
	Generation uint64
	Members    []Member
	Replicas   []Replica
	Moves      []Move
}

// Event is an entry of the timeline.
type Event struct {
	Time   time.Time
	VM     string
	Part   string
	Kind   string
	Object string
	Detail string
}

// TimelineResponse is the response to GET /v1/timeline.
type TimelineResponse struct {
	// Events contains the latest events of the VMs that answered, up to the requested limit, in causal order.
	Events []Event
	// Missing contains the names of the VMs that did not answer, in alphabetical order.
	Missing []string
}
