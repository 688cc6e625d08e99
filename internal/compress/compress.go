// Package compress implements connections that compress their traffic.
//
// Traffic between two daemons is mostly the heads of requests and responses and the texts of
// calls, each similar to the one before. Traffic between data centres is billed, so each write
// there is sent as a separate frame, compressed with the preceding data as its dictionary.
//
// # Usage
//
//	socket, err := dialer.DialContext(ctx, "tcp", address)
//	conn := compress.Client(socket)       // its first bytes announce the compression
//	listener = compress.Listen(listener)  // accepts compressed connections and plain ones
//
// # Wire format
//
// The connecting side first sends the preface: a zero byte, which starts no request, TLS
// handshake or framed call, and the version of this format. Both sides then send frames: the
// length of the compressed data in two bytes, most significant first, and a complete deflate
// stream. Its dictionary is the last dictionarySize bytes of uncompressed data that the same
// side sent before. A frame holds at most maxPlain bytes.
//
// # State
//
// A connection owns two dictionaries, 8 KiB each way, and the frame that is being read;
// decompressors are shared. A read that reaches its deadline in the middle of a frame loses no
// data: the next read continues with it. net/http relies on that.
//
// The package must not be used inside TLS: the length of compressed data leaks information about
// a secret that is sent together with data that an attacker controls.
package compress

import (
	"bytes"
	"encoding/binary"
	"io"
	"net"
	"sync"

	"github.com/go-faster/errors"
	"github.com/klauspost/compress/flate"

	"github.com/tideliftd/tidelift/internal/bound"
)

const (
	// dictionarySize is how much preceding data a frame can refer to, in bytes. It is the maximum of the library's
	// stateless compressor.
	dictionarySize = 8 << 10
	// maxPlain is the largest uncompressed size of a frame, in bytes. The length of a frame must fit into the 15 bits
	// beside compressedBit.
	maxPlain = 16 << 10
	// lengthSize is the size of a frame's length, in bytes.
	lengthSize = 2
	// compressedBit marks the length of a compressed frame; other frames hold plain data.
	compressedBit = 1 << 15
)

// errTooLong is returned when a frame exceeds maxPlain.
var errTooLong = errors.Errorf("frame is longer than %d bytes", maxPlain)

// preface starts a compressed connection: a byte that starts no other protocol, and the version of the format.
var preface = []byte{0, 'T', 'Z', 1}

// conn is a connection that compresses data in both directions.
type conn struct {
	net.Conn

	reading  sync.Mutex
	frame    []byte // the received part of the next frame
	plain    []byte // decompressed data that has not been read yet
	received dictionary

	writing        sync.Mutex
	pendingPreface []byte // sent before the first frame
	out            bytes.Buffer
	sent           dictionary
}

// Client returns a connection that compresses data in both directions. The preface is sent with the first write.
func Client(socket net.Conn) net.Conn { return &conn{Conn: socket, pendingPreface: preface} }

// Read reads decompressed data.
func (c *conn) Read(p []byte) (int, error) {
	c.reading.Lock()
	defer c.reading.Unlock()
	for len(c.plain) == 0 {
		if len(p) == 0 {
			return 0, nil
		}
		if err := c.readFrame(); err != nil {
			return 0, err
		}
	}
	n := copy(p, c.plain)
	c.plain = c.plain[n:]
	return n, nil
}

// readFrame reads the next frame. After an error, the next call continues with the same frame.
func (c *conn) readFrame() error {
	if err := c.fill(lengthSize); err != nil {
		return err
	}
	head := int(binary.BigEndian.Uint16(c.frame))
	length := head &^ compressedBit
	if length > maxPlain { // a compressed frame is never longer than its plain data
		return errTooLong
	}
	if err := c.fill(lengthSize + length); err != nil {
		return err
	}
	plain, err := c.decode(head&compressedBit != 0, c.frame[lengthSize:])
	if err != nil {
		return err
	}
	c.frame = c.frame[:0]
	c.received.add(plain)
	c.plain = plain
	return nil
}

// decode returns the plain data of a frame.
func (c *conn) decode(compressed bool, held []byte) ([]byte, error) {
	if !compressed {
		return bytes.Clone(held), nil
	}
	return inflate(held, c.received.bytes)
}

// fill reads until size bytes of the frame have been received.
func (c *conn) fill(size int) error {
	for len(c.frame) < size {
		have := len(c.frame)
		c.frame = append(c.frame, make([]byte, size-have)...)
		n, err := c.Conn.Read(c.frame[have:size])
		c.frame = c.frame[:have+n]
		if err != nil && len(c.frame) < size {
			return c.readError(err)
		}
	}
	return nil
}

// readError returns the error of a read. An EOF within a frame is io.ErrUnexpectedEOF.
func (c *conn) readError(err error) error {
	if errors.Is(err, io.EOF) && len(c.frame) > 0 {
		return io.ErrUnexpectedEOF
	}
	return err
}

// Write compresses the data and sends it. After an error the count is zero if no data can have arrived; any other
// count does not say how much has.
func (c *conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	c.out.Reset()
	c.out.Write(c.pendingPreface)
	c.pendingPreface = nil
	for rest := p; len(rest) > 0; {
		piece := rest[:min(len(rest), maxPlain)]
		rest = rest[len(piece):]
		if err := c.writeFrame(piece); err != nil {
			return 0, err
		}
	}
	if n, err := c.Conn.Write(c.out.Bytes()); err != nil {
		return min(n, len(p)), err
	}
	return len(p), nil
}

// writeFrame appends the frame of a piece to the output, compressed if that is shorter.
func (c *conn) writeFrame(piece []byte) error {
	at := c.out.Len()
	c.out.Write(make([]byte, lengthSize))
	if err := flate.StatelessDeflate(&c.out, piece, true, c.sent.bytes); err != nil {
		return errors.Wrap(err, "compress")
	}
	head := uint16(compressedBit)
	if c.out.Len()-at-lengthSize >= len(piece) {
		c.out.Truncate(at + lengthSize)
		c.out.Write(piece)
		head = 0
	}
	head |= uint16(c.out.Len() - at - lengthSize) //nolint:gosec // at most maxPlain
	binary.BigEndian.PutUint16(c.out.Bytes()[at:], head)
	c.sent.add(piece)
	return nil
}

// dictionary holds the most recent data sent by one side.
type dictionary struct{ bytes []byte }

// add appends data and drops the oldest beyond dictionarySize.
func (d *dictionary) add(plain []byte) {
	plain = plain[max(0, len(plain)-dictionarySize):]
	surplus := max(0, len(d.bytes)+len(plain)-dictionarySize)
	kept := copy(d.bytes, d.bytes[surplus:])
	d.bytes = append(d.bytes[:kept], plain...)
}

// inflaters pools decompressors, since each takes about 40 KB.
var inflaters = sync.Pool{New: func() any { return flate.NewReader(nil) }}

// inflate decompresses a frame.
func inflate(compressed, dictionary []byte) ([]byte, error) {
	inflater := inflaters.Get().(io.ReadCloser)
	defer inflaters.Put(inflater)
	if err := inflater.(flate.Resetter).Reset(bytes.NewReader(compressed), dictionary); err != nil {
		return nil, errors.Wrap(err, "decompress")
	}
	plain, err := bound.ReadAll(inflater, maxPlain)
	if errors.Is(err, bound.ErrExceeded) {
		return nil, errTooLong
	}
	if err != nil {
		return nil, errors.Wrap(err, "decompress")
	}
	return plain, nil
}
