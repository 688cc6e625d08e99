package integration

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// TestOddHeadsAreNoAnswers guards against an answer in whose head something is not HTTP and that callers get as a success, with
// that line passed on or with a body that is not the backend server's.
func TestOddHeadsAreNoAnswers(t *testing.T) {
	const fake = "HTTP/1.1 200 OK\r\nX-Signature: sum\r\nContent-Length: 4\r\n\r\nfake"
	f, backend := startSigned(t, 2*time.Second)
	for _, test := range []struct{ name, text string }{
		{"status 000", "HTTP/1.1 000 X\r\nX-Signature: sum\r\nContent-Length: 61\r\n\r\n" + fake},
		{"status 099", "HTTP/1.1 099 X\r\n\r\n" + fake},
		{"status +20", "HTTP/1.1 +20 X\r\n\r\n" + fake},
		{"status 600", "HTTP/1.1 600 X\r\nX-Signature: sum\r\nContent-Length: 2\r\n\r\nok"},
		{"status 999", "HTTP/1.1 999 X\r\nX-Signature: sum\r\nContent-Length: 2\r\n\r\nok"},
		{"version 3.1", "HTTP/3.1 200 OK\r\nX-Signature: sum\r\nContent-Length: 2\r\n\r\nok"},
		{"a blank in a name", "HTTP/1.1 200 OK\r\nX-Signature: sum\r\nX A: b\r\nContent-Length: 2\r\n\r\nok"},
		{"a control byte in a name", "HTTP/1.1 200 OK\r\nX-Signature: sum\r\nX\x01A: b\r\nContent-Length: 2\r\n\r\nok"},
		{"a length with a blank", "HTTP/1.1 200 OK\r\nX-Signature: sum\r\nContent-Length : 1\r\n\r\nok"},
		{"a length with a blank beside one without", "HTTP/1.1 200 OK\r\nX-Signature: sum\r\nContent-Length : 1\r\nContent-Length: 2\r\n\r\nok"},
		{"chunks with a blank beside a length", "HTTP/1.1 200 OK\r\nX-Signature: sum\r\nTransfer-Encoding : chunked\r\nContent-Length: 12\r\n\r\n2\r\nok\r\n0\r\n\r\n"},
		{"a length beside chunks", "HTTP/1.1 200 OK\r\nX-Signature: sum\r\nTransfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n2\r\nok\r\n0\r\n\r\n"},
		{"chunks in version 1.0", "HTTP/1.0 200 OK\r\nX-Signature: sum\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"},
		{"a blank in a name of an interim answer", "HTTP/1.1 103 X\r\nX A: b\r\n\r\nHTTP/1.1 200 OK\r\nX-Signature: sum\r\nContent-Length: 2\r\n\r\nok"},
		{"a blank in a name of a trailer", "HTTP/1.1 200 OK\r\nX-Signature: sum\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX A: b\r\n\r\n"},
	} {
		t.Run(test.name, func(t *testing.T) {
			backend.setAnswer(func(conn *net.TCPConn, _ *http.Request) bool {
				_, _ = io.WriteString(conn, test.text)
				_ = conn.CloseWrite()
				return true
			})
			for number, method := range []string{http.MethodGet, http.MethodPost, http.MethodGet, http.MethodPost} {
				ran := backend.runs.Load()
				for end := time.Now().Add(waitTimeout); backend.runs.Load() == ran; time.Sleep(20 * time.Millisecond) {
					if time.Now().After(end) {
						t.Fatal("no request reaches the backend server")
					}
					if status, body := exchangeText(method, f.URL(number/2, "antraege", "/x")); status != 0 && status/100 != 5 {
						t.Errorf("%s got %d with %q", method, status, body)
					}
				}
			}
		})
	}
}
