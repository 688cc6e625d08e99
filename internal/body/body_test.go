package body_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/tideliftd/tidelift/internal/body"
)

// serve calls handle with each request and its body, which the caller must send within the given time,
// and returns the server's URL.
func serve(t *testing.T, within time.Duration, handle func(*body.Body, *http.Request)) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b := body.New(w, r, 1<<20)
		defer b.Finish()
		if err := b.Prepare(time.Now().Add(within)); err != nil {
			t.Error(err)
			return
		}
		handle(b, r)
	}))
	t.Cleanup(server.Close)
	return server.URL
}

// post sends a request with the body and reads the response, so that the connection is reused.
func post(t *testing.T, url string, content io.Reader) {
	t.Helper()
	response, err := http.Post(url, "text/plain", content)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
}

// TestTheNextRequestOfAConnectionIsNotCancelled guards against Finish cancelling the next request on the same
// connection.
func TestTheNextRequestOfAConnectionIsNotCancelled(t *testing.T) {
	const requests = 20_000
	var cancelled atomic.Int64
	url := serve(t, time.Minute, func(_ *body.Body, r *http.Request) {
		time.Sleep(time.Microsecond) // until net/http checks whether the caller has disconnected
		if r.Context().Err() != nil {
			cancelled.Add(1)
		}
	})
	for range requests {
		post(t, url, strings.NewReader("a book"))
	}
	if n := cancelled.Load(); n > 0 {
		t.Fatalf("%d of %d requests were cancelled", n, requests)
	}
}

// TestBufferedBodyOutlivesReadDeadline guards against cancelling a request, whose body has been buffered, when the
// deadline for sending it passes.
func TestBufferedBodyOutlivesReadDeadline(t *testing.T) {
	url := serve(t, 50*time.Millisecond, func(_ *body.Body, r *http.Request) {
		select {
		case <-r.Context().Done():
			t.Error("the request was cancelled as if the caller had disconnected")
		case <-time.After(150 * time.Millisecond):
		}
	})
	response, err := http.Post(url, "text/plain", strings.NewReader("a book"))
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
}

// TestEveryAttemptReadsFromTheStart guards against an attempt that disturbs another one reading the same buffered body.
func TestEveryAttemptReadsFromTheStart(t *testing.T) {
	url := serve(t, time.Minute, func(b *body.Body, r *http.Request) {
		first, second := *r, *r
		b.Rewind(&first)
		half := make([]byte, 3)
		_, _ = io.ReadFull(first.Body, half)
		b.Rewind(&second)
		whole, _ := io.ReadAll(second.Body)
		rest, _ := io.ReadAll(first.Body)
		if string(whole) != "a book" || string(half)+string(rest) != "a book" {
			t.Errorf("read %q and %q with %q", whole, half, rest)
		}
	})
	response, err := http.Post(url, "text/plain", strings.NewReader("a book"))
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
}

// TestTryPeekDoesNotBlock guards against TryPeek waiting for a caller that waits for a response before it sends the
// rest of its body.
func TestTryPeekDoesNotBlock(t *testing.T) {
	rest, sent := io.Pipe()
	url := serve(t, time.Minute, func(b *body.Body, r *http.Request) {
		out := r.Clone(r.Context())
		b.Rewind(out)
		if n, err := io.ReadFull(out.Body, make([]byte, 6)); err != nil {
			t.Errorf("read %d bytes, %v", n, err)
		}
		reading := make(chan struct{})
		go func() {
			defer close(reading)
			_, _ = io.Copy(io.Discard, out.Body) // waits for the caller
		}()
		for range 20 {
			if known, err := b.TryPeek(100); err == nil {
				t.Errorf("TryPeek returned %q before the body was sent", known)
			}
			time.Sleep(time.Millisecond)
		}
		_, _ = sent.Write([]byte(" and more"))
		_ = sent.Close()
		<-reading
		if known, err := b.TryPeek(100); err != nil || string(known) != "a book and more" {
			t.Errorf("TryPeek returned %q, %v", known, err)
		}
	})
	response, err := http.Post(url, "text/plain", io.MultiReader(strings.NewReader("a book"), rest))
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
}

