package admitter

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/balsamcove/balsamcove/pkg/identifier"
)

// Admission says which part of the new jobs is accepted, of the queues that are not
// accepted in full. A nil one accepts everything.
type Admission map[identifier.Queue]Verdict

// Verdict is what is accepted of a queue.
type Verdict struct {
	Share Share `json:"share"`
	// RetryAfter is when the queue is likely to open further.
	RetryAfter identifier.Duration `json:"retryAfter"`
}

const admissionSalt = "admission:"

// Admits reports whether a job belongs to the accepted part. All hosts say the same of a
// job under the same verdict, and one that is accepted stays so while the share rises, so
// that a caller who tries again does not draw anew. The size of a job has no influence.
func (v Verdict) Admits(id identifier.Job) bool { return draw(id) < float64(v.Share) }

// ReturnAfter returns when the caller of a refused job should come back: when the queue is
// likely to open, and the share to have risen so far that the job is accepted. So callers
// return one after the other, in the order in which their jobs are accepted.
func (v Verdict) ReturnAfter(id identifier.Job) time.Duration {
	return v.RetryAfter.Std() + riseBetween(float64(v.Share), draw(id))
}

// riseBetween returns how long the share takes to rise at best.
func riseBetween(from, to float64) time.Duration {
	// The share s becomes s*riseFactor + riseStep each period.
	const offset = float64(riseStep) / (riseFactor - 1)
	periods := math.Log((to+offset)/(from+offset)) / math.Log(riseFactor)
	return time.Duration(max(periods, 0) * float64(Period))
}

// draw returns a number from 0 to 1, always the same for a job.
func draw(id identifier.Job) float64 {
	return float64(xxhash.Sum64String(admissionSalt+string(id))) / math.MaxUint64
}
