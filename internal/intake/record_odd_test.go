package intake

import (
	"math"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/balsamcove/balsamcove/pkg/submitter"
)

// TestStoredJobsAreChecked checks that a job which no host should have accepted is skipped,
// since it would end each host that holds its cell.
func TestStoredJobsAreChecked(t *testing.T) {
	job := submitter.Job{ID: "a", Queue: "q", Steps: []submitter.Step{{Count: math.MaxInt64}, {Count: math.MaxInt64}}}
	r, err := EncodeSubmission(Submission{Job: job})
	if err != nil {
		t.Fatal(err)
	}
	if _, ok, err := Decode(r); ok || !errors.Is(err, ErrRecord) {
		t.Fatalf("taken: %v, error %v; want ErrRecord", ok, err)
	}
}
