package soaker

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/balsamcove/balsamcove/internal/auditor"
	"github.com/balsamcove/balsamcove/internal/drafter"
)

// ciSeeds are played by every run of the tests; between them they have every kind of fault.
var ciSeeds = map[string]drafter.Options{
	"hosts killed and paused, store away and slow, evacuation": {Seed: 438, Hosts: 5, Workers: 9, Span: 14 * time.Second},
	"hosts stopped and paused, store turns hosts away":         {Seed: 488, Hosts: 5, Workers: 9, Span: 14 * time.Second},
	"hosts killed, store away, workers crash and leave":        {Seed: 408, Hosts: 5, Workers: 9, Span: 14 * time.Second},
}

// TestSoak runs the real programs. A seed that fails leaves its logs, its plan and its history
// in a directory, with the command that repeats it.
func TestSoak(t *testing.T) {
	bin := t.TempDir()
	build := exec.CommandContext(t.Context(), "go", "build", "-o", bin+string(filepath.Separator), "../../cmd/balsamcove", "../../cmd/standin")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	for name, o := range ciSeeds {
		t.Run(name, func(t *testing.T) {
			dir, err := os.MkdirTemp("", fmt.Sprintf("soak-seed-%d-", o.Seed))
			if err != nil {
				t.Fatal(err)
			}
			h, err := Run(t.Context(), o, bin, dir)
			if err != nil {
				t.Fatalf("%v; logs in %s", err, dir)
			}
			out := auditor.Evaluate(h)
			if err := Write(dir, h, out); err != nil {
				t.Fatal(err)
			}
			t.Logf("%d faults %v, jobs %v, %d starts, median %d ms", len(h.Plan.Faults), out.Faults, out.Jobs, out.Starts, out.MedianMs)
			for _, b := range out.Breaches {
				t.Errorf("%s: %s", b.Check, b.What)
			}
			if !out.Passed {
				t.Logf("%s\nlogs, plan and history: %s", out.Command, dir)
				return
			}
			if out.Starts == 0 || out.Jobs["completed"] == 0 {
				t.Errorf("%d starts, jobs %v: nothing was tried", out.Starts, out.Jobs)
			}
			if err := os.RemoveAll(dir); err != nil {
				t.Error(err)
			}
		})
	}
}
