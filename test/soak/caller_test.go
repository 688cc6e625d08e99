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
	"time"

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

	conn   net.Conn
	reader *bufio.Reader
}

// run sends requests until ctx ends and returns their outcomes.
func (c *caller) run(ctx context.Context) []sample {
	defer c.close()
	var samples []sample
	for n := c.firstNumber; ctx.Err() == nil; n++ {
		method := idempotent
		if n%2 == 1 {
			method = http.MethodPost
		}
		one := c.send(fmt.Sprintf("%s-%d", c.prefix, n), method)
		samples = append(samples, one)
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
		conn, err := net.DialTimeout("tcp", c.address, responseTimeout)
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
	one.outcome, one.err = classify(key, response, text), response.Header.Get(result.Header)
	return one
}

// exchange writes a request and reads the response. It also reads after a failed write, since the response may
// have arrived before the server closed the connection.
func (c *caller) exchange(key, method string) (*http.Response, string, error) {
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
	request.Close = c.askClose
	writeErr := request.Write(c.conn)
	if err := c.conn.SetReadDeadline(time.Now().Add(responseTimeout)); err != nil {
		return nil, "", err
	}
	response, err := http.ReadResponse(c.reader, request)
	if err != nil {
		return nil, "", errors.Join(writeErr, err)
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return response, string(text), err
}
