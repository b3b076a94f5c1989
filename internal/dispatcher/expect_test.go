package dispatcher

import (
	"testing"

	"go.uber.org/zap"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/internal/intake"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/submitter"
)

// TestHolderLearnsVersionsFromJobs guards against a holder that acts on jobs of a newer configuration
// than its own without noticing it.
func TestHolderLearnsVersionsFromJobs(t *testing.T) {
	var got identifier.ConfigVersion
	term := NewTerm(0, Settings{}, nil, nil, zap.NewNop(), WithConfigObserver(func(v identifier.ConfigVersion) { got = v }))
	job := submitter.Job{ID: jobID(1), Queue: "q", Steps: []submitter.Step{{Count: 1}}}
	record, err := intake.EncodeSubmission(intake.Submission{Job: job, ConfigVersion: 7})
	if err != nil {
		t.Fatal(err)
	}
	if events := term.inboxEvents([]connector.KeyedRecord{record}); len(events) != 1 || got != 7 {
		t.Errorf("%d events, version %d, want one and 7", len(events), got)
	}
}
