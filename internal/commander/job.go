package commander

import (
	"fmt"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/parser"
	"github.com/balsamcove/balsamcove/pkg/submitter"
)

// jobCommands are the commands about jobs of several steps, which scheduling hosts
// run.
type jobCommands struct {
	Submit  jobSubmitCommand  `cmd:"" help:"Submit a job."`
	Status  jobStatusCommand  `cmd:"" help:"Show a job."`
	List    jobListCommand    `cmd:"" help:"List jobs."`
	Explain jobExplainCommand `cmd:"" help:"Say why a job is where it is."`
	Cancel  jobCancelCommand  `cmd:"" help:"Cancel jobs."`
}

type jobSubmitCommand struct {
	File  string `arg:"" help:"Job file."`
	ID    string `help:"Identity of the job; submitting the same one again is safe." placeholder:"JOB"`
	Check bool   `help:"Only check the file."`
}

// Run submits a job.
func (c *jobSubmitCommand) Run(s *session) error {
	job, err := readJob(c.File)
	if err != nil {
		return err
	}
	if c.ID != "" {
		job.ID = identifier.Job(c.ID)
	}
	if job.ID == "" {
		job.ID = identifier.Job(identifier.NewName("j-"))
	}
	if err := job.Check(); err != nil {
		return err
	}
	if c.Check {
		return s.print(job, func() { s.line("job of %d tasks in %d steps: no problems", job.Tasks(), len(job.Steps)) })
	}
	cl, err := s.client()
	if err != nil {
		return err
	}
	out, err := cl.SubmitJob(s.ctx, job)
	if err != nil {
		return err
	}
	return s.print(out, func() { s.line("accepted: job %s", out.ID) })
}

// readJob reads a job file; the error is a *parser.InvalidError that lists every
// problem, or that of reading the file.
func readJob(file string) (submitter.Job, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return submitter.Job{}, errors.Wrap(err, "read job")
	}
	var job submitter.Job
	if _, problems := parser.Decode(file, data, &job); len(problems) > 0 {
		return submitter.Job{}, &parser.InvalidError{Problems: problems}
	}
	return job, nil
}

type jobStatusCommand struct {
	Job string `arg:"" help:"Job."`
}

// Run shows a job.
func (c *jobStatusCommand) Run(s *session) error {
	cl, err := s.client()
	if err != nil {
		return err
	}
	r, err := cl.Job(s.ctx, identifier.Job(c.Job))
	if err != nil {
		return err
	}
	return s.print(r, func() {
		s.line("job %s of queue %s is %s; submitted %s, to be completed by %s", r.ID, r.Queue, r.State, clockTime(r.Submitted), clockTime(r.Objective))
		var rows [][]any
		for i, st := range r.Steps {
			rows = append(rows, []any{i, st.Tasks, st.Blocked, st.Ready, st.Placed, st.Done, st.Failures})
		}
		s.table([]any{"STEP", "TASKS", "BLOCKED", "READY", "PLACED", "DONE", "FAILURES"}, rows)
	})
}

func clockTime(m identifier.UnixMillis) string { return m.Time().UTC().Format(time.RFC3339) }

type jobListCommand struct {
	State string `help:"Only jobs of a state: ${enum}." enum:",queued,running,completed,failed,cancelled" default:""`
	Queue string `help:"Only jobs of a queue."`
}

// Run lists jobs.
func (c *jobListCommand) Run(s *session) error {
	cl, err := s.client()
	if err != nil {
		return err
	}
	out, err := cl.Jobs(s.ctx, submitter.Selection{Queue: identifier.Queue(c.Queue), State: c.State})
	if err != nil {
		return err
	}
	return s.print(out, func() {
		var rows [][]any
		for _, r := range out.Jobs {
			done, tasks := 0, 0
			for _, st := range r.Steps {
				done, tasks = done+st.Done, tasks+st.Tasks
			}
			rows = append(rows, []any{r.ID, r.Queue, r.State, fmt.Sprintf("%d of %d", done, tasks), clockTime(r.Submitted)})
		}
		s.table([]any{"JOB", "QUEUE", "STATE", "TASKS DONE", "SUBMITTED"}, rows)
		if out.More {
			s.line("there are more; choose a queue or a state")
		}
	})
}

type jobExplainCommand struct {
	Job string `arg:"" help:"Job."`
}

// Run says why a job is where it is.
func (c *jobExplainCommand) Run(s *session) error {
	cl, err := s.client()
	if err != nil {
		return err
	}
	e, err := cl.ExplainJob(s.ctx, identifier.Job(c.Job))
	if err != nil {
		return err
	}
	return s.print(e, func() {
		s.line("job %s is %s", e.ID, e.State)
		for _, r := range e.Reasons {
			s.line("  %s", r)
		}
	})
}

type jobCancelCommand struct {
	Jobs []string `arg:"" help:"Jobs to cancel."`
}

// Run cancels jobs, all of them even if some cannot be.
func (c *jobCancelCommand) Run(s *session) error {
	cl, err := s.client()
	if err != nil {
		return err
	}
	return eachOf(c.Jobs, func(id string) error {
		out, err := cl.CancelJob(s.ctx, identifier.Job(id))
		if err != nil {
			return err
		}
		return s.print(out, func() { s.line("accepted: job %s is cancelled", out.ID) })
	})
}

// eachOf calls fn for every value and returns all errors as one.
func eachOf(values []string, fn func(string) error) error {
	var failed error
	for _, v := range values {
		failed = errors.CombineErrors(failed, fn(v))
	}
	return failed
}
