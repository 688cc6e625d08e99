package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

const (
	pipelinedConfig = `{"version":1,"routes":[` +
		`{"name":"r-check","host":"records.example","path-prefix":"/check/","route-type":"idempotent","timeout-s":2,"target-latency-s":0.8,"priority":1,"service":"records","attempts":2}],` +
		`"services":[{"name":"records","health-path":"/healthz","max-connections":330,"protocol":"h1","tls":false}],` +
		`"limits":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-s":3,"idle-timeout-s":15}}`
	pipelinedMachines = 4
	// connections is how many connections each client opens, one after the other.
	connections = 200
	// ahead is how many requests a client sends before the first of them is answered.
	ahead = 5
	// cutEvery is how many answers of the faulty upstream there are to one that is cut off: 4 in 100 of one upstream. The
	// site files have 5 in 100 of half of the upstreams.
	cutEvery = 25
	// lostAllowed is how many requests a machine may lose by the rule.
	lostAllowed = 3
	// answerSize is the size of an answer's body, in bytes, and cutAt how much of it is sent before it is cut off.
	answerSize = 120_000
	cutAt      = 80_000
)

// runPipelined sends idempotent requests ahead on kept connections, while one upstream cuts some of its answers off.
func runPipelined(f *fleet, trouble bool) ([]string, error) {
	f.writeConfig(pipelinedConfig)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	upstreams, err := f.addMachines("records", pipelinedMachines)
	if err != nil {
		return nil, err
	}
	completed := newCompletions()
	for n, u := range upstreams {
		u.answer = completed.answerOf(u, trouble && n == 0)
	}
	if err := f.checkIn(ctx, upstreams); err != nil {
		return nil, err
	}
	time.Sleep(touch + heartbeat) // all machines are in touch and know each other
	var clients sync.WaitGroup
	lost := make([][]string, len(f.machines)) // ids by machine
	for i, m := range f.machines[1:] {
		clients.Go(func() {
			for n := range connections {
				lost[i+1] = append(lost[i+1], m.sendAhead(fmt.Sprintf("%s-%d", m.name, n))...)
			}
		})
	}
	clients.Wait()
	return judgePipelined(f, upstreams[0], completed, lost)
}

// completions holds which upstream completed its answer to each request.
type completions struct {
	mu   sync.Mutex
	byID map[string]string
}

func newCompletions() *completions { return &completions{byID: make(map[string]string)} }

// answerOf returns the function by which the upstream answers. A faulty one cuts some of its answers off.
func (c *completions) answerOf(u *upstream, faulty bool) func(w http.ResponseWriter, r *http.Request) {
	var count atomic.Int64
	body := strings.Repeat("x", answerSize)
	return func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("Request-Id")
		w.Header().Set("Content-Length", strconv.Itoa(answerSize))
		if faulty && count.Add(1)%cutEvery == 0 {
			_, _ = io.WriteString(w, body[:cutAt])
			_ = http.NewResponseController(w).Flush()
			u.machine.fleet.record.printf("%s: cuts its answer to %s off", u.id, id)
			panic(http.ErrAbortHandler)
		}
		if _, err := io.WriteString(w, body); err != nil {
			return
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		c.byID[id] = u.id
	}
}

// by returns the upstream that completed its answer to the request; empty if none has.
func (c *completions) by(id string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.byID[id]
}

// sendAhead sends one request on a new connection and, once it is answered, several without waiting for answers. It
// returns the ids of those that got no byte of an answer before the machine closed the connection.
func (m *machine) sendAhead(name string) []string {
	socket, err := net.Dial("tcp", m.outbound()) //nolint:gosec // an address of this program's daemons
	if err != nil {
		return nil
	}
	defer func() { _ = socket.Close() }()
	reader := bufio.NewReader(socket)
	ids := make([]string, 0, ahead)
	var requests strings.Builder
	for n := range ahead + 1 {
		id := fmt.Sprintf("%s-%d", name, n)
		text := fmt.Sprintf("GET /check/%d HTTP/1.1\r\nHost: records.example\r\nRequest-Id: %s\r\nRequest-Deadline-Ms: %d\r\n\r\n", n, id, deadline.Milliseconds())
		if n == 0 {
			_, _ = io.WriteString(socket, text)
			if err := m.readAnswer(socket, reader, id); err != nil {
				return nil
			}
			continue
		}
		ids = append(ids, id)
		requests.WriteString(text)
	}
	m.fleet.record.printf("client of %s: sends %s ahead on a kept connection", m.name, strings.Join(ids, ", "))
	_, _ = io.WriteString(socket, requests.String())
	for n, id := range ids {
		if err := m.readAnswer(socket, reader, id); err != nil {
			m.fleet.record.printf("client of %s: the connection ended in the answer to %s: %v", m.name, id, err)
			if errors.Is(err, os.ErrDeadlineExceeded) {
				return nil
			}
			m.fleet.record.printf("client of %s: no answer to %s", m.name, strings.Join(ids[n+1:], ", "))
			return ids[n+1:]
		}
	}
	return nil
}

// readAnswer reads one answer.
func (m *machine) readAnswer(socket net.Conn, reader *bufio.Reader, id string) error {
	_ = socket.SetReadDeadline(time.Now().Add(deadline))
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	if err == nil && response.Header.Get("Request-Id") == id {
		m.fleet.record.printf("client of %s: %s is answered with %d", m.name, id, response.StatusCode)
	}
	return err
}

// judgePipelined returns the requests that a sound upstream ran and answered, and that got no answer, of the machines that
// lost more of them than the rule allows.
func judgePipelined(f *fleet, faulty *upstream, completed *completions, lost [][]string) ([]string, error) {
	var broken []string
	for i, ids := range lost {
		var found []string
		for _, id := range ids {
			if by := completed.by(id); by != "" && by != faulty.id {
				found = append(found, fmt.Sprintf("LOST: request %s was answered by %s, which is sound; %s closed its connection without an answer", id, by, f.machines[i].name))
			}
		}
		f.record.printf("%s: %d requests that it passed on to sound upstreams got no answer", f.machines[i].name, len(found))
		if len(found) > lostAllowed {
			broken = append(broken, found...)
		}
	}
	if len(faulty.runs()) < cutEvery {
		return nil, errors.New("the faulty upstream ran too few requests")
	}
	return broken, nil
}
