package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

const (
	// recovery is the bound recovery-s.
	recovery = 15 * time.Second
	// searchWork is how long an upstream works on a search, so that each runs some when it crashes.
	searchWork = 300 * time.Millisecond
	// searchPause is the pause between two requests of a client.
	searchPause = 100 * time.Millisecond
	// downFor is how long the upstreams are down.
	downFor = 3 * time.Second
	// servedDivisor is the part of the requests that must be served: a quarter.
	servedDivisor = 4
)

// runOutage lets all upstreams of a service crash at once and start again, and then kills all processes.
func runOutage(f *fleet, trouble bool) ([]string, error) {
	f.writeConfig(leaveConfig)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	upstreams, err := f.addMachines("lookup", leaveMachines)
	if err != nil {
		return nil, err
	}
	for _, u := range upstreams {
		u.answer = answerSearch
	}
	beats, stopBeats := context.WithCancel(ctx)
	defer stopBeats()
	if err := f.checkIn(beats, upstreams); err != nil {
		return nil, err
	}
	time.Sleep(touch + heartbeat) // all machines are in touch and know each other
	before := f.search(downFor + heartbeat)
	if trouble {
		f.crashAll(upstreams)
		stopBeats()
		time.Sleep(downFor)
		if err := f.restartAll(ctx, upstreams); err != nil {
			return nil, err
		}
	}
	time.Sleep(recovery + margin)
	return judgeOutage(before, f.search(downFor))
}

// answerSearch works on a search, unless its connection is closed.
func answerSearch(w http.ResponseWriter, r *http.Request) {
	select {
	case <-time.After(searchWork):
		writeBody(w, r)
	case <-r.Context().Done():
	}
}

// crashAll crashes all upstreams while clients send requests.
func (f *fleet) crashAll(upstreams []*upstream) {
	var sending sync.WaitGroup
	sending.Go(func() { f.search(downFor) })
	time.Sleep(downFor / 2)
	for _, u := range upstreams {
		u.crash()
	}
	f.record.printf("all upstreams have crashed")
	sending.Wait()
}

// restartAll starts the upstreams again, and then kills all daemons and starts them again.
func (f *fleet) restartAll(ctx context.Context, upstreams []*upstream) error {
	for _, u := range upstreams {
		if err := u.restart(u.id + "-again"); err != nil {
			return err
		}
	}
	if err := f.checkIn(ctx, upstreams); err != nil {
		return err
	}
	f.record.printf("all upstreams have started again")
	f.search(downFor)
	for _, m := range f.machines {
		m.kill()
	}
	f.record.printf("all processes are killed")
	time.Sleep(restartDelay)
	for _, m := range f.machines {
		if err := m.start(); err != nil {
			return err
		}
	}
	for _, m := range f.machines {
		if err := m.waitReady(); err != nil {
			return err
		}
	}
	return nil
}

// counts are how many requests were sent and served.
type counts struct{ sent, served int }

// search sends the same search at each machine again and again for the duration.
func (f *fleet) search(duration time.Duration) counts {
	ctx, cancel := context.WithTimeout(context.Background(), duration)
	defer cancel()
	var sending sync.WaitGroup
	clients := make([]*client, 0, len(f.machines))
	for _, m := range f.machines {
		c := newClient(m, "books.example")
		clients = append(clients, c)
		sending.Go(func() { c.sendEvery(ctx, searchPause, http.MethodGet, "/search/9", "") })
	}
	sending.Wait()
	var sum counts
	for _, c := range clients {
		sum.sent += len(c.attempts)
		sum.served += c.served()
	}
	f.record.printf("%d of %d requests were served", sum.served, sum.sent)
	return sum
}

// judgeOutage returns what was served after the recovery, if it is less than a quarter.
func judgeOutage(before, after counts) ([]string, error) {
	if before.served*servedDivisor < before.sent || after.sent == 0 {
		return nil, errors.New("too little was served before")
	}
	if after.served*servedDivisor >= after.sent {
		return nil, nil
	}
	return []string{fmt.Sprintf("RECOVER: %d of %d requests sent later than %s after the machines were back were served", after.served, after.sent, recovery)}, nil
}
