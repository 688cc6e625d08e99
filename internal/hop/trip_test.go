package hop_test

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/tideliftd/tidelift/internal/body"
	"github.com/tideliftd/tidelift/internal/hop"
	"github.com/tideliftd/tidelift/internal/result"
)

var farFuture = time.Now().Add(time.Hour)

// newSender returns a sender to a server that handles requests with the function.
func newSender(t testing.TB, answer http.HandlerFunc) hop.Sender {
	t.Helper()
	server := httptest.NewServer(answer)
	t.Cleanup(server.Close)
	transport := &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 4}
	t.Cleanup(transport.CloseIdleConnections)
	return hop.Sender{Transport: transport, Address: server.Listener.Addr().String(), Unreachable: result.PeerUnreachable}
}

// TestBodyArrivesUnchanged guards against a body that arrives altered, or with another length or
// transfer coding.
func TestBodyArrivesUnchanged(t *testing.T) {
	type arrived struct {
		length int64
		coding string
		text   string
	}
	got := make(chan arrived, 1)
	sender := newSender(t, func(w http.ResponseWriter, r *http.Request) {
		text, _ := io.ReadAll(r.Body)
		got <- arrived{r.ContentLength, strings.Join(r.TransferEncoding, ","), string(text)}
		w.WriteHeader(http.StatusNoContent)
	})
	tests := []struct {
		name, method, text string
		length             int64
		want               arrived
	}{
		{"none", http.MethodGet, "", 0, arrived{0, "", ""}},
		{"announced", http.MethodPut, "a book", 6, arrived{6, "", "a book"}},
		{"in chunks", http.MethodPost, "a book", -1, arrived{-1, "chunked", "a book"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			in := httptest.NewRequest(test.method, "/x", strings.NewReader(test.text))
			in.ContentLength = test.length
			if test.text == "" {
				in.Body = http.NoBody
			}
			response, err := sender.Send(context.Background(), in)
			if err != nil {
				t.Fatal(err)
			}
			_ = response.Body.Close()
			if arrived := <-got; arrived != test.want {
				t.Fatalf("%+v arrived, want %+v", arrived, test.want)
			}
		})
	}
}

// TestOutgoingKeepsThePath guards against a path or query that arrives encoded in another way than the caller sent it.
func TestOutgoingKeepsThePath(t *testing.T) {
	got := make(chan string, 1)
	sender := newSender(t, func(w http.ResponseWriter, r *http.Request) {
		got <- r.RequestURI
		w.WriteHeader(http.StatusNoContent)
	})
	for _, target := range []string{
		"/search/a|b", `/search/"a"`, "/{a}", "/a^b", "/a`b", `/a\b`, "/<a>", "/caf\xc3\xa9", "/caf%C3%A9", "/caf%c3%a9", "/a%2Fb", "/a%2fb|", "/%61", "/a+b",
		"/a//b/", "/a/./../b", "//a/b", "/a;b=c", "/[a]", "/a?b=|&c=%7C", "/a|b?", "/a#b", "/:a", "/http://a/b", "*",
	} {
		in, err := http.ReadRequest(bufio.NewReader(strings.NewReader("GET " + target + " HTTP/1.1\r\nHost: a.example\r\n\r\n")))
		if err != nil {
			t.Fatal(err)
		}
		response, err := sender.Send(t.Context(), in)
		if err != nil {
			t.Errorf("%s: %v", target, err)
			continue
		}
		_ = response.Body.Close()
		if arrived := <-got; arrived != target {
			t.Errorf("%s arrived as %s", target, arrived)
		}
	}
}

// TestALostRequestIsNotSentAgain guards against net/http resending a request after its connection
// was lost.
func TestALostRequestIsNotSentAgain(t *testing.T) {
	var received atomic.Int64
	sender := newSender(t, func(http.ResponseWriter, *http.Request) {
		if received.Add(1) > 1 {
			panic(http.ErrAbortHandler)
		}
	})
	for i := range 2 {
		response, err := sender.Send(context.Background(), httptest.NewRequest(http.MethodGet, "/x", http.NoBody))
		if i == 0 {
			if err != nil {
				t.Fatal(err)
			}
			_ = response.Body.Close()
			continue
		}
		if err == nil || result.From(err).Code != result.ConnectionLost {
			t.Fatalf("got %v", err)
		}
	}
	if received.Load() != 2 {
		t.Fatalf("server received %d requests, want 2", received.Load())
	}
}

// BenchmarkSendWithoutBody sends a request without a body, as most requests and every reservation
// are. The figures cover both ends.
func BenchmarkSendWithoutBody(b *testing.B) {
	sender := newSender(b, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	b.ReportAllocs()
	for b.Loop() {
		response, err := sender.Send(context.Background(), httptest.NewRequest(http.MethodGet, "/x", http.NoBody))
		if err != nil {
			b.Fatal(err)
		}
		_ = response.Body.Close()
	}
}

// BenchmarkSendShortBody sends a body of 300 bytes that is buffered for another attempt.
func BenchmarkSendShortBody(b *testing.B) {
	sender := newSender(b, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.WriteHeader(http.StatusNoContent)
	})
	ingress := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		kept := body.New(w, r, 1<<20)
		defer kept.Finish()
		if err := kept.Prepare(farFuture); err != nil {
			b.Error(err)
			return
		}
		own := *r
		kept.Rewind(&own)
		response, err := sender.Send(r.Context(), &own)
		if err != nil {
			b.Error(err)
			return
		}
		_ = response.Body.Close()
	}))
	defer ingress.Close()
	text := strings.Repeat("x", 300)
	b.ReportAllocs()
	for b.Loop() {
		response, err := http.Post(ingress.URL, "text/plain", strings.NewReader(text))
		if err != nil {
			b.Fatal(err)
		}
		_ = response.Body.Close()
	}
}
