package intake

import (
	"math"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/balsamcove/balsamcove/internal/connector"
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

// FuzzDecode checks that whatever is taken from the inbox is a job that can be counted with,
// or a cancellation.
func FuzzDecode(f *testing.F) {
	r, err := EncodeSubmission(Submission{Job: submitter.Job{ID: "a", Queue: "q", Steps: []submitter.Step{{Count: 1}}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(r.Key, r.Value)
	f.Add(cancellationPrefix+"a", []byte{0xa1, 0x01, 0x61, 'a'})
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		e, ok, err := Decode(connector.KeyedRecord{Key: key, Value: value})
		switch {
		case !ok:
		case err != nil || e.Submission == nil && e.Cancellation == nil:
			t.Errorf("%+v, %v", e, err)
		case e.Submission != nil && (e.Submission.Job.Tasks() <= 0 || e.Submission.Job.Tasks() > submitter.MaxTasks):
			t.Errorf("job %+v", e.Submission.Job)
		}
	})
}
