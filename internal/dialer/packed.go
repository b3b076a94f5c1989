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

// maxDecompressedBytes bounds a decompressed read result. It is many times the size of the largest
// answer of a store.
const maxDecompressedBytes = 16 << 20

// CompressedRead is a read result compressed for transfer between hosts. The records of operators
// and workers are repetitive text, which compresses well.
type CompressedRead struct {
	Compressed []byte `json:"packed,omitempty"`
}

// compressors pools DEFLATE writers, since each takes about 1 MB.
var compressors = sync.Pool{New: func() any {
	w, _ := flate.NewWriter(io.Discard, flate.BestSpeed)
	return w
}}

// CompressRead encodes a read result as CBOR and compresses it.
func CompressRead(r connector.ReadResult) (CompressedRead, error) {
	data, err := cbor.Marshal(r)
	if err != nil {
		return CompressedRead{}, errors.Wrap(err, "encode reading")
	}
	w := compressors.Get().(*flate.Writer)
	defer compressors.Put(w)
	var out bytes.Buffer
	w.Reset(&out)
	// Writing to a bytes.Buffer does not fail.
	_, _ = w.Write(data)
	_ = w.Close()
	return CompressedRead{out.Bytes()}, nil
}

// Decompress returns the read result. Input that decompresses to more than maxDecompressedBytes is
// an error.
func (c CompressedRead) Decompress() (connector.ReadResult, error) {
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(c.Compressed)), maxDecompressedBytes))
	if err != nil {
		return connector.ReadResult{}, errors.Wrap(err, "decompress read result")
	}
	var r connector.ReadResult
	if err := cbor.Unmarshal(data, &r); err != nil {
		return connector.ReadResult{}, errors.Wrap(err, "decode read result")
	}
	return r, nil
}
