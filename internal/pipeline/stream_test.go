package pipeline

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// sent is a request that a test's caller sends.
type sent struct {
	text      string
	mayStart  bool // it may be started ahead
	last      bool // the connection ends after it
	unbounded bool // its end cannot be found
}

func mayStart(r *http.Request) bool { return strings.HasPrefix(r.URL.Path, "/long") }

func longGet(number int) sent {
	return sent{text: fmt.Sprintf("GET /long/%d HTTP/1.1\r\nHost: a\r\n\r\n", number), mayStart: true}
}

func drawSent(t *rapid.T, number int) sent {
	switch rapid.SampledFrom([]string{"long", "long", "long", "long", "short", "body", "expect", "last", "chunked", "fold"}).Draw(t, "kind") {
	case "short":
		return sent{text: fmt.Sprintf("GET /short/%d HTTP/1.1\r\nHost: a\r\n\r\n", number)}
	case "body":
		body := strings.Repeat("\r\n\r\nGET /long HTTP/1.1\r\nHost: a\r\n\r\n", rapid.IntRange(1, 9).Draw(t, "body"))
		return sent{text: fmt.Sprintf("POST /long/%d HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", number, len(body), body)}
	case "expect":
		return sent{text: fmt.Sprintf("GET /long/%d HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\n\r\n", number)}
	case "last":
		return sent{text: fmt.Sprintf("GET /long/%d HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", number), mayStart: true, last: true}
	case "chunked":
		return sent{text: fmt.Sprintf("POST /long/%d HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", number), unbounded: true}
	case "fold":
		return sent{text: fmt.Sprintf("GET /long/%d HTTP/1.1\r\nHost: a\r\nX-A: b\r\n c\r\n\r\n", number), unbounded: true}
	default:
		return longGet(number)
	}
}

// streamModel plays net/http on a stream.
type streamModel struct {
	t        *rapid.T
	s        *stream
	requests []sent
	input    []byte // all that the caller sends
	added    int    // of the input
	read     int    // of the input by net/http
	started  map[int64]bool
}

func newStreamModel(t *rapid.T, limit int) *streamModel {
	m := &streamModel{t: t, s: newStream(limit, mayStart), started: make(map[int64]bool)}
	for number := range rapid.IntRange(1, 12).Draw(t, "requests") {
		m.requests = append(m.requests, drawSent(t, number))
		m.input = append(m.input, m.requests[number].text...)
	}
	return m
}

// add adds a piece of the input, if there is any left.
func (m *streamModel) add() {
	size := rapid.IntRange(0, len(m.input)-m.added).Draw(m.t, "add")
	m.s.add(m.input[m.added : m.added+size])
	m.added += size
}

// readUntil reads like net/http until it has read the input up to the end.
func (m *streamModel) readUntil(end int) {
	for m.read < end {
		if m.read == m.added {
			m.add()
		}
		p := make([]byte, rapid.IntRange(2, 300).Draw(m.t, "read"))
		n := m.s.take(p)
		if !bytes.Equal(p[:n], m.input[m.read:m.read+n]) {
			m.t.Fatalf("read %q, want %q", p[:n], m.input[m.read:m.read+n])
		}
		m.read += n
	}
}

// start starts all that the stream allows and checks it against the rules.
func (m *streamModel) start(current int64) {
	for {
		next, ok := m.s.next()
		if !ok {
			return
		}
		request := m.requests[next.position]
		if string(next.head) != request.text || !request.mayStart || m.started[next.position] {
			m.t.Fatalf("request %d was started with head %q, want once %q", next.position, next.head, request.text)
		}
		for before := current; before < next.position; before++ {
			if !m.requests[before].mayStart || m.requests[before].last {
				m.t.Fatalf("request %d was started behind the barrier %q", next.position, m.requests[before].text)
			}
		}
		m.started[next.position] = true
	}
}

// wantStarted fails the test unless everything that may be started has been.
func (m *streamModel) wantStarted(current int64) {
	end := m.read
	for position := current; position < int64(len(m.requests)); position++ {
		request := m.requests[position]
		if position > current {
			end += len(request.text)
		}
		if !request.mayStart || position-current >= int64(m.s.limit) || end > m.added {
			return
		}
		if position > current && !m.started[position] {
			m.t.Fatalf("request %d was not started behind request %d", position, current)
		}
		if request.last {
			return
		}
	}
}

// TestStream guards against bytes that net/http gets changed or beyond the current request, and against requests that
// are started twice, behind a barrier or beyond the limit, or not started at all.
func TestStream(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(2, 5).Draw(t, "limit")
		m := newStreamModel(t, limit)
		end := 0
		for position, request := range m.requests {
			end += len(request.text)
			m.readUntil(end)
			if request.unbounded {
				break
			}
			if m.read != end {
				t.Fatalf("read %d bytes, beyond request %d, which ends at %d", m.read, position, end)
			}
			m.s.begin()
			for range rapid.IntRange(1, 3).Draw(t, "pieces") {
				m.add()
				m.start(int64(position))
				if n := m.s.take(make([]byte, 1)) + m.s.direct(1); n != 0 {
					t.Fatal("the read that waits for the caller to disconnect got a byte")
				}
			}
			m.wantStarted(int64(position))
			if n := m.s.unanswered(); n > limit {
				t.Fatalf("%d requests are unanswered, more than the limit %d", n, limit)
			}
			m.s.end()
		}
	})
}

