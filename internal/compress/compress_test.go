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

// timeout bounds reads, which normally end much sooner.
const timeout = 10 * time.Second

// pair returns both ends of a compressed connection, and a counter of the bytes that the client sends.
func pair(t *testing.T) (client, server net.Conn, travelled *countingConn) {
	t.Helper()
	socket, server := connect(t)
	travelled = &countingConn{Conn: socket}
	return compress.Client(travelled), server, travelled
}

// countingConn counts the bytes written to it.
type countingConn struct {
	net.Conn
	written int
}

// Write counts the bytes and writes them.
func (c *countingConn) Write(p []byte) (int, error) {
	c.written += len(p)
	return c.Conn.Write(p)
}

// TestRoundTrip guards against data that is changed or lost, for pieces of any size and content in both directions.
func TestRoundTrip(t *testing.T) {
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
		if from == server { // it must read before it writes
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
		t.Fatalf("received data differs from the %d bytes sent", len(piece))
	}
}

// head resembles the traffic between daemons.
const head = "POST /orders/4711 HTTP/1.1\r\nHost: 10.1.0.21:8146\r\nRequest-Id: 9c41d07be2a35f68\r\n" +
	"Tidelift-Call: jWlpLWM5ZWQwOTMxMDIBGgCYloAaABbjYBoAFuNgGgAI\r\nContent-Length: 0\r\n\r\n"

// TestSimilarMessagesCompressWell guards against losing the compression of successive similar heads.
func TestSimilarMessagesCompressWell(t *testing.T) {
	client, server, travelled := pair(t)
	const times = 50
	for range times {
		exchange(t, client, server, []byte(head))
	}
	if part := float64(travelled.written) / float64(times*len(head)); part > 0.2 {
		t.Fatalf("compressed to %.0f%%, want at most 20%%", 100*part)
	}
}

// connect returns a plain connection to a compress.Listen listener, and its accepted end.
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
		_ = c.SetDeadline(time.Now().Add(timeout))
		t.Cleanup(func() { _ = c.Close() })
	}
	return socket, server
}

// TestReadDeadlineLosesNoData guards against losing part of a frame when a read deadline passes in the middle of it.
// net/http sets such deadlines when it stops waiting for a caller to disconnect.
func TestReadDeadlineLosesNoData(t *testing.T) {
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
	_ = server.SetReadDeadline(time.Now().Add(timeout))
	got := make([]byte, len(head))
	if _, err := io.ReadFull(server, got); err != nil || string(got) != head {
		t.Fatalf("got %q, %v", got, err)
	}
}

// recorded returns the compressed form of the data.
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

// TestPlainConnectionStaysPlain guards against compressing responses to clients that do not use compression.
func TestPlainConnectionStaysPlain(t *testing.T) {
	socket, server := connect(t)
	exchange(t, socket, server, []byte(head))
	exchange(t, server, socket, []byte("HTTP/1.1 200 OK\r\n\r\n"))
}

// TestMalformedInputIsRefused guards against accepting data that no writer sends.
func TestMalformedInputIsRefused(t *testing.T) {
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
				t.Fatal("malformed input was accepted")
			}
		})
	}
}

// readAll reads a connection on which the peer sends these bytes and closes.
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

// oneConn is a listener that accepts one connection.
type oneConn struct {
	net.Listener
	conn net.Conn
}

// Accept returns the connection.
func (o *oneConn) Accept() (net.Conn, error) { return o.conn, nil }

// FuzzRead guards against reads of arbitrary bytes that panic or do not end.
func FuzzRead(f *testing.F) {
	f.Add([]byte{0, 'T', 'Z', 1, 0, 2, 'o', 'k'})
	f.Add([]byte{0, 'T', 'Z', 1, 0x80, 3, 7, 7, 7})
	f.Add([]byte("GET / HTTP/1.1\r\n\r\n"))
	f.Fuzz(func(_ *testing.T, wire []byte) { _ = readAll(wire) })
}
