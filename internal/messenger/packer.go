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
	c := &batchCompressor{}
	// NewWriter fails only for an invalid level.
	c.writer, _ = flate.NewWriter(&c.out, compressionLevel)
	return c
}

// compress returns the compressed form of a batch, which is valid until the next call.
func (c *batchCompressor) compress(content []byte) []byte {
	c.out.Reset()
	// Writing to a bytes.Buffer does not fail.
	_, _ = c.writer.Write(content)
	_ = c.writer.Flush()
	return c.out.Bytes()
}

// batchDecompressor decompresses, in the same order, the batches of one batchCompressor.
type batchDecompressor struct {
	in     bytes.Buffer
	reader io.Reader
}

func newBatchDecompressor() *batchDecompressor {
	d := &batchDecompressor{}
	d.reader = flate.NewReader(&d.in)
	return d
}

// decompress returns a batch that has length bytes when decompressed. The error is marked
// ErrMalformed.
func (d *batchDecompressor) decompress(compressed []byte, length int) ([]byte, error) {
	d.in.Write(compressed)
	content := make([]byte, length)
	if _, err := io.ReadFull(d.reader, content); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "decompress batch"), ErrMalformed)
	}
	return content, nil
}
