package intake

import (
	"math"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/pkg/submitter"
)

// TestDecodeRejectsInvalidStoredJob checks that a stored job that should not have been accepted is
// rejected when it is decoded: it would crash every host that holds its cell.
func TestDecodeRejectsInvalidStoredJob(t *testing.T) {
	job := submitter.Job{ID: "a", Queue: "q", Steps: []submitter.Step{{Count: math.MaxInt64}, {Count: math.MaxInt64}}}
	r, err := EncodeSubmission(Submission{Job: job})
	if err != nil {
		t.Fatal(err)
	}
	if _, ok, err := Decode(r); ok || !errors.Is(err, ErrMalformedRecord) {
		t.Fatalf("decoded: %v, error %v; want ErrMalformedRecord", ok, err)
	}
}

// FuzzDecode checks that decoding arbitrary records yields an error, a job with a valid number of
// tasks, or a cancellation.
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
