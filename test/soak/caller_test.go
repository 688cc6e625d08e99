package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/tideliftd/tidelift/internal/result"
	"github.com/tideliftd/tidelift/internal/wait"
	"github.com/tideliftd/tidelift/test/backendserver"
)

// pauseAfterRefusal is how long a caller waits after a refusal. Daemons ask for a second.
const pauseAfterRefusal = 200 * time.Millisecond

// caller sends one request after another, either on a connection that it keeps until the server closes it or on a new
// one for each request, with random pauses between. It does not use http.Client, which retries some requests
// automatically and discards data that arrives before its request.
type caller struct {
	address     string // of a daemon, for callers
	path        string
	prefix      string // starts each key
	random      *rand.Rand
	maxPause    time.Duration
	workMillis  float64 // time that the backend server takes
	newConnEach bool    // opens a connection for each request
	askClose    bool    // each request asks the server to close the connection
	firstNumber int     // of its requests; those with odd numbers are not idempotent

	maxLate       time.Duration // maximum time from sending a request to reading the response
	ahead         bool          // sends the next request before it reads the response
	bytes         int           // size of the responses
	receiveBuffer int           // of its connections, in bytes; 0 for the kernel's default

	conn   net.Conn
	reader *bufio.Reader
	next   int     // number of the next request
	sent   *sample // the next request, if it was sent ahead
}

// run sends requests until ctx ends and returns their outcomes.
func (c *caller) run(ctx context.Context) []sample {
	defer c.close()
	var samples []sample
	for n := c.firstNumber; ctx.Err() == nil; n++ {
		c.next = n + 1
		one := c.send(c.request(n))
		samples = append(samples, one)
		if c.sent != nil && c.conn == nil { // the connection has ended
			c.sent.outcome = outcomeUnread
			samples = append(samples, *c.sent)
			c.sent = nil
			n++
		}
		pause := time.Duration(c.random.Int64N(int64(c.maxPause)))
		if one.outcome == outcomeRefused {
			pause = 20 * time.Millisecond
		}
		if one.outcome == outcomeNotRun {
			pause = max(pause, pauseAfterRefusal)
		}
		wait.For(ctx, pause)
	}
	return samples
}

// request returns the key and method of the request of that number.
func (c *caller) request(n int) (key, method string) {
	if n%2 == 1 {
		return fmt.Sprintf("%s-%d", c.prefix, n), http.MethodPost
	}
	return fmt.Sprintf("%s-%d", c.prefix, n), idempotent
}

// runTogether runs the callers until ctx ends and returns their samples.
func runTogether(ctx context.Context, callers []*caller) []sample {
	var (
		all     []sample
		mu      sync.Mutex
		running sync.WaitGroup
	)
	for _, c := range callers {
		running.Go(func() {
			samples := c.run(ctx)
			mu.Lock()
			defer mu.Unlock()
			all = append(all, samples...)
		})
	}
	running.Wait()
	return all
}

func (c *caller) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// send sends one request, on a new connection if none is open.
func (c *caller) send(key, method string) sample {
	one := sample{key: key, method: method}
	if c.conn == nil {
		dialer := net.Dialer{Timeout: responseTimeout, Control: c.setReceiveBuffer}
		conn, err := dialer.Dial("tcp", c.address)
		if err != nil {
			one.outcome, one.err = brokenOrRefused(err), err.Error()
			return one
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	response, text, err := c.exchange(key, method)
	if err != nil {
		c.close()
		one.outcome, one.err = outcomeBroken, err.Error()
		return one
	}
	if response.Close || c.newConnEach {
		c.close()
	}
	one.outcome, one.err = classify(key, backendserver.Body(key, c.bytes), response, text), response.Header.Get(result.Header)
	return one
}

// setReceiveBuffer sets the size of a connection's receive buffer, before it is opened.
func (c *caller) setReceiveBuffer(_, _ string, raw syscall.RawConn) error {
	if c.receiveBuffer == 0 {
		return nil
	}
	var setErr error
	err := raw.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, c.receiveBuffer)
	})
	return errors.Join(err, setErr)
}

// exchange writes a request, unless it was sent ahead, and reads the response. It also reads after a failed write, since the
// response may have arrived before the server closed the connection.
func (c *caller) exchange(key, method string) (*http.Response, string, error) {
	var writeErr error
	if c.sent == nil || c.sent.key != key {
		writeErr = c.write(key, method)
	}
	c.sent = nil
	if c.ahead {
		if key, method := c.request(c.next); c.write(key, method) == nil {
			c.sent = &sample{key: key, method: method}
		}
	}
	if c.maxLate > 0 {
		time.Sleep(time.Duration(c.random.Int64N(int64(c.maxLate))))
	}
	if err := c.conn.SetReadDeadline(time.Now().Add(responseTimeout)); err != nil {
		return nil, "", err
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return nil, "", errors.Join(writeErr, err)
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return response, string(text), err
}

// write writes a request.
func (c *caller) write(key, method string) error {
	body := ""
	if method == http.MethodPost {
		body = key
	}
	request, err := http.NewRequest(method, "http://"+c.address+c.path, strings.NewReader(body))
	if err != nil {
		panic(err) // the address is the test's own
	}
	request.Header.Set(backendserver.HeaderKey, key)
	request.Header.Set(backendserver.HeaderWork, strconv.FormatFloat(c.workMillis, 'f', 3, 64))
	request.Header.Set(backendserver.HeaderBytes, strconv.Itoa(c.bytes))
	request.Close = c.askClose
	return request.Write(c.conn)
}