// TestPeek guards against Peek returning wrong data, or removing data from an attempt, before and after the body is
// read.
func TestPeek(t *testing.T) {
	const kept = 64 << 10
	bodies := map[string]string{
		"none":                  "",
		"short":                 "a book",
		"as long as is kept":    strings.Repeat("x", kept),
		"longer than is kept":   strings.Repeat("0123456789", kept/4),
		"longer by a few bytes": strings.Repeat("x", kept) + "end",
	}
	for name, text := range bodies {
		for _, chunked := range []bool{false, true} {
			for _, before := range []bool{false, true} {
				url := serve(t, time.Minute, func(b *body.Body, r *http.Request) {
					want := text[:min(len(text), kept)]
					if before {
						if first, err := b.Peek(kept); err != nil || string(first) != want {
							t.Errorf("%s, chunked %v: Peek returned %d bytes, %v", name, chunked, len(first), err)
						}
					}
					out := r.Clone(r.Context())
					b.Rewind(out)
					if all, err := io.ReadAll(out.Body); err != nil || string(all) != text {
						t.Errorf("%s, chunked %v, after Peek %v: an attempt read %d bytes, %v", name, chunked, before, len(all), err)
					}
					if first, err := b.Peek(kept); err != nil || string(first) != want {
						t.Errorf("%s, chunked %v: Peek after an attempt returned %d bytes, %v", name, chunked, len(first), err)
					}
				})
				var sent io.Reader = strings.NewReader(text)
				if chunked {
					sent = io.MultiReader(sent) // hides the length from net/http
				}
				response, err := http.Post(url, "text/plain", sent)
				if err != nil {
					t.Fatal(err)
				}
				_ = response.Body.Close()
			}
		}
	}
}

// deadlines is a response writer that records the read deadlines of its connection.
type deadlines struct {
	*httptest.ResponseRecorder
	set []time.Time
}

func (d *deadlines) SetReadDeadline(at time.Time) error {
	d.set = append(d.set, at)
	return nil
}

func (d *deadlines) EnableFullDuplex() error { return nil }

// TestFinishDoesNotAbortAfterEOF guards against aborting a read after the body has been streamed to its end: net/http
// is then reading the connection, and treats an aborted read as a disconnected caller.
func TestFinishDoesNotAbortAfterEOF(t *testing.T) {
	w := &deadlines{ResponseRecorder: httptest.NewRecorder()}
	r := httptest.NewRequest(http.MethodPost, "/", io.MultiReader(strings.NewReader("in pieces"))) // of unknown length
	b := body.New(w, r, 100)
	if err := b.Prepare(time.Now().Add(time.Minute)); err != nil {
		t.Fatal(err)
	}
	b.Rewind(r)
	if all, err := io.ReadAll(r.Body); err != nil || string(all) != "in pieces" {
		t.Fatalf("%q, %v", all, err)
	}
	before := len(w.set)
	b.Finish()
	if len(w.set) != before+1 || !w.set[before].IsZero() {
		t.Fatalf("Finish set the read deadlines %v, want only the zero time", w.set[before:])
	}
}

// TestTheNextRequestAfterAStreamedBodyIsNotCancelled guards against cancelling the next request on a connection after
// an attempt has streamed a body.
func TestTheNextRequestAfterAStreamedBodyIsNotCancelled(t *testing.T) {
	const requests = 20_000
	var cancelled atomic.Int64
	url := serve(t, time.Minute, func(b *body.Body, r *http.Request) {
		out := &http.Request{}
		b.Rewind(out)
		_, _ = io.Copy(io.Discard, out.Body)
		time.Sleep(time.Microsecond) // until net/http checks whether the caller has disconnected
		if r.Context().Err() != nil {
			cancelled.Add(1)
		}
	})
	for range requests {
		post(t, url, io.MultiReader(strings.NewReader("a book")))
	}
	if n := cancelled.Load(); n > 0 {
		t.Fatalf("%d of %d requests were cancelled", n, requests)
	}
}

