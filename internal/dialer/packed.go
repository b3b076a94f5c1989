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

// CompressedRead is a reading on its way between hosts, compressed. Records of operators
// and workers are text that repeats itself.
type CompressedRead struct {
	Compressed []byte `json:"packed,omitempty"`
}

// packers are kept for reuse, since a new one takes about 1 MB.
var packers = sync.Pool{New: func() any {
	w, _ := flate.NewWriter(io.Discard, flate.BestSpeed)
	return w
}}

// CompressRead returns a reading in packed form.
func CompressRead(r connector.ReadResult) (CompressedRead, error) {
	data, err := cbor.Marshal(r)
	if err != nil {
		return CompressedRead{}, errors.Wrap(err, "encode reading")
	}
	w := packers.Get().(*flate.Writer)
	defer packers.Put(w)
	var out bytes.Buffer
	w.Reset(&out)
	// Writing to a buffer does not fail.
	_, _ = w.Write(data)
	_ = w.Close()
	return CompressedRead{out.Bytes()}, nil
}

// Decompress returns the reading.
func (p CompressedRead) Decompress() (connector.ReadResult, error) {
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(p.Compressed)), mostUnpacked))
	if err != nil {
		return connector.ReadResult{}, errors.Wrap(err, "unpack reading")
	}
	var r connector.ReadResult
	if err := cbor.Unmarshal(data, &r); err != nil {
		return connector.ReadResult{}, errors.Wrap(err, "decode reading")
	}
	return r, nil
}
