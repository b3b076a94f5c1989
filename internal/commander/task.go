package commander

import (
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/balsamcove/balsamcove/pkg/client"
	"github.com/balsamcove/balsamcove/pkg/identifier"
)

type requestCommand struct {
	Service    string   `arg:"" help:"Service to call."`
	Body       string   `arg:"" optional:"" help:"Body of the request; - reads it from standard input."`
	Callers    []string `help:"Addresses at which entry hosts serve callers." env:"BALSAMCOVE_CALLERS" default:"127.0.0.1:7101" sep:"," placeholder:"IP:PORT"`
	ID         string   `help:"ID of the request; use the same ID to send it again."`
	Idempotent bool     `help:"The request may be executed more than once."`
	DeadlineMs int64    `help:"Deadline in milliseconds; by default, that of the service." placeholder:"MS"`
}

// Run sends a request and prints the body of the response.
func (c *requestCommand) Run(s *session) error {
	body := []byte(c.Body)
	if c.Body == "-" {
		var err error
		if body, err = io.ReadAll(os.Stdin); err != nil {
			return errors.Wrap(err, "read body")
		}
	}
	cl, err := client.New(c.Callers, client.WithTimeout(s.Timeout))
	if err != nil {
		return err
	}
	a, err := cl.Request(s.ctx, client.Request{
		ID: identifier.Request(c.ID), Service: identifier.Service(c.Service),
		Idempotent: c.Idempotent, DeadlineMs: c.DeadlineMs, Body: body,
	})
	if err != nil {
		return err
	}
	return s.print(a, func() { s.printLine("%s", a.Body) })
}

type submitCommand struct {
	Pool    string `arg:"" help:"Batch pool."`
	ID      string `help:"ID of the task; submitting again with the same ID is safe." placeholder:"TASK"`
	Payload string `help:"Payload to pass to the worker."`
}

// Run submits a task.
func (c *submitCommand) Run(s *session) error {
	cl, err := s.newClient()
	if err != nil {
		return err
	}
	id := identifier.Task(c.ID)
	if id == "" {
		id = identifier.Task(identifier.NewName("t-"))
	}
	t, err := cl.Submit(s.ctx, client.Submission{Task: id, Pool: identifier.Pool(c.Pool), Payload: c.Payload})
	if err != nil {
		return err
	}
	return s.print(t, func() { s.printLine("accepted: task %s %s", t.ID, t.State) })
}

type cancelCommand struct {
	Tasks []string `arg:"" help:"Tasks to cancel."`
}

// Run cancels tasks. If one cannot be cancelled, it goes on with the others.
func (c *cancelCommand) Run(s *session) error {
	cl, err := s.newClient()
	if err != nil {
		return err
	}
	return forEach(c.Tasks, func(id string) error {
		t, err := cl.Cancel(s.ctx, identifier.Task(id))
		if err != nil {
			return err
		}
		return s.print(t, func() { s.printLine("accepted: task %s %s%s", t.ID, t.State, outcomeSuffix(t.Outcome)) })
	})
}

type resumeCommand struct {
	Task string `arg:"" help:"Task whose last attempt is known not to have finished."`
}

// Run allows another attempt of a task whose last attempt has an unknown outcome.
func (c *resumeCommand) Run(s *session) error {
	cl, err := s.newClient()
	if err != nil {
		return err
	}
	t, err := cl.Resume(s.ctx, identifier.Task(c.Task))
	if err != nil {
		return err
	}
	return s.print(t, func() { s.printLine("resumed: task %s %s", t.ID, t.State) })
}

type statusCommand struct {
	Task string `arg:"" optional:"" help:"Task to show; by default, the entry host is shown."`
}

// Run shows the state of a task or of the entry host.
func (c *statusCommand) Run(s *session) error {
	cl, err := s.newClient()
	if err != nil {
		return err
	}
	if c.Task == "" {
		return s.printHostStatus(cl)
	}
	t, err := cl.Task(s.ctx, identifier.Task(c.Task))
	if err != nil {
		return err
	}
	return s.print(t, func() {
		s.printTable(taskHeader(), [][]any{taskRow(t)})
	})
}

func taskHeader() []any {
	return []any{"TASK", "POOL", "STATE", "OUTCOME", "ATTEMPT", columnDataCentre, "WORKER", "EVICTIONS", "FAILURES"}
}

func taskRow(t client.Task) []any {
	return []any{t.ID, t.Pool, t.State, orDash(t.Outcome), t.Attempt, orDash(string(t.DataCentre)), orDash(string(t.Worker)), t.Evictions, t.Failures}
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

func (s *session) printHostStatus(cl *client.Client) error {
	st, err := cl.Status(s.ctx)
	if err != nil {
		return err
	}
	return s.print(st, func() {
		s.printLine("entry host %s in %s: ready %t, version %d, cell lease held by %s (epoch %d)",
			st.Entry, st.DataCentre, st.Ready, st.Version, orDash(string(st.LeaseHolder)), st.Epoch)
		var rows [][]any
		for _, m := range st.Members {
			rows = append(rows, []any{m.Entry, m.DataCentre, m.Address, m.Ready, m.Leaving})
		}
		s.printTable([]any{"MEMBER", columnDataCentre, "ADDRESS", "READY", "LEAVING"}, rows)
	})
}

type listCommand struct {
	State string `help:"Only tasks in this state: ${enum}." enum:",waiting,claimed,ended" default:""`
	Pool  string `help:"Only tasks of this batch pool."`
}

// Run lists tasks.
func (c *listCommand) Run(s *session) error {
	cl, err := s.newClient()
	if err != nil {
		return err
	}
	tasks, err := cl.Tasks(s.ctx, c.State, identifier.Pool(c.Pool))
	if err != nil {
		return err
	}
	return s.print(tasks, func() {
		var rows [][]any
		for _, t := range tasks.Tasks {
			rows = append(rows, taskRow(t))
		}
		s.printTable(taskHeader(), rows)
	})
}

type explainCommand struct {
	Task string `arg:"" help:"Task."`
}

// Run explains the state of a task.
func (c *explainCommand) Run(s *session) error {
	cl, err := s.newClient()
	if err != nil {
		return err
	}
	e, err := cl.Explain(s.ctx, identifier.Task(c.Task))
	if err != nil {
		return err
	}
	return s.print(e, func() {
		s.printLine("task %s is %s%s", e.Task.ID, e.Task.State, outcomeSuffix(e.Task.Outcome))
		for _, r := range e.Reasons {
			s.printLine("  %s: %s", r.DataCentre, strings.Join(r.Lines, "; "))
		}
	})
}

func outcomeSuffix(outcome string) string {
	if outcome == "" {
		return ""
	}
	return fmt.Sprintf(" (%s)", outcome)
}
