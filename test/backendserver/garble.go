package backendserver

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
)

// endlessBytes is how much of bytes without end is sent: more than any daemon may keep.
const endlessBytes = 64 << 20

// garble sends anything in place of the response with the key, and closes the connection. It reports whether it could.
func garble(w http.ResponseWriter, key string) bool {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	whole := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", HeaderKey, key, len(key), key)
	switch rand.IntN(6) {
	case 0: // breaks off anywhere
		_, _ = io.WriteString(conn, whole[:rand.IntN(len(whole))])
	case 1: // the same by a reset
		_, _ = io.WriteString(conn, whole[:rand.IntN(len(whole))])
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	case 2:
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-A: ")
		repeat(conn, "x")
	case 3:
		repeat(conn, "HTTP/1.1 103 Early Hints\r\nX-A: b\r\n\r\n")
	case 4: // half-closes and goes on reading
		_, _ = io.WriteString(conn, whole[:len(whole)-1])
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.CloseWrite()
		}
		_, _ = io.Copy(io.Discard, conn)
	case 5: // is no answer at all
		repeat(conn, "\x00\xff")
	}
	return true
}

// repeat sends the piece without end.
func repeat(conn net.Conn, piece string) {
	block := strings.Repeat(piece, 1+(64<<10)/len(piece))
	for sent := 0; sent < endlessBytes; sent += len(block) {
		if _, err := io.WriteString(conn, block); err != nil {
			return
		}
	}
}