// TestUnreadBodyIsNotTheNextRequest guards against net/http taking the rest of a body that was not read for the next
// request on the connection.
func TestUnreadBodyIsNotTheNextRequest(t *testing.T) {
	const second = "GET /second HTTP/1.1\r\nHost: a\r\n\r\n"
	bodies := map[string]string{
		"with a length": "Content-Length: 100000\r\n\r\n",
		"in chunks":     "Transfer-Encoding: chunked\r\n\r\n186a0\r\n",
	}
	for name, text := range bodies {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.Method != http.MethodPost {
					t.Errorf("%s %s was served", r.Method, r.URL.Path)
				}
				b := body.New(w, r, 1<<20)
				defer b.Finish()
				if err := b.Prepare(time.Now().Add(time.Minute)); err != nil {
					t.Error(err)
				}
				w.WriteHeader(http.StatusServiceUnavailable)
			}))
			defer server.Close()
			connection, err := net.Dial("tcp", server.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = connection.Close() }()
			if _, err := io.WriteString(connection, "POST /first HTTP/1.1\r\nHost: a\r\n"+text); err != nil {
				t.Fatal(err)
			}
			_ = connection.SetReadDeadline(time.Now().Add(10 * time.Second))
			reader := bufio.NewReader(connection)
			if _, err := http.ReadResponse(reader, nil); err != nil {
				t.Fatal(err)
			}
			_, _ = io.WriteString(connection, second) // part of the first request's body
			if rest, err := io.ReadAll(reader); len(rest) > 0 || errors.Is(err, os.ErrDeadlineExceeded) {
				t.Fatalf("got %q, %v, want the end of the connection", rest, err)
			}
		})
	}
}

// TestAConsumedBodyIsNotSentInPart guards against an attempt that begins after a body was read beyond the buffer, and
// sends the body without the part in between.
func TestAConsumedBodyIsNotSentInPart(t *testing.T) {
	text := strings.Repeat("0123456789", 20_000)
	r := httptest.NewRequest(http.MethodPost, "/", io.MultiReader(strings.NewReader(text))) // of unknown length
	b := body.New(&deadlines{ResponseRecorder: httptest.NewRecorder()}, r, 1<<20)
	if err := b.Prepare(time.Now().Add(time.Minute)); err != nil {
		t.Fatal(err)
	}
	first, second := *r, *r
	b.Rewind(&first)
	if _, err := io.ReadFull(first.Body, make([]byte, 100_000)); err != nil {
		t.Fatal(err)
	}
	b.Rewind(&second)
	if part, err := io.ReadAll(second.Body); err == nil {
		t.Errorf("the second attempt read %d of %d bytes without an error", len(part), len(text))
	}
	if rest, err := io.ReadAll(first.Body); err != nil || string(rest) != text[100_000:] {
		t.Errorf("the first attempt read %d bytes more, %v", len(rest), err)
	}
	b.Finish()
}

// TestCloseAfterUnreadBodyIsAnnounced guards against a caller that sends its next request on a connection that is closed because the
// body was not read to its end.
func TestCloseAfterUnreadBodyIsAnnounced(t *testing.T) {
	const size = 1 << 20
	for name, read := range map[string]bool{"read": true, "not read": false} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			b := body.New(w, r, size)
			defer b.Finish()
			if err := b.Prepare(time.Now().Add(time.Minute)); err != nil {
				t.Error(err)
			}
			own := *r
			b.Rewind(&own)
			if read {
				_, _ = io.Copy(io.Discard, own.Body)
			}
			b.AnnounceClose(w.Header())
		}))
		response, err := http.Post(server.URL, "text/plain", strings.NewReader(strings.Repeat("x", size)))
		if err != nil {
			t.Fatal(err)
		}
		if response.Close == read {
			t.Errorf("%s: the response announces the close: %t", name, response.Close)
		}
		_ = response.Body.Close()
		server.Close()
	}
}
