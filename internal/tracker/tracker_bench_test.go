package tracker

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/balsamcove/balsamcove/internal/encoder"
	"github.com/balsamcove/balsamcove/pkg/identifier"
)

// newFilledTracker returns a tracker with so many claimed tasks.
func newFilledTracker(tasks int) *Tracker {
	t := &Tracker{}
	for i := range tasks {
		id := identifier.Task(fmt.Sprintf("t-00000000-0000-0000-0000-%012d", i))
		t.Apply(encoder.Submit{Task: id, Pool: "invoices", AtUnixMs: 1})
		t.Apply(encoder.Claim{Task: id, Attempt: 1, DataCentre: "tallinn-a", Worker: "tallinn-a-w10"})
	}
	return t
}

// BenchmarkFoldTaskLife measures applying the records of one task: submit, claim, end.
func BenchmarkFoldTaskLife(b *testing.B) {
	for _, tasks := range []int{1000, 8000, 64000} {
		b.Run(fmt.Sprintf("tasks=%d", tasks), func(b *testing.B) {
			t := newFilledTracker(tasks)
			b.ResetTimer()
			for i := range b.N {
				id := identifier.Task(fmt.Sprint("n", i))
				t.Apply(encoder.Submit{Task: id, Pool: "invoices"})
				t.Apply(encoder.Claim{Task: id, Attempt: 1, DataCentre: "tallinn-a", Worker: "w"})
				t.Apply(encoder.End{Task: id, Attempt: 1, Outcome: encoder.OutcomeDone})
			}
		})
	}
}

// BenchmarkSnapshot measures writing and loading the state of claimed tasks.
func BenchmarkSnapshot(b *testing.B) {
	for _, tasks := range []int{1000, 8000, 64000} {
		t := newFilledTracker(tasks)
		data, err := t.Marshal()
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprintf("write/tasks=%d", tasks), func(b *testing.B) {
			for range b.N {
				if _, err := t.Marshal(); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(data))/float64(tasks), "bytes/task")
		})
		b.Run(fmt.Sprintf("load/tasks=%d", tasks), func(b *testing.B) {
			for range b.N {
				var into Tracker
				if err := into.Unmarshal(data); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkMemory reports the heap memory of one claimed task.
func BenchmarkMemory(b *testing.B) {
	for _, tasks := range []int{1000, 8000, 64000} {
		b.Run(fmt.Sprintf("tasks=%d", tasks), func(b *testing.B) {
			var before, after runtime.MemStats
			for range b.N {
				runtime.GC()
				runtime.ReadMemStats(&before)
				t := newFilledTracker(tasks)
				runtime.GC()
				runtime.ReadMemStats(&after)
				runtime.KeepAlive(t)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(tasks), "bytes/task")
		})
	}
}
