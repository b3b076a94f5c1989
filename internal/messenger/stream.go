package messenger

import (
	"bufio"
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
	"github.com/balsamcove/balsamcove/internal/limiter"
)

const (
	// maxFrameBytes bounds the content of a message, compressed and decompressed. It is many times
	// the size of a full batch of answers.
	maxFrameBytes = 16 << 20
	// streamBufferBytes is the size of the read and of the write buffer of a connection, and
	// guestBufferBytes before a batch has come over an accepted one.
	streamBufferBytes = 32 << 10
	guestBufferBytes  = 4 << 10
	// initialAllocBytes bounds the memory that is allocated for a message before its content
	// arrives.
	initialAllocBytes = 64 << 10

	// maxHeaders bounds the header lines of a message.
	maxHeaders = 16

	headerLength = "Content-Length"
	headerBatch  = "Batch-Method"
	// headerUncompressed gives the length of a compressed batch before compression.
	headerUncompressed = "Batch-Unpacked"
)

// ErrMalformed marks the error of reading a malformed message; its connection is closed.
var ErrMalformed = errors.New("malformed message")

// BatchHandler handles a batch that came over a connection. The batches of a connection are handled
// in order, one at a time, and nothing else is read from the connection until the handler returns.
type BatchHandler func(from Peer, method Method, content []byte)

// options configure a connection.
type options struct {
	batchHandler BatchHandler
	door         *limiter.Door
}

// Option configures the connections of a server, or one that is dialled.
type Option func(*options)

// WithBatchHandler sets the handler of batches; without it they are dropped.
func WithBatchHandler(h BatchHandler) Option { return func(o *options) { o.batchHandler = h } }

// WithDoor sets the budget for the connections that a server accepts, and for what comes over them.
func WithDoor(d *limiter.Door) Option { return func(o *options) { o.door = d } }

func applyOptions(opts []Option) (out options) {
	for _, o := range opts {
		o(&out)
	}
	return out
}

// stream carries JSON-RPC messages framed by the header of the Language Server Protocol and, marked
// by an additional header, binary batches. Batches are not JSON because a JSON codec passes over
// each byte several times, which is most of the cost of a large message. It implements
// jsonrpc2.ObjectStream.
type stream struct {
	raw          net.Conn
	batchHandler BatchHandler
	// guest bounds an accepted connection; nil for one that was dialled.
	guest  *guest
	reader *bufio.Reader
	// ready is closed once conn is set; the connection may read messages before.
	ready chan struct{}
	conn  *jsonrpc2.Conn

	mu     sync.Mutex
	writer *bufio.Writer
	// compressor is nil unless batches are sent compressed.
	compressor *batchCompressor

	// decompressor is set by the first compressed batch that arrives; only the reader uses it.
	decompressor *batchDecompressor
}

// newPeer starts a JSON-RPC connection over raw, or over guest if it is not nil. Calls and batches of
// the other side are passed to the handlers; batchHandler may be nil.
func newPeer(ctx context.Context, raw net.Conn, g *guest, calls Handler, batchHandler BatchHandler) Peer {
	bufferBytes, limitCalls := streamBufferBytes, jsonrpc2.AsyncHandler
	if g != nil {
		raw, bufferBytes, limitCalls = g, guestBufferBytes, g.limitCalls
	}
	raw = boundedConn{raw}
	s := &stream{
		raw: raw, guest: g, batchHandler: batchHandler, ready: make(chan struct{}),
		reader: bufio.NewReaderSize(raw, bufferBytes), writer: bufio.NewWriterSize(raw, bufferBytes),
	}
	handle := jsonrpc2.HandlerWithError(func(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) (any, error) {
		return handleCall(ctx, calls, Peer{conn, s}, req)
	})
	s.conn = jsonrpc2.NewConn(ctx, s, limitCalls(handle), withoutLogs())
	close(s.ready)
	return Peer{s.conn, s}
}

// enlargeBuffers gives an accepted connection the buffers for batches.
func (s *stream) enlargeBuffers() {
	s.guest.enlarged = true
	s.reader = bufio.NewReaderSize(s.reader, streamBufferBytes)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writer = bufio.NewWriterSize(s.guest, streamBufferBytes)
}

// WriteObject implements jsonrpc2.ObjectStream.
func (s *stream) WriteObject(obj any) error {
	data, err := json.Marshal(obj)
	if err != nil {
		return errors.Wrap(err, "encode message")
	}
	return s.write(fmt.Sprintf("%s: %d\r\n\r\n", headerLength, len(data)), data)
}

