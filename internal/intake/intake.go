package intake

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/balsamcove/balsamcove/internal/admitter"
	"github.com/balsamcove/balsamcove/internal/breaker"
	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/internal/elector"
	"github.com/balsamcove/balsamcove/internal/logger"
	"github.com/balsamcove/balsamcove/internal/messenger"
	"github.com/balsamcove/balsamcove/internal/sleeper"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/refuser"
	"github.com/balsamcove/balsamcove/pkg/submitter"
)

const (
	// appendRetryDelay is the delay before an append of unknown outcome is repeated.
	appendRetryDelay = 60 * time.Millisecond
	// holderCallTimeout bounds one call to a holder.
	holderCallTimeout = 500 * time.Millisecond
	// holderRetryDelay is the delay before a holder is looked up and called again.
	holderRetryDelay = 80 * time.Millisecond
	// queryTimeout bounds a query to a holder, including retries, for callers without a deadline.
	queryTimeout = 2 * time.Second
	// knownTimeout bounds the query whether a job that is not admitted is known.
	knownTimeout = 300 * time.Millisecond
	// storeRetryAfter is the delay after which callers should retry while the store refuses
	// this host or no holder answers. Outages last seconds.
	storeRetryAfter = time.Second
)

// Holder answers queries about the jobs of a cell that this host holds. Known is false for a
// job that the cell does not have.
type Holder interface {
	State(ctx context.Context, id identifier.Job) (state string, known bool, err error)
	Waiting(queue identifier.Queue) (int, error)
	Report(ctx context.Context, id identifier.Job) (r submitter.Report, known bool, err error)
	Explain(ctx context.Context, id identifier.Job) (e submitter.Explanation, known bool, err error)
	List(s submitter.Selection) (submitter.Reports, error)
	Preview(job submitter.Job, queue connector.QueueConfig) (submitter.Preview, error)
	Teams() ([]submitter.TeamUsage, error)
}

// Service accepts jobs and cancellations on one host, and answers queries by asking the holders
// of the cells, on this host or on others.
type Service struct {
	rpc *messenger.Client
	// appends makes the appends at holders. A query that times out closes its connection, and with it
	// all calls there.
	appends     *messenger.Client
	locator     *Locator
	cells       int
	couriers    []*courier
	breaker     *breaker.Breaker
	admitter    admitter.Admitter
	localHolder func(identifier.Cell) (Holder, bool)
	logger      *zap.Logger
}

// New returns a service for the given number of cells. LocalHolder returns the holder of a cell
// if this host holds it.
func New(store connector.Store, rpc *messenger.Client, locator *Locator, cells int, localHolder func(identifier.Cell) (Holder, bool), logger *zap.Logger) *Service {
	s := &Service{rpc: rpc, appends: messenger.NewClient(messenger.WithCloseOnTimeout()), locator: locator, cells: cells, localHolder: localHolder, logger: logger}
	s.breaker = breaker.New("store, for submissions", func(ctx context.Context) error {
		_, err := store.Owners(ctx, elector.Group)
		return err
	}, logger)
	for cell := range identifier.Cell(cells) {
		s.couriers = append(s.couriers, &courier{
			cell: cell, batcher: &batcher{store: store, partition: connector.Partition(cell), logger: logger},
			rpc: s.appends, locator: locator, breaker: s.breaker,
		})
	}
	return s
}

// Run watches whether the store answers, until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	defer s.appends.Close()
	return s.breaker.Run(ctx)
}

// Submit stores a job. The error is a *refuser.Refusal; unless its effect is refuser.Unknown,
// the job will not run.
func (s *Service) Submit(ctx context.Context, in Submission) error {
	record, err := EncodeSubmission(in)
	if err != nil {
		return refuser.New(refuser.CodeInvalid, "%v", err)
	}
	if n := connector.RecordBytes(record); n > connector.MaxRecordBytes {
		return refuser.New(refuser.CodeTooLarge, "the job takes %d bytes, at most %d are stored", n, connector.MaxRecordBytes)
	}
	cell := identifier.CellOf(in.Job.ID, s.cells)
	if wait, admitted := s.admitter.Judge(cell, &in.Job, in.Queue, time.Now()); !admitted && s.isNew(ctx, in.Job.ID) {
		s.logger.Info("job not admitted", zap.String("request", string(in.Job.ID)), zap.String("queue", string(in.Job.Queue)), zap.Duration("retryAfter", wait))
		return refuser.New(refuser.CodeOverloaded, "the work ahead of the job leaves it no time").WithRetryAfter(wait)
	}
	return s.storeRecord(ctx, cell, record, in.Job.ID)
}

// isNew reports whether the holder of a job's cell says that it does not know the job. One that was
// stored by an earlier request must not be refused as not run.
func (s *Service) isNew(ctx context.Context, id identifier.Job) bool {
	ctx, cancel := context.WithTimeout(ctx, knownTimeout)
	defer cancel()
	_, known, err := s.State(ctx, id)
	return err == nil && !known
}

// Cancel stores the cancellation of a job. The error is as with Submit.
func (s *Service) Cancel(ctx context.Context, in Cancellation) error {
	record, err := EncodeCancellation(in)
	if err != nil {
		return refuser.New(refuser.CodeInvalid, "%v", err)
	}
	return s.storeRecord(ctx, identifier.CellOf(in.ID, s.cells), record, in.ID)
}

