package client

import (
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/parser"
)

// Status is the state that an entry host reports of itself, of its data centre's cell lease and of
// its peers. Version is the configuration version in force.
type Status struct {
	Entry       identifier.Entry         `json:"entry"`
	DataCentre  identifier.DataCentre    `json:"dataCentre"`
	Ready       bool                     `json:"ready"`
	Leaving     bool                     `json:"leaving"`
	Version     identifier.ConfigVersion `json:"version"`
	HoldsLease  bool                     `json:"holdsLease"`
	LeaseHolder identifier.Entry         `json:"leaseHolder"`
	Epoch       identifier.Epoch         `json:"epoch"`
	Members     []Member                 `json:"members"`
}

// Member is another live entry host.
type Member struct {
	Entry      identifier.Entry      `json:"entry"`
	DataCentre identifier.DataCentre `json:"dataCentre"`
	Address    string                `json:"address"`
	Ready      bool                  `json:"ready"`
	Leaving    bool                  `json:"leaving"`
}

// Config is the configuration in force.
type Config struct {
	Version identifier.ConfigVersion `json:"version"`
	Objects []ObjectText             `json:"objects"`
}

// ObjectText is a configuration object encoded as YAML.
type ObjectText struct {
	Key  parser.Key `json:"key"`
	Text string     `json:"text"`
}

// Publication is a request to change the configuration. Base is the version that the change was
// made against; if it is nil, the change applies to whatever is in force. Repeating a publication
// with the same ID is safe.
type Publication struct {
	ID      identifier.Publication    `json:"id"`
	Base    *identifier.ConfigVersion `json:"base,omitempty"`
	Author  string                    `json:"author"`
	Sources []parser.Source           `json:"sources"`
	Deletes []parser.Key              `json:"deletes,omitempty"`
}

// Change is an accepted publication.
type Change struct {
	Publication identifier.Publication   `json:"publication"`
	Version     identifier.ConfigVersion `json:"version"`
	Author      string                   `json:"author"`
	AtUnixMs    int64                    `json:"atUnixMs"`
	Upserts     []string                 `json:"upserts,omitempty"`
	Deletes     []string                 `json:"deletes,omitempty"`
}

// History lists accepted publications, oldest first.
type History struct {
	Changes []Change `json:"changes"`
}

// Submission is a request to execute a task once. Repeating it with the same task ID is safe.
type Submission struct {
	Task    identifier.Task `json:"task"`
	Pool    identifier.Pool `json:"pool"`
	Payload string          `json:"payload"`
}

// Task is the state of a task.
type Task struct {
	ID                identifier.Task       `json:"id"`
	Pool              identifier.Pool       `json:"pool"`
	State             string                `json:"state"`
	Outcome           string                `json:"outcome,omitempty"`
	Detail            string                `json:"detail,omitempty"`
	DataCentre        identifier.DataCentre `json:"dataCentre,omitempty"`
	Worker            identifier.Worker     `json:"worker,omitempty"`
	Attempt           identifier.Attempt    `json:"attempt"`
	Evictions         int                   `json:"evictions"`
	Failures          int                   `json:"failures"`
	Cancelled         bool                  `json:"cancelRequested,omitempty"`
	Checkpoint        string                `json:"checkpoint,omitempty"`
	SubmittedAtUnixMs int64                 `json:"submittedAtUnixMs"`
}

// Tasks lists tasks.
type Tasks struct {
	Tasks []Task `json:"tasks"`
}

// Reason is the explanation of a task's state by an entry host of one data centre. Holder is set if
// that host holds the lease on the data centre's cell.
type Reason struct {
	DataCentre identifier.DataCentre `json:"dataCentre"`
	Entry      identifier.Entry      `json:"entry,omitempty"`
	Holder     bool                  `json:"holder,omitempty"`
	Lines      []string              `json:"lines"`
}

// Explanation is the state of a task and the reasons for it.
type Explanation struct {
	Task    Task     `json:"task"`
	Reasons []Reason `json:"reasons"`
}

// Progress holds the number and the IDs of the tasks that a data centre still holds.
type Progress struct {
	DataCentre identifier.DataCentre `json:"dataCentre"`
	State      parser.Availability   `json:"state"`
	Claimed    int                   `json:"claimed"`
	Tasks      []identifier.Task     `json:"tasks,omitempty"`
}

// Answer is a minion's response to a request.
type Answer struct {
	Status    int                `json:"status"`
	Body      []byte             `json:"body"`
	RequestID identifier.Request `json:"requestId"`
	Minion    identifier.Minion  `json:"minion"`
}

// Request is a request to a service. If ID is empty, the entry host chooses one; if DeadlineMs is
// zero, the deadline of the service applies.
type Request struct {
	ID         identifier.Request
	Service    identifier.Service
	Idempotent bool
	DeadlineMs int64
	Body       []byte
}
