package messenger

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/balsamcove/balsamcove/internal/connector"
)

const (
	// maxFrame bounds a message in bytes, many times a full batch of answers.
	maxFrame = 16 << 20
	// streamBuffer is what is read or written at once, in bytes.
	streamBuffer = 32 << 10
	// firstAlloc is how much memory a message is given before any of it has come.
	firstAlloc = 1 << 20

	// maxHeaders bounds the lines before a message.
	maxHeaders = 16

	headerLength = "Content-Length"
	headerBatch  = "Batch-Method"
	// headerUnpacked is the length of a packed batch before it was packed.
	headerUnpacked = "Batch-Unpacked"
)

// ErrMalformed marks bytes that are no message; the connection on which they came is closed.
var ErrMalformed = errors.New("malformed message")

// BatchHandler takes the content of a batch that came over a connection. Batches of a
// connection come in order, one at a time; nothing else is read meanwhile.
type BatchHandler func(from Peer, method Method, content []byte)

// options are those of a connection.
type options struct{ batches BatchHandler }

// Option changes the connections of a server, or one that is dialled.
type Option func(*options)

// WithBatchHandler sets what takes batches; without it they are dropped.
func WithBatchHandler(h BatchHandler) Option { return func(o *options) { o.batches = h } }

func optionsOf(opts []Option) (out options) {
	for _, o := range opts {
		o(&out)
	}
	return out
}

// stream carries the messages of JSON-RPC with the header of the Language Server Protocol,
// and batches of bytes beside them under a header of their own: a codec of JSON passes over
// each byte several times, which is most of the cost of a large message. It implements
// jsonrpc2.ObjectStream.
type stream struct {
	raw     net.Conn
	batches BatchHandler
	reader  *bufio.Reader
	// opened is closed once conn is set.
	opened chan struct{}
	conn   *jsonrpc2.Conn

	mu     sync.Mutex
	writer *bufio.Writer
	// packer is set if batches are to be packed.
	packer *packer

	unpacker *unpacker
}

// open begins a connection whose calls and batches are handed to the handlers; a handler
// of batches may be nil.
func open(ctx context.Context, raw net.Conn, calls Handler, batches BatchHandler) Peer {
	s := &stream{
		raw: raw, batches: batches, opened: make(chan struct{}),
		reader: bufio.NewReaderSize(raw, streamBuffer), writer: bufio.NewWriterSize(raw, streamBuffer),
	}
	handle := jsonrpc2.HandlerWithError(func(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) (any, error) {
		return answer(ctx, calls, Peer{conn, s}, req)
	})
	s.conn = jsonrpc2.NewConn(ctx, s, jsonrpc2.AsyncHandler(handle), quiet())
	close(s.opened)
	return Peer{s.conn, s}
}

// WriteObject implements jsonrpc2.ObjectStream.
func (s *stream) WriteObject(obj any) error {
	data, err := json.Marshal(obj)
	if err != nil {
		return errors.Wrap(err, "encode message")
	}
	return s.write(fmt.Sprintf("%s: %d\r\n\r\n", headerLength, len(data)), data)
}

// writeBatch sends a batch.
func (s *stream) writeBatch(method Method, content []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	unpacked := ""
	if s.packer != nil {
		unpacked = fmt.Sprintf("%s: %d\r\n", headerUnpacked, len(content))
		content = s.packer.pack(content)
	}
	return s.writeLocked(fmt.Sprintf("%s: %s\r\n%s%s: %d\r\n\r\n", headerBatch, method, unpacked, headerLength, len(content)), content)
}

// pack makes all batches from now on travel packed.
func (s *stream) pack() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.packer == nil {
		s.packer = newPacker()
	}
}

func (s *stream) write(header string, content []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writeLocked(header, content)
}

func (s *stream) writeLocked(header string, content []byte) error {
	// Errors of a buffered writer stay until it is flushed.
	_, _ = s.writer.WriteString(header)
	_, _ = s.writer.Write(content)
	return errors.Mark(errors.Wrap(s.writer.Flush(), "write message"), connector.ErrUnknown)
}

// ReadObject implements jsonrpc2.ObjectStream. Batches that come before the next message
// are handed to their handler.
func (s *stream) ReadObject(v any) error {
	for {
		method, content, err := s.readFrame()
		if err != nil {
			return err
		}
		if method == "" {
			return errors.Wrap(json.Unmarshal(content, v), "decode message")
		}
		if s.batches != nil {
			<-s.opened
			s.batches(Peer{s.conn, s}, method, content)
		}
	}
}

// frame is what the header of a message says.
type frame struct {
	// method is empty if the message is no batch.
	method Method
	// length and unpacked are in bytes; unpacked is below zero if the batch is not packed.
	length, unpacked int
}

// readFrame returns the next message; method is empty if it is no batch.
func (s *stream) readFrame() (method Method, content []byte, err error) {
	f, err := s.readHeader()
	if err != nil {
		return "", nil, err
	}
	if f.length < 0 || f.length > maxFrame || f.unpacked > maxFrame {
		return "", nil, errors.Mark(errors.Newf("message of %d bytes, unpacked %d", f.length, f.unpacked), ErrMalformed)
	}
	if content, err = s.readContent(f.length); err != nil {
		return "", nil, errors.Wrap(err, "read message")
	}
	if f.unpacked >= 0 {
		if s.unpacker == nil {
			s.unpacker = newUnpacker()
		}
		content, err = s.unpacker.unpack(content, f.unpacked)
	}
	return f.method, content, err
}

func (s *stream) readHeader() (frame, error) {
	f := frame{length: -1, unpacked: -1}
	for n := 0; ; n++ {
		// A line longer than the buffer is an error.
		text, err := s.reader.ReadSlice('\n')
		if err != nil {
			return f, errors.Wrap(err, "read header")
		}
		line := strings.TrimSpace(string(text))
		if line == "" {
			return f, nil
		}
		if n == maxHeaders {
			return f, errors.Mark(errors.Newf("message has more than %d headers", maxHeaders), ErrMalformed)
		}
		name, value, _ := strings.Cut(line, ":")
		switch value = strings.TrimSpace(value); name {
		case headerLength:
			f.length, err = strconv.Atoi(value)
		case headerUnpacked:
			f.unpacked, err = strconv.Atoi(value)
		case headerBatch:
			f.method = Method(value)
		}
		if err != nil {
			return f, errors.Mark(errors.Wrapf(err, "header %s", name), ErrMalformed)
		}
	}
}

// readContent reads the content of a message. A large one takes memory as it comes.
func (s *stream) readContent(length int) ([]byte, error) {
	if length <= firstAlloc {
		content := make([]byte, length)
		_, err := io.ReadFull(s.reader, content)
		return content, err
	}
	var content bytes.Buffer
	content.Grow(firstAlloc)
	_, err := io.CopyN(&content, s.reader, int64(length))
	return content.Bytes(), err
}

// Close implements jsonrpc2.ObjectStream.
func (s *stream) Close() error { return errors.Wrap(s.raw.Close(), "close connection") }
