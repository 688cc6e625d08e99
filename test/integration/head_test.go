package integration

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"path"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// wholeAnswers are answers that look truncated wherever they are cut.
var wholeAnswers = map[string]string{
	"length":            "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-A: b\r\n\r\nhello",
	"length last":       "HTTP/1.1 200 OK\r\nX-A: b\r\nContent-Length: 15\r\n\r\nhello, you five",
	"chunked":           "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
	"after early hints": "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
	"bare line feeds":   "HTTP/1.1 200 OK\nContent-Length: 5\n\nhello",
	"folded field":      "HTTP/1.1 200 OK\r\nX-A: b\r\n c\r\nContent-Length: 5\r\n\r\nhello",
}

// cutEnds are the ways in which a backend server ends a truncated answer, after the bytes before the cut.
var cutEnds = []rawAnswer{
	func(*net.TCPConn, *http.Request) bool { return false },
	func(conn *net.TCPConn, _ *http.Request) bool { _ = conn.CloseWrite(); return true },
	func(conn *net.TCPConn, _ *http.Request) bool { _ = conn.SetLinger(0); return false },
	func(*net.TCPConn, *http.Request) bool { time.Sleep(20 * time.Millisecond); return false },
}

// truncation is an answer that is cut at a byte and then ends somehow.
type truncation struct {
	name string
	at   int
	end  int // in cutEnds
}

// truncations returns the cuts at each byte that end by a close, and every few bytes in another way.
func truncations() []truncation {
	const everyFew = 5
	var all []truncation
	for name, text := range wholeAnswers {
		for at := range len(text) {
			all = append(all, truncation{name: name, at: at})
			if at%everyFew == 0 {
				for end := 1; end < len(cutEnds); end++ {
					all = append(all, truncation{name: name, at: at, end: end})
				}
			}
		}
	}
	return all
}

// TestTruncatedAnswerIsNeverWhole guards against an answer whose head or body breaks off at any byte, by any kind of close,
// and that a caller gets as a success framed as whole. The answer is the first or the second one of its connection.
func TestTruncatedAnswerIsNeverWhole(t *testing.T) {
	const callers = 24
	f, backend := startRaw(t, time.Second)
	cuts := truncations()
	var whole sync.Map // connections on which there was a whole answer
	backend.setAnswer(func(conn *net.TCPConn, r *http.Request) bool {
		number, err := strconv.Atoi(path.Base(r.URL.Path))
		_, second := whole.LoadOrStore(conn, true)
		if err != nil || number%2 == 1 && !second {
			_, _ = io.WriteString(conn, wholeAnswers["length"])
			return true
		}
		cut := cuts[number/2]
		_, _ = io.WriteString(conn, wholeAnswers[cut.name][:cut.at])
		return cutEnds[cut.end](conn, r)
	})
	var next atomic.Int64
	var running sync.WaitGroup
	for range callers {
		running.Go(func() {
			for number := int(next.Add(1) - 1); number < 2*len(cuts); number = int(next.Add(1) - 1) {
				method := []string{http.MethodGet, http.MethodPost}[number/2%2]
				status, body := exchangeText(method, f.URL(number/4%2, "antraege", fmt.Sprintf("/%d", number)))
				if status/100 == 2 && (number%2 == 0 || body != "hello") {
					t.Errorf("%s of %+v got %d with %q as whole", method, cuts[number/2], status, body)
				}
			}
		})
	}
	running.Wait()
	t.Logf("%d answers cut, %d requests reached the backend server", 2*len(cuts), backend.runs.Load())
	if int(backend.runs.Load()) < len(cuts) {
		t.Errorf("%d requests reached the backend server, which is too few to show anything", backend.runs.Load())
	}
}

// exchangeText sends a request and returns the status and body of a whole answer, and 0 for any other.
func exchangeText(method, url string) (status int, body string) {
	r, err := http.NewRequest(method, url, http.NoBody)
	if err != nil {
		return 0, ""
	}
	return wholeAnswer(http.DefaultClient.Do(r))
}

// wholeAnswer returns the status and body of a whole answer, and 0 for any other.
func wholeAnswer(response *http.Response, err error) (status int, body string) {
	if err != nil {
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	return response.StatusCode, string(data)
}
