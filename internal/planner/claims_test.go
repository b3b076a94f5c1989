package planner

import (
	"fmt"
	"testing"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/submitter"
)

// TestClaimsDoNotWaitForOtherJobs checks that a claim's start is sent once the batch with its own
// job is stored, although between any two batches more jobs change than one batch holds.
func TestClaimsDoNotWaitForOtherJobs(t *testing.T) {
	b := newTestbed(t, workerEntry("w"))
	b.update(0)
	b.answerPoll("w", connector.HoldAnswer{})
	huge := identifier.Size{Processors: 1_000_000, Memory: 1}
	for n := range 2 * maxBatchJobs {
		b.submit(identifier.Job(fmt.Sprintf("%016x", n+1_000)), submitter.Step{Count: 1, Size: huge})
	}
	b.submit("00000000000000aa", submitter.Step{Count: 1, Size: smallSize})
	stored := 0
	for batch := 1; batch <= 50; batch++ {
		for _, j := range b.p.jobs {
			if j.def.ID != "00000000000000aa" {
				b.p.markDirty(j)
			}
		}
		for _, r := range b.save().Records {
			if r.ID == "00000000000000aa" {
				stored = batch
			}
		}
		if len(b.starts()) > 0 {
			return
		}
	}
	t.Fatalf("no start in 50 batches; the claim was stored with batch %d", stored)
}
