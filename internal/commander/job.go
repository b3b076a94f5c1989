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

// jobCommands holds the commands for jobs of several steps, which scheduling hosts run.
type jobCommands struct {
	Submit  jobSubmitCommand  `cmd:"" help:"Submit a job."`
	Status  jobStatusCommand  `cmd:"" help:"Show a job."`
	List    jobListCommand    `cmd:"" help:"List jobs."`
	Explain jobExplainCommand `cmd:"" help:"Explain the state of a job."`
	Preview jobPreviewCommand `cmd:"" help:"Tell where a job would run now, and why, without submitting it."`
	Cancel  jobCancelCommand  `cmd:"" help:"Cancel jobs."`
}

type jobSubmitCommand struct {
	File  string `arg:"" help:"Job file."`
	ID    string `help:"ID of the job; submitting again with the same ID is safe." placeholder:"JOB"`
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
		return s.print(job, func() { s.printLine("job of %d tasks in %d steps: no problems", job.Tasks(), len(job.Steps)) })
	}
	cl, err := s.newClient()
	if err != nil {
		return err
	}
	out, err := cl.SubmitJob(s.ctx, job)
	if err != nil {
		return err
	}
	return s.print(out, func() { s.printLine("accepted: job %s", out.ID) })
}

// readJob reads a job file. The error is that of reading the file, or a *parser.InvalidError that
// lists every problem.
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

// Run shows the state of a job.
func (c *jobStatusCommand) Run(s *session) error {
	cl, err := s.newClient()
	if err != nil {
		return err
	}
	r, err := cl.Job(s.ctx, identifier.Job(c.Job))
	if err != nil {
		return err
	}
	return s.print(r, func() {
		s.printLine("job %s of queue %s is %s; submitted %s, to be completed by %s", r.ID, r.Queue, r.State, formatTime(r.Submitted), formatTime(r.Objective))
		var rows [][]any
		for i, st := range r.Steps {
			rows = append(rows, []any{i, st.Tasks, st.Blocked, st.Ready, st.Placed, st.Running, st.Done, st.Failures})
		}
		s.printTable([]any{"STEP", "TASKS", "BLOCKED", "READY", "PLACED", "RUNNING", "DONE", "FAILURES"}, rows)
	})
}

func formatTime(m identifier.UnixMillis) string { return m.Time().UTC().Format(time.RFC3339) }

type jobListCommand struct {
	State string `help:"Only jobs in this state: ${enum}." enum:",queued,running,completed,failed,cancelled" default:""`
	Queue string `help:"Only jobs of this queue."`
}

// Run lists jobs.
func (c *jobListCommand) Run(s *session) error {
	cl, err := s.newClient()
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
			rows = append(rows, []any{r.ID, r.Queue, r.State, fmt.Sprintf("%d of %d", done, tasks), formatTime(r.Submitted)})
		}
		s.printTable([]any{"JOB", "QUEUE", "STATE", "TASKS DONE", "SUBMITTED"}, rows)
		if out.More {
			s.printLine("there are more jobs; select them by --queue or --state")
		}
	})
}

type jobExplainCommand struct {
	Job string `arg:"" help:"Job."`
}

// Run explains the state of a job.
func (c *jobExplainCommand) Run(s *session) error {
	cl, err := s.newClient()
	if err != nil {
		return err
	}
	e, err := cl.ExplainJob(s.ctx, identifier.Job(c.Job))
	if err != nil {
		return err
	}
	return s.print(e, func() {
		s.printLine("job %s is %s", e.ID, e.State)
		for _, r := range e.Reasons {
			s.printLine("  %s", r)
		}
	})
}

type jobPreviewCommand struct {
	File string `arg:"" help:"Job file."`
}

// Run tells where the tasks of a job would run.
func (c *jobPreviewCommand) Run(s *session) error {
	job, err := readJob(c.File)
	if err != nil {
		return err
	}
	if job.ID == "" {
		job.ID = identifier.Job(identifier.NewName("j-"))
	}
	if err := job.Check(); err != nil {
		return err
	}
	cl, err := s.newClient()
	if err != nil {
		return err
	}
	out, err := cl.PreviewJob(s.ctx, job)
	if err != nil {
		return err
	}
	return s.print(out, func() { s.printPreview(out) })
}

func (s *session) printPreview(out submitter.Preview) {
	s.printLine("queue %s: %d jobs that wait are served before", out.Queue, out.Ahead)
	if out.Hold != "" {
		s.printLine("nothing starts now: %s", out.Hold)
	}
	for i, st := range out.Steps {
		s.printLine("step %d: %d tasks, %d workers would take one now", i, st.Tasks, st.CandidateCount)
		if len(st.After) > 0 {
			s.printLine("  it begins after steps %v", st.After)
		}
		if st.WaitMillis > 0 {
			s.printLine("  it would wait %d ms for the rack of its data, where it ends sooner", st.WaitMillis)
		}
		var rows [][]any
		for _, w := range st.Candidates {
			rows = append(rows, []any{w.Worker, w.DataCentre, w.Rack, fmt.Sprintf("%.2f", w.Score)})
		}
		if len(rows) > 0 {
			s.printTable([]any{"WORKER", columnDataCentre, "RACK", "SCORE"}, rows)
		}
		for _, r := range st.RuledOut {
			s.printLine("  %d workers %s", r.Workers, r.Reason)
		}
	}
}

type jobCancelCommand struct {
	Jobs []string `arg:"" help:"Jobs to cancel."`
}

// Run cancels jobs. If one cannot be cancelled, it goes on with the others.
func (c *jobCancelCommand) Run(s *session) error {
	cl, err := s.newClient()
	if err != nil {
		return err
	}
	return forEach(c.Jobs, func(id string) error {
		out, err := cl.CancelJob(s.ctx, identifier.Job(id))
		if err != nil {
			return err
		}
		return s.print(out, func() { s.printLine("accepted: job %s is cancelled", out.ID) })
	})
}

// forEach calls fn for every value, even after errors, and returns the errors combined.
func forEach(values []string, fn func(string) error) error {
	var errs error
	for _, v := range values {
		errs = errors.CombineErrors(errs, fn(v))
	}
	return errs
}
