package administrator

import (
	"encoding/json"
	"time"

	"github.com/anvildyke/anvildyke/internal/blackboard"
	"github.com/anvildyke/anvildyke/internal/classifier"
)

// Fault is one reason why a set is refused. File and Line are set for faults of the file, Object for faults of the set.
type Fault struct {
	File    string `json:",omitempty"`
	Line    int    `json:",omitempty"`
	Object  string `json:",omitempty"`
	Field   string `json:",omitempty"`
	Message string
}

// ErrorResponse is the body of every answer that is not a success.
type ErrorResponse struct {
	Code    classifier.Code
	Name    string
	Message string
	Faults  []Fault `json:",omitempty"`
}

// ApplyResponse is the answer to POST /v1/apply.
type ApplyResponse struct {
	Generation uint64
	// Unchanged is true when the set was in force already.
	Unchanged bool
	// Objects are the keys of the objects that changed.
	Objects []string
}

// ValidateResponse is the answer to POST /v1/validate for a set without faults.
type ValidateResponse struct {
	// Objects is the number of objects in the set.
	Objects int
}

// ObjectsResponse is the answer to GET /v1/objects/{kind} and GET /v1/objects/{kind}/{name}.
type ObjectsResponse struct {
	Generation uint64
	// Objects is a list of objects as they stand in a JSON file.
	Objects json.RawMessage
}

// Member is one entry VM.
type Member struct {
	Name             string
	AvailabilityZone string
	Address          string
	State            string
	Generation       uint64
}

// Replica is one backend server.
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

// Move is one version move. It is final when Recorded is true.
type Move struct {
	Name          string
	Application   string
	From          string
	To            string
	SharePerMille int
	Outcome       blackboard.MoveOutcome
	// Reason is one sentence, or empty.
	Reason string
	// Recorded is true when the platform holds the outcome, which is the one that everybody is told.
	Recorded bool
}

// StatusResponse is the answer to GET /v1/status: the state as this VM knows it.
type StatusResponse struct {
	VM         string
	Phase      blackboard.Phase
	Generation uint64
	Members    []Member
	Replicas   []Replica
	Moves      []Move
}

// Event is one entry of the time line.
type Event struct {
	Time   time.Time
	VM     string
	Part   string
	Kind   string
	Object string
	Detail string
}

// TimelineResponse is the answer to GET /v1/timeline.
type TimelineResponse struct {
	// Events are in causal order.
	Events []Event
	// Missing names the VMs that did not answer.
	Missing []string
}
