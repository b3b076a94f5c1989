package carrier

import (
	"bytes"
	"testing"

	"github.com/cockroachdb/errors"
)

// TestMalformedBatches checks that CBOR data with oversized lengths, deep nesting or other types
// than expected fails with ErrMalformedBatch and does not allocate much memory.
func TestMalformedBatches(t *testing.T) {
	tests := map[string][]byte{
		"empty":                   {},
		"list of 2^63 orders":     {0x9b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
		"text of 2^63 bytes":      {0x82, 0x01, 0x7b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
		"nested 100,000 deep":     bytes.Repeat([]byte{0x81}, 100_000),
		"unterminated list":       {0x9f},
		"break":                   {0xff},
		"map instead of a list":   {0xa1, 0x01, 0x02},
		"text that is not UTF-8":  {0x82, 0x01, 0x83, 0x80, 0x81, 0x61, 0xff, 0x00},
		"wrong length of a list":  {0x82, 0x01, 0x85, 0x80, 0x80, 0x00, 0x00, 0x00},
		"number instead of order": {0x82, 0x01, 0x83, 0x81, 0x05, 0x80, 0x00},
	}
	for name, data := range tests {
		t.Run(name, func(t *testing.T) {
			if got, err := decode[batch[orderBatch]](data); !errors.Is(err, ErrMalformedBatch) {
				t.Errorf("orders %+v, %v; want ErrMalformedBatch", got, err)
			}
			if n := testing.AllocsPerRun(1, func() { _, _ = decode[batch[[]reply]](data) }); n > 1000 {
				t.Errorf("%v allocations", n)
			}
		})
	}
}
