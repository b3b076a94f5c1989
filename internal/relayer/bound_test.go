package relayer

import (
	"slices"
	"testing"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/pkg/identifier"
)

// TestRelayedReadsAreBounded checks that a read for another host is cut to maxRelayedBytes, that
// the next read returns the records that were cut off, and that a larger record is returned alone.
func TestRelayedReadsAreBounded(t *testing.T) {
	sizes := []int{20 << 10, 20 << 10, 100, 200 << 10, 10}
	var r connector.ReadResult
	for i, size := range sizes {
		r.Records = append(r.Records, connector.KeyedRecord{Value: make([]byte, size), Offset: identifier.Offset(i)})
	}
	var lengths []int
	for from := identifier.Offset(0); ; {
		part := truncateRead(connector.ReadResult{Records: r.Records[from:], Next: identifier.Offset(len(sizes))}, from, 0)
		lengths = append(lengths, len(part.Records))
		if from = part.Next; !part.More {
			break
		}
	}
	if want := []int{1, 2, 1, 1}; !slices.Equal(lengths, want) {
		t.Errorf("reads have %v records, want %v", lengths, want)
	}
}
