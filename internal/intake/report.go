package intake

import (
	"context"
	"encoding/json"
	"slices"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/internal/messenger"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/refuser"
	"github.com/balsamcove/balsamcove/pkg/submitter"
)

// jobAnswer is a holder's answer to a query about one job; Known is false if it has no such job.
type jobAnswer[T any] struct {
	Known bool `json:"known"`
	Value T    `json:"value"`
}

// Report returns the status report of a job. The error is a *refuser.Refusal.
func (s *Service) Report(ctx context.Context, id identifier.Job) (r submitter.Report, known bool, err error) {
	return queryJob(ctx, s, id, messenger.MethodJobReport, Holder.Report)
}

// Explain returns an explanation of a job's state. The error is a *refuser.Refusal.
func (s *Service) Explain(ctx context.Context, id identifier.Job) (e submitter.Explanation, known bool, err error) {
	return queryJob(ctx, s, id, messenger.MethodJobExplain, Holder.Explain)
}

// queryJob queries the holder of a job's cell, on this host or another.
func queryJob[T any](ctx context.Context, s *Service, id identifier.Job, method messenger.Method, askLocal func(Holder, context.Context, identifier.Job) (T, bool, error)) (value T, known bool, err error) {
	var out jobAnswer[T]
	err = s.queryHolder(ctx, identifier.CellOf(id, s.cells), func(ctx context.Context, h Holder) error {
		var err error
		out.Value, out.Known, err = askLocal(h, ctx, id)
		return err
	}, method, jobRequest{id}, &out)
	return out.Value, out.Known, err
}

// listRequest is the parameter of a query for the jobs of a cell.
type listRequest struct {
	Cell      identifier.Cell     `json:"cell"`
	Selection submitter.Selection `json:"selection"`
}

// List returns the selected jobs of all cells in the order of their submission. The error is a
// *refuser.Refusal.
func (s *Service) List(ctx context.Context, sel submitter.Selection) (submitter.Reports, error) {
	all := submitter.Reports{Jobs: []submitter.Report{}}
	for cell := range identifier.Cell(s.cells) {
		var out submitter.Reports
		err := s.queryHolder(ctx, cell, func(_ context.Context, h Holder) error {
			var err error
			out, err = h.List(sel)
			return err
		}, messenger.MethodJobList, listRequest{cell, sel}, &out)
		if err != nil {
			return submitter.Reports{}, err
		}
		all.Jobs = append(all.Jobs, out.Jobs...)
		all.More = all.More || out.More
	}
	slices.SortFunc(all.Jobs, submitter.Report.Compare)
	return all, nil
}

// previewRequest is the parameter of a query for where a job would run.
type previewRequest struct {
	Job   submitter.Job         `json:"job"`
	Queue connector.QueueConfig `json:"queue"`
}

// Preview tells where the tasks of a job would run if it were submitted now. Nothing is stored. The
// error is a *refuser.Refusal.
func (s *Service) Preview(ctx context.Context, job submitter.Job, queue connector.QueueConfig) (submitter.Preview, error) {
	var out submitter.Preview
	err := s.queryHolder(ctx, identifier.CellOf(job.ID, s.cells), func(_ context.Context, h Holder) error {
		var err error
		out, err = h.Preview(job, queue)
		return err
	}, messenger.MethodJobPreview, previewRequest{job, queue}, &out)
	return out, err
}

func (s *Service) handlePreview(params json.RawMessage) (any, error) {
	var in previewRequest
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, refuser.New(refuser.CodeInvalid, "%v", err)
	}
	if err := in.Job.Check(); err != nil {
		return nil, err
	}
	return answerLocally(s, identifier.CellOf(in.Job.ID, s.cells), func(h Holder) (submitter.Preview, error) {
		return h.Preview(in.Job, in.Queue)
	})
}

// handleJobQuery answers another host's query about one job.
func handleJobQuery[T any](ctx context.Context, s *Service, params json.RawMessage, askLocal func(Holder, context.Context, identifier.Job) (T, bool, error)) (any, error) {
	var in jobRequest
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, refuser.New(refuser.CodeInvalid, "%v", err)
	}
	return answerLocally(s, identifier.CellOf(in.ID, s.cells), func(h Holder) (jobAnswer[T], error) {
		value, known, err := askLocal(h, ctx, in.ID)
		return jobAnswer[T]{known, value}, err
	})
}

func (s *Service) handleList(params json.RawMessage) (any, error) {
	var in listRequest
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, refuser.New(refuser.CodeInvalid, "%v", err)
	}
	return answerLocally(s, in.Cell, func(h Holder) (submitter.Reports, error) { return h.List(in.Selection) })
}

// answerLocally answers another host's query with this host's holder of a cell. The error is a
// *refuser.Refusal.
func answerLocally[T any](s *Service, cell identifier.Cell, ask func(Holder) (T, error)) (any, error) {
	h, ok := s.localHolder(cell)
	if !ok {
		return nil, refuser.New(refuser.CodeNotReady, "the cell is not held here")
	}
	out, err := ask(h)
	if err != nil {
		return nil, refuser.New(refuser.CodeUnavailable, "%v", err)
	}
	return out, nil
}
