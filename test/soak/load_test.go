package soak

import (
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tideliftd/tidelift/internal/result"
	"github.com/tideliftd/tidelift/internal/wait"
	"github.com/tideliftd/tidelift/test/backendserver"
)

// responseTimeout bounds the wait for a response. It is far above every deadline here, so that only a response
// that is never sent exceeds it.
const responseTimeout = 40 * time.Second

// outcome classifies the response to a request.
type outcome string

// The outcomes.
const (
	outcomeOK            outcome = "ok"
	outcomeFailed        outcome = "failed"        // an error response of the backend server itself
	outcomeNotRun        outcome = "not run"       // refused, and reported as not run
	outcomeIndeterminate outcome = "indeterminate" // failed, and may have run
	outcomeBroken        outcome = "broken"        // the connection broke before the response was complete
	outcomeMismatch      outcome = "mismatch"      // the response to another request
	outcomeTruncated     outcome = "truncated"     // an incomplete response that ended without an error
	outcomeRefused       outcome = "no connection" // no connection could be established
	outcomeUnread        outcome = "unread"        // sent behind the last response of its connection
)

// sample is one request and its outcome.
type sample struct {
	key     string
	method  string
	outcome outcome
	err     string // connection error, or the result code of a failure
}

// stream sends requests at a fixed interval, without waiting for earlier responses.
type stream struct {
	// urls are used in turn.
	urls []string
	// interval is the time between arrivals.
	interval time.Duration
	method   string
	// workMillis is the median of the time that the backend server takes, and spread the standard
	// deviation of its logarithm.
	workMillis, spread float64
	// prefix starts each key.
	prefix string
	// newConnEach opens a connection for each request, without http.Client (see caller).
	newConnEach bool
}

// run sends the stream until ctx ends and returns all samples, in no particular order.
func (s stream) run(ctx context.Context) []sample {
	transport := &http.Transport{MaxIdleConnsPerHost: 4096, DisableCompression: true}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: responseTimeout}
	var (
		samples []sample
		mu      sync.Mutex
		wg      sync.WaitGroup
	)
	start := time.Now()
	for n := 0; ctx.Err() == nil && wait.For(ctx, time.Until(start.Add(time.Duration(n)*s.interval))); n++ {
		wg.Go(func() {
			one := s.sendBy(client, n)
			mu.Lock()
			defer mu.Unlock()
			samples = append(samples, one)
		})
	}
	wg.Wait()
	return samples
}

func (s stream) sendBy(client *http.Client, n int) sample {
	if s.newConnEach {
		return s.sendOnNewConn(n)
	}
	return s.send(client, n)
}

func (s stream) key(n int) string { return fmt.Sprintf("%s-%d", s.prefix, n) }

func (s stream) url(n int) string { return s.urls[n%len(s.urls)] }

// drawWork returns the time in milliseconds that the backend server takes for a request.
func (s stream) drawWork() float64 { return s.workMillis * math.Exp(s.spread*rand.NormFloat64()) }

func (s stream) sendOnNewConn(n int) sample {
	target, err := url.Parse(s.url(n))
	if err != nil {
		panic(err) // the URLs are the test's own
	}
	c := &caller{address: target.Host, path: target.Path, workMillis: s.drawWork(), newConnEach: true, askClose: true}
	return c.send(s.key(n), s.method)
}

func (s stream) send(client *http.Client, n int) sample {
	one := sample{key: s.key(n), method: s.method}
	var body io.Reader
	if s.method == http.MethodPost {
		body = strings.NewReader(one.key)
	}
	request, err := http.NewRequest(s.method, s.url(n), body)
	if err != nil {
		panic(err) // the URLs are the test's own
	}
	request.Header.Set(backendserver.HeaderKey, one.key)
	request.Header.Set(backendserver.HeaderWork, strconv.FormatFloat(s.drawWork(), 'f', 3, 64))
	var sent atomic.Int64
	request = request.WithContext(httptrace.WithClientTrace(request.Context(), &httptrace.ClientTrace{WroteHeaders: func() { sent.Add(1) }}))
	response, err := client.Do(request)
	if err != nil {
		one.outcome, one.err = brokenOrRefused(err), err.Error()
		return one
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		one.outcome, one.err = outcomeBroken, err.Error()
		return one
	}
	one.outcome, one.err = classify(one.key, one.key, response, string(text)), response.Header.Get(result.Header)
	if one.outcome == outcomeNotRun && sent.Load() > 1 {
		one.outcome = outcomeIndeterminate // net/http sent it again after a lost connection; only the last sending is known not to have run
	}
	return one
}

func brokenOrRefused(err error) outcome {
	if strings.Contains(err.Error(), "connect: ") {
		return outcomeRefused
	}
	return outcomeBroken
}

// classify classifies a response that was received without an error. want is the body that the backend server sent.
func classify(key, want string, response *http.Response, text string) outcome {
	if number, _, ok := strings.Cut(response.Header.Get(result.Header), " "); ok {
		code, err := strconv.Atoi(number)
		if known, ok := result.ByNumber(code); err == nil && ok && known.Ran == result.RanNo {
			return outcomeNotRun
		}
		return outcomeIndeterminate
	}
	switch {
	case response.StatusCode != http.StatusOK:
		return outcomeFailed
	case response.Header.Get(backendserver.HeaderKey) != key:
		return outcomeMismatch
	case len(text) < len(want):
		return outcomeTruncated
	case text != want:
		return outcomeMismatch
	}
	return outcomeOK
}

// runAll runs the streams concurrently and returns all their samples.
func runAll(ctx context.Context, streams []stream) []sample {
	var (
		all []sample
		mu  sync.Mutex
		wg  sync.WaitGroup
	)
	for _, s := range streams {
		wg.Go(func() {
			samples := s.run(ctx)
			mu.Lock()
			defer mu.Unlock()
			all = append(all, samples...)
		})
	}
	wg.Wait()
	return all
}
