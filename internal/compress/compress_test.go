package compress_test

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/tideliftd/tidelift/internal/compress"
)

// patience bounds reads that end much sooner when all is well.
const patience = 10 * time.Second

// pair returns the two ends of a compressed connection, and counts what travels.
func pair(t *testing.T) (client, server net.Conn, travelled *countingConn) {
	t.Helper()
	socket, server := connect(t)
	travelled = &countingConn{Conn: socket}
	return compress.Client(travelled), server, travelled
}

// countingConn counts the bytes that are written to it.
type countingConn struct {
	net.Conn
	written int
}

// Write counts the bytes and writes them.
func (c *countingConn) Write(p []byte) (int, error) {
	c.written += len(p)
	return c.Conn.Write(p)
}

// TestWhatIsWrittenIsRead sends pieces of any size and content both ways.
func TestWhatIsWrittenIsRead(t *testing.T) {
	client, server, _ := pair(t)
	rapid.Check(t, func(t *rapid.T) {
		from, to := client, server
		if rapid.Bool().Draw(t, "back") {
			from, to = server, client
		}
		piece := []byte(strings.Repeat(rapid.String().Draw(t, "text"), rapid.IntRange(1, 4000).Draw(t, "times")))
		if rapid.Bool().Draw(t, "noise") {
			piece = rapid.SliceOfN(rapid.Byte(), 0, 100).Draw(t, "bytes")
		}
		if from == server { // which answers only after it has read
			exchange(t, client, server, []byte("first"))
		}
		exchange(t, from, to, piece)
	})
}

// exchange writes a piece at one end and reads it at the other.
func exchange(t interface{ Fatalf(string, ...any) }, from, to net.Conn, piece []byte) {
	failed := make(chan error, 1)
	go func() {
		_, err := from.Write(piece)
		failed <- err
	}()
	got := make([]byte, len(piece))
	if _, err := io.ReadFull(to, got); err != nil {
		t.Fatalf("read: %v", err)
	}
	if err := <-failed; err != nil {
		t.Fatalf("write: %v", err)
	}
	if !bytes.Equal(got, piece) {
		t.Fatalf("%d bytes came differently", len(piece))
	}
}

// head is much like what travels between daemons.
const head = "POST /orders/4711 HTTP/1.1\r\nHost: 10.1.0.21:8146\r\nRequest-Id: 9c41d07be2a35f68\r\n" +
	"Tidelift-Call: jWlpLWM5ZWQwOTMxMDIBGgCYloAaABbjYBoAFuNgGgAI\r\nContent-Length: 0\r\n\r\n"

// TestWhatIsAlikeTravelsShort sends heads that are alike.
func TestWhatIsAlikeTravelsShort(t *testing.T) {
	client, server, travelled := pair(t)
	const times = 50
	for range times {
		exchange(t, client, server, []byte(head))
	}
	if part := float64(travelled.written) / float64(times*len(head)); part > 0.2 {
		t.Fatalf("%.0f%% of the bytes travelled", 100*part)
	}
}

// connect returns a plain connection to a listener that answers in kind, and its other end.
func connect(t *testing.T) (socket, server net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	socket, err = net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	server, err = compress.Listen(listener).Accept()
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []net.Conn{socket, server} {
		_ = c.SetDeadline(time.Now().Add(patience))
		t.Cleanup(func() { _ = c.Close() })
	}
	return socket, server
}

// TestAReadThatEndsAtItsDeadlineLosesNothing cuts a frame in two and lets the deadline of a
// read pass between the parts, as net/http does when it ends its waiting for a caller's end.
func TestAReadThatEndsAtItsDeadlineLosesNothing(t *testing.T) {
	socket, server := connect(t)
	wire := recorded(t, []byte(head))
	for _, b := range wire {
		_ = server.SetReadDeadline(time.Now().Add(time.Millisecond))
		if _, err := server.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Fatalf("got %v in the middle of a frame", err)
		}
		if _, err := socket.Write([]byte{b}); err != nil {
			t.Fatal(err)
		}
	}
	_ = server.SetReadDeadline(time.Now().Add(patience))
	got := make([]byte, len(head))
	if _, err := io.ReadFull(server, got); err != nil || string(got) != head {
		t.Fatalf("got %q, %v", got, err)
	}
}

// recorded returns what travels when the bytes are sent.
func recorded(t *testing.T, plain []byte) []byte {
	t.Helper()
	near, far := net.Pipe()
	defer func() { _ = near.Close() }()
	done := make(chan []byte)
	go func() {
		data, _ := io.ReadAll(far)
		done <- data
	}()
	client := compress.Client(near)
	if _, err := client.Write(plain); err != nil {
		t.Fatal(err)
	}
	_ = client.Close()
	return <-done
}

// TestOthersAreAnsweredInKind connects without compression.
func TestOthersAreAnsweredInKind(t *testing.T) {
	socket, server := connect(t)
	exchange(t, socket, server, []byte(head))
	exchange(t, server, socket, []byte("HTTP/1.1 200 OK\r\n\r\n"))
}

// TestWhatIsMalformedIsRefused gives the reader bytes that no writer sends.
func TestWhatIsMalformedIsRefused(t *testing.T) {
	for name, bytes := range map[string][]byte{
		"another version":     {0, 'T', 'Z', 9},
		"not a stream":        {0, 'T', 'Z', 1, 0x80, 3, 7, 7, 7},
		"ends in its length":  {0, 'T', 'Z', 1, 0x80},
		"ends in a frame":     {0, 'T', 'Z', 1, 0, 9, 'x'},
		"ends in the preface": {0, 'T'},
		"a frame too long":    append([]byte{0, 'T', 'Z', 1, 0x40, 1}, make([]byte, 1<<14+1)...),
	} {
		t.Run(name, func(t *testing.T) {
			if err := readAll(bytes); err == nil {
				t.Fatal("nothing was wrong with it")
			}
		})
	}
}

// readAll reads a connection on which the other side sends these bytes to its end.
func readAll(wire []byte) error {
	near, far := net.Pipe()
	go func() {
		_, _ = far.Write(wire)
		_ = far.Close()
	}()
	server, err := compress.Listen(&oneConn{conn: near}).Accept()
	if err != nil {
		return err
	}
	defer func() { _ = server.Close() }()
	_, err = io.ReadAll(server)
	return err
}

// oneConn is a listener to which one connection comes.
type oneConn struct {
	net.Listener
	conn net.Conn
}

// Accept returns the connection.
func (o *oneConn) Accept() (net.Conn, error) { return o.conn, nil }

// FuzzRead gives the reader any bytes: it ends, with an error or without.
func FuzzRead(f *testing.F) {
	f.Add([]byte{0, 'T', 'Z', 1, 0, 2, 'o', 'k'})
	f.Add([]byte{0, 'T', 'Z', 1, 0x80, 3, 7, 7, 7})
	f.Add([]byte("GET / HTTP/1.1\r\n\r\n"))
	f.Fuzz(func(_ *testing.T, wire []byte) { _ = readAll(wire) })
}
