package framing_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/tideliftd/tidelift/internal/framing"
)

// serve starts a server that responds with whether each request is ambiguous.
func serve(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{
		ConnContext: framing.ConnContext,
		ConnState:   framing.ConnState,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = fmt.Fprint(w, framing.Ambiguous(r))
		}),
	}
	go func() { _ = server.Serve(framing.Listen(listener)) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

const (
	plain       = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc"
	chunked     = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
	both        = "POST / HTTP/1.1\r\nHost: a\r\ncontent-length: 3\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
	quoted      = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n17\r\n\r\nContent-Length: 3\r\n\r\n\r\n0\r\n\r\n"
	ambiguous   = "true"
	unambiguous = "false"
)

// exchange is the data of one write and the expected responses.
type exchange struct {
	send string
	want []string
}

// TestAmbiguous guards against request smuggling by a request with both Content-Length and Transfer-Encoding.
func TestAmbiguous(t *testing.T) {
	tests := []struct {
		name      string
		exchanges []exchange
	}{
		{"length", []exchange{{plain, []string{unambiguous}}}},
		{"chunks", []exchange{{chunked, []string{unambiguous}}}},
		{"both", []exchange{{both, []string{ambiguous}}}},
		{"length in the body", []exchange{{quoted, []string{unambiguous}}}},
		{"chunks after length", []exchange{{plain, []string{unambiguous}}, {chunked, []string{unambiguous}}, {chunked, []string{unambiguous}}}},
		{"both after chunks", []exchange{{chunked, []string{unambiguous}}, {both, []string{ambiguous}}}},
		{"pipelined chunks", []exchange{{plain + chunked, []string{unambiguous, ambiguous}}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c, err := net.Dial("tcp", serve(t))
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			reader := bufio.NewReader(c)
			for _, e := range test.exchanges {
				if _, err := io.WriteString(c, e.send); err != nil {
					t.Fatal(err)
				}
				for _, want := range e.want {
					readAnswer(t, reader, want)
				}
			}
		})
	}
}

func readAnswer(t *testing.T, reader *bufio.Reader, want string) {
	t.Helper()
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	text, err := io.ReadAll(response.Body)
	if err != nil || string(text) != want {
		t.Fatalf("got %q, %v; want %q", text, err, want)
	}
}
