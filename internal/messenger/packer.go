package messenger

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/cockroachdb/errors"
)

// packer compresses the batches of a connection one after the other, so that what an
// earlier one said costs little in the next: batches are small, and name the same workers
// and jobs again and again. It takes about 1 MB.
type packer struct {
	out    bytes.Buffer
	writer *flate.Writer
}

// packLevel is the fastest one that looks back beyond small batches.
const packLevel = 2

func newPacker() *packer {
	p := &packer{}
	// The level is valid.
	p.writer, _ = flate.NewWriter(&p.out, packLevel)
	return p
}

// pack returns a batch as it travels; it is valid until the next call.
func (p *packer) pack(content []byte) []byte {
	p.out.Reset()
	// Writing to a buffer does not fail.
	_, _ = p.writer.Write(content)
	_ = p.writer.Flush()
	return p.out.Bytes()
}

// unpacker is the other end of a packer.
type unpacker struct {
	in     bytes.Buffer
	reader io.Reader
}

func newUnpacker() *unpacker {
	u := &unpacker{}
	u.reader = flate.NewReader(&u.in)
	return u
}

// unpack returns the batch of a length that was packed; the error is marked ErrFrame.
func (u *unpacker) unpack(packed []byte, length int) ([]byte, error) {
	u.in.Write(packed)
	content := make([]byte, length)
	if _, err := io.ReadFull(u.reader, content); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "unpack batch"), ErrMalformed)
	}
	return content, nil
}
