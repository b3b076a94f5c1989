package intake

import (
	"context"
	"encoding/json"
	"slices"

	"github.com/balsamcove/balsamcove/internal/messenger"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/refuser"
	"github.com/balsamcove/balsamcove/pkg/submitter"
)

// answer is what a holder says about a job that it may not know.
type answer[T any] struct {
	Known bool `json:"known"`
	Value T    `json:"value"`
}

// Report returns what callers may know of a job. The error is a *refuser.Refusal.
func (s *Service) Report(ctx context.Context, id identifier.Job) (r submitter.Report, known bool, err error) {
	return ask(ctx, s, id, messenger.MethodJobReport, Holder.Report)
}

// Explain says why a job is where it is. The error is a *refuser.Refusal.
func (s *Service) Explain(ctx context.Context, id identifier.Job) (e submitter.Explanation, known bool, err error) {
	return ask(ctx, s, id, messenger.MethodJobExplain, Holder.Explain)
}

// ask asks the holder of a job's cell, here or elsewhere.
func ask[T any](ctx context.Context, s *Service, id identifier.Job, method messenger.Method, here func(Holder, context.Context, identifier.Job) (T, bool, error)) (value T, known bool, err error) {
	var out answer[T]
	err = s.askHolder(ctx, identifier.CellOf(id, s.cells), func(ctx context.Context, h Holder) error {
		var err error
		out.Value, out.Known, err = here(h, ctx, id)
		return err
	}, method, stateCall{id}, &out)
	return out.Value, out.Known, err
}

// listCall asks for the jobs of a cell.
type listCall struct {
	Cell      identifier.Cell     `json:"cell"`
	Selection submitter.Selection `json:"selection"`
}

// List returns the selected jobs of all cells in the order of their submission.
// The error is a *refuser.Refusal.
func (s *Service) List(ctx context.Context, sel submitter.Selection) (submitter.Reports, error) {
	all := submitter.Reports{Jobs: []submitter.Report{}}
	for cell := range identifier.Cell(s.cells) {
		var out submitter.Reports
		err := s.askHolder(ctx, cell, func(_ context.Context, h Holder) error {
			var err error
			out, err = h.List(sel)
			return err
		}, messenger.MethodJobList, listCall{cell, sel}, &out)
		if err != nil {
			return submitter.Reports{}, err
		}
		all.Jobs = append(all.Jobs, out.Jobs...)
		all.More = all.More || out.More
	}
	slices.SortFunc(all.Jobs, submitter.Report.Compare)
	return all, nil
}

// handle answers another host about a job of a cell that is held here.
func handle[T any](ctx context.Context, s *Service, params json.RawMessage, here func(Holder, context.Context, identifier.Job) (T, bool, error)) (any, error) {
	var in stateCall
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, refuser.New(refuser.CodeInvalid, "%v", err)
	}
	return askHere(s, identifier.CellOf(in.ID, s.cells), func(h Holder) (answer[T], error) {
		value, known, err := here(h, ctx, in.ID)
		return answer[T]{known, value}, err
	})
}

func (s *Service) handleList(params json.RawMessage) (any, error) {
	var in listCall
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, refuser.New(refuser.CodeInvalid, "%v", err)
	}
	return askHere(s, in.Cell, func(h Holder) (submitter.Reports, error) { return h.List(in.Selection) })
}

// askHere asks the holder of a cell for another host, if it is this one.
func askHere[T any](s *Service, cell identifier.Cell, ask func(Holder) (T, error)) (any, error) {
	h, ok := s.held(cell)
	if !ok {
		return nil, refuser.New(refuser.CodeNotReady, "the cell is not held here")
	}
	out, err := ask(h)
	if err != nil {
		return nil, refuser.New(refuser.CodeUnavailable, "%v", err)
	}
	return out, nil
}