// storeRecord appends a record to the inbox of a cell. A record that was not sent is refused as soon
// as the store is known not to answer. Storing the same record twice is harmless, so an append of
// unknown outcome is repeated until ctx ends, though not while the store does not answer.
func (s *Service) storeRecord(ctx context.Context, cell identifier.Cell, record connector.KeyedRecord, id identifier.Job) error {
	if wait, open := s.breaker.RetryAfter(); open {
		return s.refuseUnsent(id, wait, errStoreSilent)
	}
	unknown := false
	for ctx.Err() == nil {
		err := s.couriers[cell].append(ctx, record)
		if err == nil {
			return nil
		}
		unknown = unknown || errors.Is(err, connector.ErrUnknown)
		if !unknown && ctx.Err() == nil {
			wait, open := s.breaker.RetryAfter()
			if !open {
				wait = storeRetryAfter
			}
			return s.refuseUnsent(id, wait, err)
		}
		s.breaker.AwaitClosed(ctx)
		sleeper.Pause(ctx, appendRetryDelay)
	}
	if !unknown {
		return refuser.New(refuser.CodeDeadline, "no time was left to store the job").WithRetryAfter(storeRetryAfter)
	}
	s.logger.Warn("inbox record may or may not be stored", zap.String("request", string(id)))
	return refuser.NewUnknown(refuser.CodeUnavailable, "the store did not answer in time")
}

// refuseUnsent returns the refusal of a job whose record was not stored, for the reason err.
func (s *Service) refuseUnsent(id identifier.Job, wait time.Duration, err error) *refuser.Refusal {
	s.logger.Warn("inbox record not stored", zap.String("request", string(id)), zap.Duration("retryAfter", wait), logger.Err(err))
	return refuser.New(refuser.CodeUnavailable, "the job cannot be stored: %v", err).WithRetryAfter(wait)
}

func (s *Service) callHost(ctx context.Context, peer string, method messenger.Method, params, result any) error {
	ctx, cancel := context.WithTimeout(ctx, holderCallTimeout)
	defer cancel()
	return s.rpc.Call(ctx, peer, method, params, result)
}

// jobRequest is the parameter of a query about one job.
type jobRequest struct {
	ID identifier.Job `json:"id"`
}

// State returns the state of a job. The error is a *refuser.Refusal.
func (s *Service) State(ctx context.Context, id identifier.Job) (state string, known bool, err error) {
	return queryJob(ctx, s, id, messenger.MethodJobState, Holder.State)
}

// waitingRequest is the parameter of a query for the waiting jobs of a queue in a cell.
type waitingRequest struct {
	Cell  identifier.Cell  `json:"cell"`
	Queue identifier.Queue `json:"queue"`
}

// Waiting returns the number of jobs in a queue that have not started, over all cells. The error
// is a *refuser.Refusal.
func (s *Service) Waiting(ctx context.Context, queue identifier.Queue) (int, error) {
	total := 0
	for cell := range identifier.Cell(s.cells) {
		n := 0
		err := s.queryHolder(ctx, cell, func(_ context.Context, h Holder) error {
			var err error
			n, err = h.Waiting(queue)
			return err
		}, messenger.MethodWaiting, waitingRequest{cell, queue}, &n)
		if err != nil {
			return 0, err
		}
		total += n
	}
	return total, nil
}

// queryHolder queries the holder of a cell, and retries until it answers or queryTimeout has
// passed. AskLocal queries the holder on this host; for a holder on another host, the query is a
// call of method with params, and its result is decoded into result. The error is a
// *refuser.Refusal.
func (s *Service) queryHolder(ctx context.Context, cell identifier.Cell, askLocal func(context.Context, Holder) error, method messenger.Method, params, result any) error {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	var lastErr error
	for ctx.Err() == nil {
		if lastErr = s.queryHolderOnce(ctx, cell, askLocal, method, params, result); lastErr == nil {
			return nil
		}
		sleeper.Pause(ctx, holderRetryDelay)
		s.locator.Refresh(ctx)
	}
	return refuser.New(refuser.CodeUnavailable, "no holder of cell %d answers: %v", cell, lastErr).WithRetryAfter(storeRetryAfter)
}

var errHolderUnknown = errors.New("holder is not known")

func (s *Service) queryHolderOnce(ctx context.Context, cell identifier.Cell, askLocal func(context.Context, Holder) error, method messenger.Method, params, result any) error {
	if h, ok := s.localHolder(cell); ok {
		return askLocal(ctx, h)
	}
	address := s.locator.Holder(cell)
	if address == "" || address == s.locator.self {
		return errHolderUnknown
	}
	return s.callHost(ctx, address, method, params, result)
}

// Handle answers the queries of other hosts about the cells held here.
func (s *Service) Handle(ctx context.Context, method messenger.Method, params json.RawMessage) (any, error) {
	switch method {
	case messenger.MethodJobState:
		return handleJobQuery(ctx, s, params, Holder.State)
	case messenger.MethodWaiting:
		return s.handleWaiting(params)
	case messenger.MethodJobReport:
		return handleJobQuery(ctx, s, params, Holder.Report)
	case messenger.MethodJobExplain:
		return handleJobQuery(ctx, s, params, Holder.Explain)
	case messenger.MethodJobList:
		return s.handleList(params)
	case messenger.MethodJobPreview:
		return s.handlePreview(params)
	case messenger.MethodTeams:
		return s.handleTeams(params)
	default:
		return nil, refuser.New(refuser.CodeInvalid, "unknown method %q", method)
	}
}

func (s *Service) handleWaiting(params json.RawMessage) (any, error) {
	var in waitingRequest
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, refuser.New(refuser.CodeInvalid, "%v", err)
	}
	return answerLocally(s, in.Cell, func(h Holder) (int, error) { return h.Waiting(in.Queue) })
}
