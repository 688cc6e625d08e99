package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// deadline is how long a client waits for its answer.
const deadline = 2 * time.Second

// attempt is one client attempt.
type attempt struct {
	id     string
	sentAt time.Time
	status int // 0 without an answer
}

// client sends requests to the daemon of one machine.
type client struct {
	machine *machine
	host    string

	mu       sync.Mutex
	attempts map[string]attempt
	next     int
}

func newClient(m *machine, host string) *client {
	return &client{machine: m, host: host, attempts: make(map[string]attempt)}
}

// send sends a request and records its answer.
func (c *client) send(method, path, body string) {
	a := c.begin()
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+c.machine.outbound()+path, strings.NewReader(body)) //nolint:gosec // an address of this program's daemons
	if err != nil {
		return
	}
	r.Host = c.host
	r.Header.Set("Request-Id", a.id)
	r.Header.Set("Request-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	c.machine.fleet.record.printf("client of %s: sends %s (%s %s)", c.machine.name, a.id, method, path)
	response, err := http.DefaultClient.Do(r) //nolint:gosec // an address of this program's daemons
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
	if err == nil {
		a.status = response.StatusCode
	}
	c.machine.fleet.record.printf("client of %s: %s is answered with %d", c.machine.name, a.id, a.status)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attempts[a.id] = a
}

// begin returns an attempt with a new id that is sent now.
func (c *client) begin() attempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next++
	a := attempt{id: fmt.Sprintf("%s-%04d", c.machine.name, c.next), sentAt: time.Now()}
	c.attempts[a.id] = a
	return a
}

// attempt returns the attempt with the id.
func (c *client) attempt(id string) (attempt, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a, ok := c.attempts[id]
	return a, ok
}

// served returns how many attempts were answered with success.
func (c *client) served() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	count := 0
	for _, a := range c.attempts {
		if a.status == http.StatusOK {
			count++
		}
	}
	return count
}

// sendEvery sends requests at the interval, concurrently if they are slow, until ctx ends, and waits for their answers.
func (c *client) sendEvery(ctx context.Context, interval time.Duration, method, path, body string) {
	var pending sync.WaitGroup
	defer pending.Wait()
	for {
		pending.Go(func() { c.send(method, path, body) })
		select {
		case <-time.After(interval):
		case <-ctx.Done():
			return
		}
	}
}
