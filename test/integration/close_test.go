package integration

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/tideliftd/tidelift/internal/event"
	"github.com/tideliftd/tidelift/test/harness"
)

// largeAnswer does not fit into the receive buffer of a lateReader, so that most of it waits at the daemon.
var largeAnswer = strings.Repeat("0123456789abcdef", 1<<14)

// lateReader is a caller that reads its answers some time after they were sent.
type lateReader struct {
	net.Conn
	reader *bufio.Reader
}

// newLateReader connects to the address with a small receive buffer.
func newLateReader(t *testing.T, address string) *lateReader {
	t.Helper()
	const receiveBuffer = 4 << 10
	dialer := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		var setErr error
		err := c.Control(func(fd uintptr) {
			setErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer)
		})
		if err != nil {
			return err
		}
		return setErr
	}}
	conn, err := dialer.DialContext(t.Context(), "tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return &lateReader{Conn: conn, reader: bufio.NewReader(conn)}
}

// post sends a POST request.
func (c *lateReader) post(path, headers, body string) error {
	_, err := fmt.Fprintf(c.Conn, "POST %s HTTP/1.1\r\nHost: a.example\r\nContent-Length: %d\r\n%s\r\n%s", path, len(body), headers, body)
	return err
}

// receive reads the next answer.
func (c *lateReader) receive() (status int, body string, err error) {
	if err := c.SetReadDeadline(time.Now().Add(waitTimeout)); err != nil {
		return 0, "", err
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, string(text), err
}

// mustReceive reads the next answer and fails the test unless it is the large one, whole.
func (c *lateReader) mustReceive(t *testing.T) {
	t.Helper()
	status, body, err := c.receive()
	if err != nil || status != http.StatusOK || body != largeAnswer {
		t.Errorf("received status %d and %d of %d bytes, error %v; want the whole answer", status, len(body), len(largeAnswer), err)
	}
}

// answerLarge answers with largeAnswer: chunked if the path says so, and after a while if it says "slow".
func answerLarge(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	if strings.Contains(r.URL.Path, "slow") {
		time.Sleep(500 * time.Millisecond)
	}
	if !strings.Contains(r.URL.Path, "chunked") {
		w.Header().Set("Content-Length", fmt.Sprint(len(largeAnswer)))
	}
	_, _ = io.WriteString(w, largeAnswer)
}

// TestLastAnswerIsNotCutByReset guards against a last answer of which a caller that reads late, or that has already sent
// its next request, gets only the beginning, since the daemon closes the connection while there are unread bytes.
func TestLastAnswerIsNotCutByReset(t *testing.T) {
	const late = 700 * time.Millisecond
	stop := func(t *testing.T, f *harness.Fleet) {
		if err := f.Daemons[0].Signal(syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
		time.Sleep(100 * time.Millisecond)
	}
	longBody := strings.Repeat("x", 256<<10)
	nothing := func(*testing.T, *harness.Fleet) {}
	for _, test := range []struct {
		name, path, headers string
		before              func(*testing.T, *harness.Fleet)
		nextAfter           time.Duration // when the caller sends its next request
		nextBody            string        // longer than what the daemon reads ahead
	}{
		{name: "planned stop, next request sent before the answer", path: "/antraege/slow", before: stop, nextBody: longBody},
		{name: "planned stop, next request sent after the answer", path: "/antraege/x", before: stop, nextAfter: late},
		{name: "planned stop, next request sent when the daemon would have ended", path: "/antraege/x", before: stop, nextAfter: 1500 * time.Millisecond},
		{name: "planned stop, chunked answer", path: "/antraege/slow/chunked", before: stop, nextAfter: late},
		{name: "Connection: close, next request sent before the answer", path: "/antraege/slow", headers: "Connection: close\r\n", before: nothing, nextBody: longBody},
		{name: "Connection: close, next request sent after the answer", path: "/antraege/x", headers: "Connection: close\r\n", before: nothing, nextAfter: late},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := startWithSettings(t, "limits: {stop: 6s}", answerLarge)
			c := newLateReader(t, f.Daemons[0].CallersAddress())
			test.before(t, f)
			if err := c.post(test.path, test.headers, ""); err != nil {
				t.Fatal(err)
			}
			time.Sleep(test.nextAfter)
			if err := c.post("/antraege/next", "", test.nextBody); err != nil {
				t.Fatal(err)
			}
			time.Sleep(late)
			c.mustReceive(t)
			checkNoPeerCut(t, f)
		})
	}
}

// checkNoPeerCut fails the test if a daemon says that it has cut a connection.
func checkNoPeerCut(t *testing.T, f *harness.Fleet) {
	t.Helper()
	events, err := f.Events()
	if err != nil {
		t.Fatal(err)
	}
	for _, e := range events {
		if e.Event == event.PeerCut.Number {
			t.Errorf("%s logged event %d", e.Daemon, e.Event)
		}
	}
}

// TestAnswersBeforeMalformedRequestAreNotCut guards against an answer that is lost since what the caller sent behind its
// request is refused and the connection closed.
func TestAnswersBeforeMalformedRequestAreNotCut(t *testing.T) {
	f := startWithHandler(t, answerLarge)
	for _, behind := range []string{"nonsense\r\n\r\n", strings.Repeat("x", 1<<20)} {
		c := newLateReader(t, f.Daemons[0].CallersAddress())
		if err := c.post("/antraege/slow", "", ""); err != nil {
			t.Fatal(err)
		}
		go func() { _, _ = io.WriteString(c.Conn, behind) }()
		time.Sleep(1500 * time.Millisecond)
		c.mustReceive(t)
	}
}

// TestRefusalOfLongBodyIsReceived guards against a refusal that is lost because the caller is still sending the body.
func TestRefusalOfLongBodyIsReceived(t *testing.T) {
	f := startWithHandler(t, answerLarge)
	c := newLateReader(t, f.Daemons[0].CallersAddress())
	if err := c.post("/antraege/x", "", strings.Repeat("x", 64<<20)); err != nil {
		t.Errorf("the connection broke while the body was sent: %v", err)
	}
	time.Sleep(time.Second)
	status, _, err := c.receive()
	if err != nil || status != http.StatusRequestEntityTooLarge {
		t.Errorf("received status %d, error %v; want %d", status, err, http.StatusRequestEntityTooLarge)
	}
}

// TestLateReaderOfAnotherDaemonsAnswer guards against an answer that is cut because the daemon of the backend server stops
// before the caller's daemon has read it.
func TestLateReaderOfAnotherDaemonsAnswer(t *testing.T) {
	f := startWithSettings(t, "limits: {stop: 4s}", answerLarge)
	c := newLateReader(t, f.Daemons[0].CallersAddress())
	if err := c.post("/antraege/slow", "", ""); err != nil {
		t.Fatal(err)
	}
	time.Sleep(100 * time.Millisecond)
	if err := f.Daemons[1].Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	time.Sleep(2 * time.Second)
	c.mustReceive(t)
}

// TestStopEndsAlthoughCallersDoNotRead guards against a planned stop that exceeds its limit because callers never read
// their last answers.
func TestStopEndsAlthoughCallersDoNotRead(t *testing.T) {
	const limit = 3 * time.Second
	f := startWithSettings(t, "limits: {stop: 3s}", answerLarge)
	for _, headers := range []string{"", "Connection: close\r\n"} {
		c := newLateReader(t, f.Daemons[0].CallersAddress())
		if err := c.post("/antraege/slow", headers, ""); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(100 * time.Millisecond)
	if err := f.Daemons[0].Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if !f.Daemons[0].Wait(limit) {
		t.Errorf("the daemon did not end in %s", limit)
	}
}
