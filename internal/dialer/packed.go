package dialer

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/balsamcove/balsamcove/internal/connector"
)

// mostUnpacked bounds what a packed reading may become, in bytes: many times the largest
// answer of a store.
const mostUnpacked = 16 << 20

// PackedReading is a reading on its way between hosts, compressed. Records of operators
// and workers are text that repeats itself.
type PackedReading struct {
	Packed []byte `json:"packed,omitempty"`
}

// packers are kept for reuse, since a new one takes about 1 MB.
var packers = sync.Pool{New: func() any {
	w, _ := flate.NewWriter(io.Discard, flate.BestSpeed)
	return w
}}

// Pack returns a reading in packed form.
func Pack(r connector.Reading) (PackedReading, error) {
	data, err := cbor.Marshal(r)
	if err != nil {
		return PackedReading{}, errors.Wrap(err, "encode reading")
	}
	w := packers.Get().(*flate.Writer)
	defer packers.Put(w)
	var out bytes.Buffer
	w.Reset(&out)
	// Writing to a buffer does not fail.
	_, _ = w.Write(data)
	_ = w.Close()
	return PackedReading{out.Bytes()}, nil
}

// Unpack returns the reading.
func (p PackedReading) Unpack() (connector.Reading, error) {
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(p.Packed)), mostUnpacked))
	if err != nil {
		return connector.Reading{}, errors.Wrap(err, "unpack reading")
	}
	var r connector.Reading
	if err := cbor.Unmarshal(data, &r); err != nil {
		return connector.Reading{}, errors.Wrap(err, "decode reading")
	}
	return r, nil
}
