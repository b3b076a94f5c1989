package planner

import (
	"testing"

	"pgregory.net/rapid"
)

// TestOccurrenceSetMatchesAMap checks the set of finished occurrences against a map, and that its
// ranges are sorted and do not touch.
func TestOccurrenceSetMatchesAMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var set occurrenceSet
		want := map[int]bool{}
		for _, k := range rapid.SliceOf(rapid.IntRange(0, 40)).Draw(t, "occurrences") {
			set = set.add(k)
			want[k] = true
		}
		for k := range 42 {
			if set.contains(k) != want[k] {
				t.Fatalf("contains(%d) is %t in %v", k, set.contains(k), set)
			}
		}
		if set.len() != len(want) {
			t.Fatalf("%d occurrences in %v, want %d", set.len(), set, len(want))
		}
		for i := 1; i < len(set); i++ {
			if set[i].Begin <= set[i-1].End {
				t.Fatalf("ranges %v are not sorted or touch", set)
			}
		}
	})
}
