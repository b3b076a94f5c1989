package client

import (
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/parser"
)

// Status is what an entry host says about itself.
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

// ObjectText is a configuration object as YAML.
type ObjectText struct {
	Key  parser.Key `json:"key"`
	Text string     `json:"text"`
}

// Publication is an operator's wish to change the configuration. Without a
// base it changes whatever is in force. Sending the same ID again is safe.
type Publication struct {
	ID      identifier.Publication    `json:"id"`
	Base    *identifier.ConfigVersion `json:"base,omitempty"`
	Author  string                    `json:"author"`
	Sources []parser.Source           `json:"sources"`
	Deletes []parser.Key              `json:"deletes,omitempty"`
}

// Change is one accepted publication.
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

// Submission is a wish to have a task executed once. Sending the same task
// again is safe.
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

// Reason is what one data centre says about a task.
type Reason struct {
	DataCentre identifier.DataCentre `json:"dataCentre"`
	Entry      identifier.Entry      `json:"entry,omitempty"`
	Holder     bool                  `json:"holder,omitempty"`
	Lines      []string              `json:"lines"`
}

// Explanation says why a task is in its state.
type Explanation struct {
	Task    Task     `json:"task"`
	Reasons []Reason `json:"reasons"`
}

// Progress counts the tasks that a data centre still holds.
type Progress struct {
	DataCentre identifier.DataCentre `json:"dataCentre"`
	State      parser.Availability   `json:"state"`
	Claimed    int                   `json:"claimed"`
	Tasks      []identifier.Task     `json:"tasks,omitempty"`
}

// Answer is a minion's answer to a request.
type Answer struct {
	Status    int                `json:"status"`
	Body      []byte             `json:"body"`
	RequestID identifier.Request `json:"requestId"`
	Minion    identifier.Minion  `json:"minion"`
}

// Request is a request for a service.
type Request struct {
	ID         identifier.Request
	Service    identifier.Service
	Idempotent bool
	DeadlineMs int64
	Body       []byte
}
