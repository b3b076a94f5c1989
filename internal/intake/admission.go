package intake

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/balsamcove/balsamcove/internal/admitter"
	"github.com/balsamcove/balsamcove/internal/logger"
	"github.com/balsamcove/balsamcove/internal/messenger"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/refuser"
	"github.com/balsamcove/balsamcove/pkg/submitter"
)

// knownTimeout bounds the question whether a job is known. A holder under pressure answers
// late; a shorter time would end the connection for all other questions.
const knownTimeout = time.Second

// Board is what the holders of other cells said last of what they accept.
type Board interface {
	Verdict(cell identifier.Cell, queue identifier.Queue) (v admitter.Verdict, age time.Duration, refuses bool)
}

// WithBoard sets where the words of holders on other hosts are found; without one jobs
// are refused only by a holder on this host.
func WithBoard(b Board) Option { return func(s *Service) { s.board = b } }

// reject returns why a job is not accepted, or nil. Nothing of a refused job is stored, by
// this attempt or an earlier one that the holder or this host knows of, so that it
// certainly does not run. If that cannot be made sure the job is accepted.
func (s *Service) reject(ctx context.Context, job *submitter.Job) *refuser.Refusal {
	if !hasObjective(job) {
		return nil
	}
	cell := identifier.CellOf(job.ID, s.cells)
	verdict, age, refuses := s.verdict(cell, job.Queue)
	if !refuses || verdict.Admits(job.ID) || s.uncertain.has(job.ID) {
		return nil
	}
	switch known, err := s.known(ctx, cell, job.ID); {
	case err != nil:
		s.logger.Info("job is accepted under pressure, its holder does not say whether it is known", zap.String("request", string(job.ID)), logger.Err(err))
		return nil
	case known:
		return nil
	}
	return refuser.New(refuser.CodeOverloaded, "of queue %s only %.2f can be served in time, as of %v ago", job.Queue, float64(verdict.Share), age.Round(time.Millisecond)).
		WithRetryAfter(verdict.ReturnAfter(job.ID))
}

// hasObjective reports whether a job is of use only if it is completed in time.
func hasObjective(job *submitter.Job) bool {
	if job.Schedule != nil {
		return false
	}
	for i := range job.Steps {
		if job.Steps[i].LongRunning {
			return false
		}
	}
	return true
}

// verdict returns what a cell's holder accepts of a queue.
func (s *Service) verdict(cell identifier.Cell, queue identifier.Queue) (v admitter.Verdict, age time.Duration, refuses bool) {
	if h, ok := s.held(cell); ok {
		v, refuses = h.Admission()[queue]
		return v, 0, refuses
	}
	if s.board == nil {
		return v, 0, false
	}
	return s.board.Verdict(cell, queue)
}

// known asks once whether the holder knows a job.
func (s *Service) known(ctx context.Context, cell identifier.Cell, id identifier.Job) (bool, error) {
	known := false
	err := s.askOnceWithin(ctx, knownTimeout, cell, func(ctx context.Context, h Holder) error {
		ctx, cancel := context.WithTimeout(ctx, knownTimeout)
		defer cancel()
		var err error
		known, err = h.Known(ctx, id)
		return err
	}, messenger.MethodJobKnown, stateCall{id}, &known)
	return known, err
}
