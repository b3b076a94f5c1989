// Package refuser defines Refusal, the error that callers and operators receive when a request or
// an operation is rejected, or when it is unknown whether it was executed.
package refuser

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/balsamcove/balsamcove/pkg/parser"
)

// Effect says whether a refused request may have been executed, and so whether a request that is
// not idempotent may be retried.
type Effect string

const (
	// NotRun means that the request was not executed.
	NotRun Effect = "notRun"
	// Unknown means that the request may have been executed.
	Unknown Effect = "unknown"
)

// HeaderEffect is the HTTP header that marks a response as a refusal, as opposed to the response
// of a minion. Its value is the Effect.
const HeaderEffect = "X-Effect"

// Code is the machine-readable reason for a refusal.
type Code string

// The reasons for refusals.
const (
	CodeInvalid      Code = "invalid"
	CodeNotFound     Code = "notFound"
	CodeConflict     Code = "conflict"
	CodeOverloaded   Code = "overloaded"
	CodeUnavailable  Code = "unavailable"
	CodeDeadline     Code = "deadlineExceeded"
	CodeNotReady     Code = "notReady"
	CodeDuplicate    Code = "duplicate"
	CodeBroken       Code = "brokenAnswer"
	CodeTooLarge     Code = "tooLarge"
	CodeNeverFits    Code = "neverFits"
	CodeAlreadyEnded Code = "alreadyEnded"
	CodeUnsupported  Code = "unsupported"
	// CodeUnauthenticated means that a request carries no key that is in force.
	CodeUnauthenticated Code = "unauthenticated"
)

// Refusal is the error of a request or an operation that was not executed, or for which this is
// unknown.
type Refusal struct {
	Code    Code   `json:"code"`
	Effect  Effect `json:"effect"`
	Message string `json:"message"`
	// ID identifies the refused request, task, job or publication.
	ID string `json:"id,omitempty"`
	// Winner is the publication that was accepted first, if Code is CodeConflict.
	Winner   string           `json:"winner,omitempty"`
	Problems []parser.Problem `json:"problems,omitempty"`
	// RetryAfterMillis is how long the caller should wait before it retries, in milliseconds;
	// zero if that is unknown.
	RetryAfterMillis int64 `json:"retryAfterMillis,omitempty"`
}

// WithRetryAfter sets how long the caller should wait before it retries, rounded down to
// milliseconds, and returns r.
func (r *Refusal) WithRetryAfter(d time.Duration) *Refusal {
	r.RetryAfterMillis = d.Milliseconds()
	return r
}

// Error returns the code, the effect and the message.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s", r.Code, r.Effect, r.Message)
}

// New returns a refusal of a request that was not executed.
func New(code Code, format string, args ...any) *Refusal {
	return &Refusal{Code: code, Effect: NotRun, Message: fmt.Sprintf(format, args...)}
}

// NewUnknown returns a refusal of a request that may have been executed.
func NewUnknown(code Code, format string, args ...any) *Refusal {
	return &Refusal{Code: code, Effect: Unknown, Message: fmt.Sprintf(format, args...)}
}

// From converts err to a refusal. Problems in the input become a refusal with CodeInvalid; any
// other error becomes one with CodeUnavailable and unknown effect.
func From(err error) *Refusal {
	var r *Refusal
	if errors.As(err, &r) {
		return r
	}
	var invalid *parser.InvalidError
	if errors.As(err, &invalid) {
		return &Refusal{Code: CodeInvalid, Effect: NotRun, Message: "invalid input", Problems: invalid.Problems}
	}
	return NewUnknown(CodeUnavailable, "%v", err)
}
