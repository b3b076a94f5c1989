package messenger

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/cockroachdb/errors"
)

// batchCompressor compresses the batches of a connection as one DEFLATE stream, so that each batch
// can refer to the ones before it: batches are small and repeat the names of the same workers and
// jobs. It takes about 1 MB of memory.
type batchCompressor struct {
	out    bytes.Buffer
	writer *flate.Writer
}

// compressionLevel is the fastest level that finds matches in earlier batches if batches are small.
const compressionLevel = 2

func newBatchCompressor() *batchCompressor {
	p := &batchCompressor{}
	// NewWriter fails only for an invalid level.
	p.writer, _ = flate.NewWriter(&p.out, compressionLevel)
	return p
}

// compress returns the compressed form of a batch, which is valid until the next call.
func (p *batchCompressor) compress(content []byte) []byte {
	p.out.Reset()
	// Writing to a bytes.Buffer does not fail.
	_, _ = p.writer.Write(content)
	_ = p.writer.Flush()
	return p.out.Bytes()
}

// batchDecompressor decompresses, in the same order, the batches of one batchCompressor.
type batchDecompressor struct {
	in     bytes.Buffer
	reader io.Reader
}

func newBatchDecompressor() *batchDecompressor {
	u := &batchDecompressor{}
	u.reader = flate.NewReader(&u.in)
	return u
}

// decompress returns a batch that has length bytes when decompressed. The error is marked
// ErrMalformed.
func (u *batchDecompressor) decompress(compressed []byte, length int) ([]byte, error) {
	u.in.Write(compressed)
	content := make([]byte, length)
	if _, err := io.ReadFull(u.reader, content); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "unpack batch"), ErrMalformed)
	}
	return content, nil
}
