package intake

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/internal/logger"
	"github.com/balsamcove/balsamcove/internal/messenger"
	"github.com/balsamcove/balsamcove/internal/sleeper"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/refuser"
	"github.com/balsamcove/balsamcove/pkg/submitter"
)

const (
	// appendPause is the pause between two tries of unknown outcome.
	appendPause = 60 * time.Millisecond
	// askTimeout bounds one question to a holder.
	askTimeout = 500 * time.Millisecond
	// askPause is the pause before a holder is looked up and asked again.
	askPause = 80 * time.Millisecond
	// answerTimeout bounds a question of a caller who states no limit.
	answerTimeout = 2 * time.Second
	// storeRetryAfter is when a caller should come back while the store turns
	// hosts away; outages last seconds.
	storeRetryAfter = time.Second
)

// Holder answers questions about a cell that this host holds.
type Holder interface {
	State(ctx context.Context, id identifier.Job) (state string, known bool, err error)
	Waiting(queue identifier.Queue) (int, error)
	Report(ctx context.Context, id identifier.Job) (r submitter.Report, known bool, err error)
	Explain(ctx context.Context, id identifier.Job) (e submitter.Explanation, known bool, err error)
	List(s submitter.Selection) (submitter.Reports, error)
}

// Service accepts jobs and answers questions at one host.
type Service struct {
	rpc      *messenger.Client
	locator  *Locator
	cells    int
	batchers []*batcher
	held     func(identifier.Cell) (Holder, bool)
	logger   *zap.Logger
}

// New returns a service. Held returns the holder of a cell if it is this host.
func New(store connector.Store, rpc *messenger.Client, locator *Locator, cells int, held func(identifier.Cell) (Holder, bool), logger *zap.Logger) *Service {
	s := &Service{rpc: rpc, locator: locator, cells: cells, held: held, logger: logger}
	for cell := range cells {
		s.batchers = append(s.batchers, &batcher{store: store, part: connector.Partition(cell)})
	}
	return s
}

// Submit stores a job. The error is a *refuser.Refusal; only one of unknown
// effect leaves open whether the job runs.
func (s *Service) Submit(ctx context.Context, in Submission) error {
	record, err := EncodeSubmission(in)
	if err != nil {
		return refuser.New(refuser.CodeInvalid, "%v", err)
	}
	if n := connector.RecordBytes(record); n > connector.MaxRecordBytes {
		return refuser.New(refuser.CodeTooLarge, "the job takes %d bytes, at most %d are stored", n, connector.MaxRecordBytes)
	}
	return s.put(ctx, identifier.CellOf(in.Job.ID, s.cells), record, in.Job.ID)
}

// Cancel stores the end of a job. The error is as with Submit.
func (s *Service) Cancel(ctx context.Context, in Cancellation) error {
	record, err := EncodeCancellation(in)
	if err != nil {
		return refuser.New(refuser.CodeInvalid, "%v", err)
	}
	return s.put(ctx, identifier.CellOf(in.ID, s.cells), record, in.ID)
}

// put stores a record. A repeat of the same record is harmless, so that a try of
// unknown outcome is made again.
func (s *Service) put(ctx context.Context, cell identifier.Cell, record connector.KeyedRecord, id identifier.Job) error {
	unknown := false
	for ctx.Err() == nil {
		err := s.batchers[cell].put(ctx, record)
		if err == nil {
			return nil
		}
		unknown = unknown || errors.Is(err, connector.ErrUnknown)
		if !unknown {
			s.logger.Warn("record refused", zap.String("request", string(id)), logger.Err(err))
			return refuser.New(refuser.CodeUnavailable, "the store turns this host away: %v", err).WithRetryAfter(storeRetryAfter)
		}
		sleeper.Pause(ctx, appendPause)
	}
	if !unknown {
		return refuser.New(refuser.CodeDeadline, "no time was left to store the job").WithRetryAfter(storeRetryAfter)
	}
	s.logger.Warn("record of unknown outcome", zap.String("request", string(id)))
	return refuser.NewUnknown(refuser.CodeUnavailable, "the store did not answer in time")
}

func (s *Service) call(ctx context.Context, peer string, method messenger.Method, params, result any) error {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	return s.rpc.Call(ctx, peer, method, params, result)
}

// stateCall asks about a job.
type stateCall struct {
	ID identifier.Job `json:"id"`
}

// State returns the state of a job. The error is a *refuser.Refusal.
func (s *Service) State(ctx context.Context, id identifier.Job) (state string, known bool, err error) {
	return ask(ctx, s, id, messenger.MethodJobState, Holder.State)
}

type waitingCall struct {
	Cell  identifier.Cell  `json:"cell"`
	Queue identifier.Queue `json:"queue"`
}

// Waiting returns how many jobs of a queue have not started, over all cells.
// The error is a *refuser.Refusal.
func (s *Service) Waiting(ctx context.Context, queue identifier.Queue) (int, error) {
	sum := 0
	for cell := range identifier.Cell(s.cells) {
		n := 0
		err := s.askHolder(ctx, cell, func(_ context.Context, h Holder) error {
			var err error
			n, err = h.Waiting(queue)
			return err
		}, messenger.MethodWaiting, waitingCall{cell, queue}, &n)
		if err != nil {
			return 0, err
		}
		sum += n
	}
	return sum, nil
}

// askHolder asks the holder of a cell, wherever it is, until it answers or the
// time is up.
func (s *Service) askHolder(ctx context.Context, cell identifier.Cell, here func(context.Context, Holder) error, method messenger.Method, params, result any) error {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	var last error
	for ctx.Err() == nil {
		if last = s.askOnce(ctx, cell, here, method, params, result); last == nil {
			return nil
		}
		sleeper.Pause(ctx, askPause)
		s.locator.Refresh(ctx)
	}
	return refuser.New(refuser.CodeUnavailable, "no holder of cell %d answers: %v", cell, last).WithRetryAfter(storeRetryAfter)
}

var errNoHolder = errors.New("holder is not known")

func (s *Service) askOnce(ctx context.Context, cell identifier.Cell, here func(context.Context, Holder) error, method messenger.Method, params, result any) error {
	if h, ok := s.held(cell); ok {
		return here(ctx, h)
	}
	address := s.locator.Holder(cell)
	if address == "" || address == s.locator.self {
		return errNoHolder
	}
	return s.call(ctx, address, method, params, result)
}

// Handle answers the calls of other hosts.
func (s *Service) Handle(ctx context.Context, method messenger.Method, params json.RawMessage) (any, error) {
	switch method {
	case messenger.MethodJobState:
		return handle(ctx, s, params, Holder.State)
	case messenger.MethodWaiting:
		return s.handleWaiting(params)
	case messenger.MethodJobReport:
		return handle(ctx, s, params, Holder.Report)
	case messenger.MethodJobExplain:
		return handle(ctx, s, params, Holder.Explain)
	case messenger.MethodJobList:
		return s.handleList(params)
	default:
		return nil, refuser.New(refuser.CodeInvalid, "unknown method %q", method)
	}
}

func (s *Service) handleWaiting(params json.RawMessage) (any, error) {
	var in waitingCall
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, refuser.New(refuser.CodeInvalid, "%v", err)
	}
	return askHere(s, in.Cell, func(h Holder) (int, error) { return h.Waiting(in.Queue) })
}
