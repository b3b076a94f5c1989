package tracker

import (
	"fmt"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"github.com/balsamcove/balsamcove/internal/encoder"
	"github.com/balsamcove/balsamcove/pkg/identifier"
)

// drawRecord returns a random record about one of three tasks.
func drawRecord(rt *rapid.T) encoder.Body {
	task := identifier.Task(fmt.Sprint("t", rapid.IntRange(0, 2).Draw(rt, "task")))
	attempt := identifier.Attempt(rapid.IntRange(1, 4).Draw(rt, "attempt"))
	dc := identifier.DataCentre(rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "dc"))
	switch rapid.IntRange(0, 5).Draw(rt, "kind") {
	case 0:
		return encoder.Submit{Task: task, Pool: "p"}
	case 1:
		return encoder.Cancel{Task: task}
	case 2:
		return encoder.Claim{Task: task, Attempt: attempt, DataCentre: dc, Worker: identifier.Worker(dc + "-w")}
	case 3:
		return encoder.Release{Task: task, Attempt: attempt, Reason: encoder.ReasonFailed, MaxAttempts: 3}
	case 4:
		return encoder.End{Task: task, Attempt: attempt, Outcome: encoder.OutcomeDone}
	default:
		return encoder.Resume{Task: task, Attempt: attempt}
	}
}

// TestOneAttemptAtATime applies random records and checks that no attempt is claimed while another
// one is claimed or after the task has ended, and that only a claimed attempt is released or ended.
func TestOneAttemptAtATime(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var tr Tracker
		running := map[identifier.Task]identifier.Attempt{}
		ended := map[identifier.Task]bool{}
		for range rapid.IntRange(1, 60).Draw(rt, "records") {
			body := drawRecord(rt)
			v := tr.Apply(body)
			if !v.Applied {
				continue
			}
			id := v.Task.ID
			switch rec := body.(type) {
			case encoder.Claim:
				if running[id] != 0 || ended[id] {
					rt.Fatalf("task %s: attempt %d claimed beside %d, ended %t", id, rec.Attempt, running[id], ended[id])
				}
				running[id] = rec.Attempt
			case encoder.Release, encoder.Resume, encoder.End:
				if running[id] == 0 {
					rt.Fatalf("task %s: %T applied with no attempt claimed", id, rec)
				}
				running[id] = 0
			}
			if v.Task.State == StateEnded {
				ended[id] = true
				running[id] = 0
			}
		}
	})
}

// TestRepeatedRecordsAndSnapshotsChangeNothing checks that applying records twice, or continuing
// from a snapshot, leads to the same state.
func TestRepeatedRecordsAndSnapshotsChangeNothing(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var plain, repeated Tracker
		for range rapid.IntRange(1, 40).Draw(rt, "records") {
			body := drawRecord(rt)
			plain.Apply(body)
			repeated.Apply(body)
			if rapid.Bool().Draw(rt, "repeat") {
				repeated.Apply(body)
			}
			if rapid.Bool().Draw(rt, "snapshot") {
				data, err := repeated.Marshal()
				if err != nil {
					rt.Fatal(err)
				}
				repeated = Tracker{}
				if err := repeated.Unmarshal(data); err != nil {
					rt.Fatal(err)
				}
			}
		}
		if a, b := fmt.Sprint(plain.All()), fmt.Sprint(repeated.All()); !reflect.DeepEqual(a, b) {
			rt.Fatalf("states differ:\n%s\n%s", a, b)
		}
	})
}
