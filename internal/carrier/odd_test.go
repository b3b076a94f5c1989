package carrier

import (
	"bytes"
	"testing"

	"github.com/cockroachdb/errors"
)

// TestOddBatches checks that bytes which claim more than they hold, or are nested without
// end, are no batch and take no memory.
func TestOddBatches(t *testing.T) {
	tests := map[string][]byte{
		"empty":                   {},
		"list of 2^63 orders":     {0x9b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
		"text of 2^63 bytes":      {0x82, 0x01, 0x7b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
		"nested 100,000 deep":     bytes.Repeat([]byte{0x81}, 100_000),
		"list without end":        {0x9f},
		"break":                   {0xff},
		"map instead of a list":   {0xa1, 0x01, 0x02},
		"text that is not UTF-8":  {0x82, 0x01, 0x83, 0x80, 0x81, 0x61, 0xff, 0x00},
		"list of another length":  {0x82, 0x01, 0x85, 0x80, 0x80, 0x00, 0x00, 0x00},
		"number instead of order": {0x82, 0x01, 0x83, 0x81, 0x05, 0x80, 0x00},
	}
	for name, data := range tests {
		t.Run(name, func(t *testing.T) {
			if got, err := decode[message[orders]](data); !errors.Is(err, ErrBatch) {
				t.Errorf("orders %+v, %v; want ErrBatch", got, err)
			}
			if n := testing.AllocsPerRun(1, func() { _, _ = decode[message[[]reply]](data) }); n > 1000 {
				t.Errorf("%v allocations", n)
			}
		})
	}
}
