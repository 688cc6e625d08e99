// Package compress makes connections whose bytes travel compressed.
//
// What two daemons exchange is mostly the heads of requests and answers and the texts of
// calls, each much like the one before. Bytes between data centres cost money, so there each
// write travels as a frame of its own, compressed with what was written before it as the
// dictionary.
//
// # Usage
//
//	socket, err := dialer.DialContext(ctx, "tcp", address)
//	conn := compress.Client(socket)       // its first bytes announce the compression
//	listener = compress.Listen(listener)  // accepts compressed connections and plain ones
//
// # Wire
//
// The side that connects first sends the preface: a zero byte, which no request, TLS
// handshake or framed call begins with, and the version of this format. After that either
// side sends frames: the length of the compressed bytes in two bytes, the most significant
// first, and a whole deflate stream. Its dictionary is the last dictionarySize bytes that
// the same side sent before, uncompressed. A frame holds no more than maxPlain bytes.
//
// # State
//
// A connection owns two dictionaries, 8 KiB each way, and the frame that is being read;
// decompressors are shared. A read that ends at its deadline in the middle of a frame loses
// nothing: the next read goes on with it. net/http relies on that.
//
// It must not be used inside TLS: the length of compressed bytes reveals something of a secret
// that travels beside bytes that an attacker chooses.
package compress

import (
	"bytes"
	"encoding/binary"
	"io"
	"net"
	"sync"

	"github.com/go-faster/errors"
	"github.com/klauspost/compress/flate"
)

const (
	// dictionarySize is how far back a frame refers to what was sent before, in bytes. Source:
	// the most that the library's stateless compressor takes.
	dictionarySize = 8 << 10
	// maxPlain is the most that one frame holds before it is compressed, in bytes. Source: its
	// length, compressed or not, fits into the 15 bits beside compressedBit.
	maxPlain = 16 << 10
	// lengthSize is the size of a frame's length, in bytes.
	lengthSize = 2
	// compressedBit marks the length of a frame that is compressed; others hold the bytes as
	// they are.
	compressedBit = 1 << 15
)

// errTooLong means that a frame holds more than it may.
var errTooLong = errors.Errorf("a frame holds more than %d bytes", maxPlain)

// preface begins a compressed connection: a byte that no other kind begins with, and the
// version of the format.
var preface = []byte{0, 'T', 'Z', 1}

// conn is a connection whose bytes travel compressed, both ways.
type conn struct {
	net.Conn

	reading sync.Mutex
	frame   []byte // what has come of the next frame
	plain   []byte // what was decompressed and not read yet
	taken   dictionary

	writing sync.Mutex
	begin   []byte // goes before the first frame
	out     bytes.Buffer
	sent    dictionary
}

// Client returns the connection with bytes compressed both ways. The preface is sent with the
// first bytes that are written.
func Client(socket net.Conn) net.Conn { return &conn{Conn: socket, begin: preface} }

// Read reads decompressed bytes.
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

// readFrame reads the next frame. After an error it goes on where that left it.
func (c *conn) readFrame() error {
	if err := c.fill(lengthSize); err != nil {
		return err
	}
	head := int(binary.BigEndian.Uint16(c.frame))
	length := head &^ compressedBit
	if length > maxPlain { // also if it is compressed, since no frame is longer than its bytes
		return errTooLong
	}
	if err := c.fill(lengthSize + length); err != nil {
		return err
	}
	plain, err := c.unpack(head&compressedBit != 0, c.frame[lengthSize:])
	if err != nil {
		return err
	}
	c.frame = c.frame[:0]
	c.taken.add(plain)
	c.plain = plain
	return nil
}

// unpack returns what a frame holds.
func (c *conn) unpack(compressed bool, held []byte) ([]byte, error) {
	if !compressed {
		return bytes.Clone(held), nil
	}
	return inflate(held, c.taken.bytes)
}

// fill reads until that much of the frame is there.
func (c *conn) fill(size int) error {
	for len(c.frame) < size {
		have := len(c.frame)
		c.frame = append(c.frame, make([]byte, size-have)...)
		n, err := c.Conn.Read(c.frame[have:size])
		c.frame = c.frame[:have+n]
		if err != nil && len(c.frame) < size {
			return c.ended(err)
		}
	}
	return nil
}

// ended returns the error of a read; an end within a frame is unexpected.
func (c *conn) ended(err error) error {
	if errors.Is(err, io.EOF) && len(c.frame) > 0 {
		return io.ErrUnexpectedEOF
	}
	return err
}

// Write compresses the bytes and sends them. After an error the count is zero if nothing can
// have arrived; otherwise it does not say how much has.
func (c *conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	c.out.Reset()
	c.out.Write(c.begin)
	c.begin = nil
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

// writeFrame adds the frame of a piece to what is sent, compressed if that is shorter.
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

// dictionary is the last bytes that one side sent.
type dictionary struct{ bytes []byte }

// add takes more of them.
func (d *dictionary) add(plain []byte) {
	plain = plain[max(0, len(plain)-dictionarySize):]
	surplus := max(0, len(d.bytes)+len(plain)-dictionarySize)
	kept := copy(d.bytes, d.bytes[surplus:])
	d.bytes = append(d.bytes[:kept], plain...)
}

// inflaters are reused, since each takes some forty kilobytes.
var inflaters = sync.Pool{New: func() any { return flate.NewReader(nil) }}

// inflate decompresses a frame.
func inflate(compressed, dictionary []byte) ([]byte, error) {
	inflater := inflaters.Get().(io.ReadCloser)
	defer inflaters.Put(inflater)
	if err := inflater.(flate.Resetter).Reset(bytes.NewReader(compressed), dictionary); err != nil {
		return nil, errors.Wrap(err, "decompress")
	}
	plain, err := io.ReadAll(io.LimitReader(inflater, maxPlain+1))
	if err != nil {
		return nil, errors.Wrap(err, "decompress")
	}
	if len(plain) > maxPlain {
		return nil, errTooLong
	}
	return plain, nil
}