// writeBatch sends a batch, compressed if there is a compressor. The error is marked
// connector.ErrUnknown.
func (s *stream) writeBatch(method Method, content []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	uncompressed := ""
	if s.compressor != nil {
		uncompressed = fmt.Sprintf("%s: %d\r\n", headerUncompressed, len(content))
		content = s.compressor.compress(content)
	}
	return s.writeLocked(fmt.Sprintf("%s: %s\r\n%s%s: %d\r\n\r\n", headerBatch, method, uncompressed, headerLength, len(content)), content)
}

// compressBatches makes writeBatch compress batches from now on.
func (s *stream) compressBatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.compressor == nil {
		s.compressor = newBatchCompressor()
	}
}

func (s *stream) write(header string, content []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writeLocked(header, content)
}

func (s *stream) writeLocked(header string, content []byte) error {
	// A buffered writer keeps its first error and returns it from Flush.
	_, _ = s.writer.WriteString(header)
	_, _ = s.writer.Write(content)
	return errors.Mark(errors.Wrap(s.writer.Flush(), "write message"), connector.ErrUnknown)
}

// ReadObject implements jsonrpc2.ObjectStream. Batches that arrive before the next JSON-RPC message
// are passed to the batch handler.
func (s *stream) ReadObject(v any) (err error) {
	if s.guest != nil {
		defer func() {
			if err != nil {
				s.guest.frame.Release()
			}
		}()
	}
	for {
		method, content, err := s.readFrame()
		if err != nil {
			return err
		}
		if method == "" {
			if !s.guest.admitMessage(content) {
				return errNoMemory
			}
			return errors.Wrap(json.Unmarshal(content, v), "decode message")
		}
		if s.batchHandler != nil {
			<-s.ready
			s.batchHandler(Peer{s.conn, s}, method, content)
		}
	}
}

// frameHeader is the parsed header of a message.
type frameHeader struct {
	// method is empty unless the message is a batch.
	method Method
	// length and uncompressed are in bytes; uncompressed is negative if the content is not
	// compressed.
	length, uncompressed int
}

// readFrame reads the next message and decompresses its content if need be; method is empty unless
// the message is a batch.
func (s *stream) readFrame() (method Method, content []byte, err error) {
	if s.guest != nil {
		// The message before has been handled.
		s.guest.frame.Release()
		if _, err := s.reader.Peek(1); err != nil {
			return "", nil, errors.Wrap(err, "await message")
		}
		s.guest.inFrame = true
		defer s.guest.endFrame()
	}
	f, err := s.readHeader()
	if err != nil {
		return "", nil, err
	}
	if f.length < 0 || f.length > maxFrameBytes || f.uncompressed > maxFrameBytes {
		return "", nil, errors.Mark(errors.Newf("message of %d bytes, uncompressed %d", f.length, f.uncompressed), ErrMalformed)
	}
	if content, err = s.readContent(f.length); err != nil {
		return "", nil, errors.Wrap(err, "read message")
	}
	if s.guest != nil {
		s.guest.prove()
		if f.method != "" && !s.guest.enlarged {
			s.enlargeBuffers()
		}
	}
	if f.uncompressed >= 0 {
		if !s.guest.grow(f.uncompressed) {
			return "", nil, errNoMemory
		}
		if s.decompressor == nil {
			s.decompressor = newBatchDecompressor()
		}
		content, err = s.decompressor.decompress(content, f.uncompressed)
	}
	return f.method, content, err
}

// readHeader reads the header lines of a message up to the empty line; unknown headers are ignored.
func (s *stream) readHeader() (frameHeader, error) {
	f := frameHeader{length: -1, uncompressed: -1}
	for n := 0; ; n++ {
		// ReadSlice fails on a line longer than the buffer.
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
		case headerUncompressed:
			f.uncompressed, err = strconv.Atoi(value)
		case headerBatch:
			f.method = Method(value)
		}
		if err != nil {
			return f, errors.Mark(errors.Wrapf(err, "header %s", name), ErrMalformed)
		}
	}
}

// readContent reads the content of a message. For a large one, memory is allocated as its bytes
// arrive, so that a header alone cannot claim it.
func (s *stream) readContent(length int) ([]byte, error) {
	size := min(length, initialAllocBytes)
	if !s.guest.grow(size) {
		return nil, errNoMemory
	}
	content := make([]byte, size)
	for read := 0; ; {
		n, err := io.ReadFull(s.reader, content[read:])
		if read += n; err != nil || read == length {
			return content, err
		}
		size := min(2*len(content), length)
		if !s.guest.grow(size) {
			return nil, errNoMemory
		}
		larger := make([]byte, size)
		copy(larger, content)
		content = larger
	}
}

// Close implements jsonrpc2.ObjectStream.
func (s *stream) Close() error { return errors.Wrap(s.raw.Close(), "close connection") }