// TestUnboundedPassesEverything guards against bytes that are lost or changed after a request whose end is not known.
func TestUnboundedPassesEverything(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newStreamModel(t, 4)
		m.input = append([]byte("GET /long HTTP/1.1\nHost: a\n\n"), m.input...)
		for m.read < len(m.input) {
			m.readUntil(min(len(m.input), m.read+rapid.IntRange(1, 500).Draw(t, "size")))
			m.s.begin()
			m.add()
			if next, ok := m.s.next(); ok {
				t.Fatalf("%q was started behind a request whose end is not known", next.head)
			}
			m.s.end()
		}
	})
}

// TestLargeHeadIsNotStarted guards against running a request whose head net/http may refuse with 431.
func TestLargeHeadIsNotStarted(t *testing.T) {
	for size, want := range map[int]bool{maxStartedHead: true, maxStartedHead + 1: false} {
		s := newStream(4, func(*http.Request) bool { return true })
		const first = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
		const before, after = "GET / HTTP/1.1\r\nHost: a\r\nX-A: ", "\r\n\r\n"
		s.add([]byte(first + before + strings.Repeat("x", size-len(before)-len(after)) + after))
		s.take(make([]byte, len(first)))
		s.begin()
		if _, got := s.next(); got != want {
			t.Errorf("a head of %d bytes: started %t, want %t", size, got, want)
		}
	}
}

// TestDecode guards against starting requests ahead that have a body, that two readers could understand differently, or
// that net/http refuses.
func TestDecode(t *testing.T) {
	const host = "Host: a\r\n"
	tests := []struct {
		name, text          string
		bounded, neverAhead bool
		last                bool
		length              int64
	}{
		{name: "plain", text: "GET /a?b=%20 HTTP/1.1\r\n" + host + "Accept: */*\r\n\r\n", bounded: true},
		{name: "POST without a body", text: "POST / HTTP/1.1\r\n" + host + "\r\n", bounded: true},
		{name: "length 0", text: "POST / HTTP/1.1\r\n" + host + "Content-Length: 0\r\n\r\n", bounded: true},
		{name: "length", text: "POST / HTTP/1.1\r\n" + host + "Content-Length: 12\r\n\r\n", bounded: true, neverAhead: true, length: 12},
		{name: "close", text: "GET / HTTP/1.1\r\n" + host + "Connection: close\r\n\r\n", bounded: true, last: true},
		{name: "expect", text: "GET / HTTP/1.1\r\n" + host + "expect: x\r\n\r\n", bounded: true, neverAhead: true},
		{name: "upgrade", text: "GET / HTTP/1.1\r\n" + host + "Upgrade: h2c\r\n\r\n", bounded: true, neverAhead: true},
		{name: "asterisk", text: "OPTIONS * HTTP/1.1\r\n" + host + "\r\n", bounded: true, neverAhead: true},
		{name: "absolute", text: "GET http://a/b HTTP/1.1\r\n" + host + "\r\n", bounded: true, neverAhead: true},
		{name: "non-ASCII value", text: "GET / HTTP/1.1\r\n" + host + "X: \xc3\xbc\r\n\r\n", bounded: true},
		{name: "chunked", text: "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n"},
		{name: "both lengths", text: "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\nContent-Length: 0\r\n\r\n"},
		{name: "length twice", text: "POST / HTTP/1.1\r\n" + host + "Content-Length: 0\r\nContent-Length: 0\r\n\r\n"},
		{name: "length with a sign", text: "POST / HTTP/1.1\r\n" + host + "Content-Length: +1\r\n\r\n"},
		{name: "no host", text: "GET / HTTP/1.1\r\n\r\n"},
		{name: "two hosts", text: "GET / HTTP/1.1\r\n" + host + host + "\r\n"},
		{name: "bad host", text: "GET / HTTP/1.1\r\nHost: a b\r\n\r\n"},
		{name: "folded", text: "GET / HTTP/1.1\r\n" + host + "A: b\r\n c\r\n\r\n"},
		{name: "space before colon", text: "GET / HTTP/1.1\r\n" + host + "Content-Length : 3\r\n\r\n"},
		{name: "bare LF", text: "GET / HTTP/1.1\r\n" + host + "A: b\nContent-Length: 3\r\n\r\n"},
		{name: "bare CR", text: "GET / HTTP/1.1\r\n" + host + "A: b\rc\r\n\r\n"},
		{name: "empty first line", text: "\r\nGET / HTTP/1.1\r\n" + host + "\r\n"},
		{name: "HTTP/1.0", text: "GET / HTTP/1.0\r\n" + host + "\r\n"},
		{name: "HTTP/2 preface", text: "PRI * HTTP/2.0\r\n\r\n"},
		{name: "CONNECT", text: "CONNECT a:80 HTTP/1.1\r\n" + host + "\r\n"},
		{name: "two spaces", text: "GET  / HTTP/1.1\r\n" + host + "\r\n"},
		{name: "not HTTP", text: "hello\r\n\r\n"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := decode([]byte(test.text))
			if h.bounded != test.bounded || h.neverAhead != test.neverAhead || h.last != test.last || h.length != test.length {
				t.Fatalf("got %+v, want %+v", h, test)
			}
		})
	}
}
