package main

import (
	"context"
	"net/http"
	"time"
)

// againRequests is the number of requests sent to each machine.
const againRequests = 20

// runAgain lets the upstreams leave one after the other and start again under their ids.
func runAgain(f *fleet, trouble bool) ([]string, error) {
	f.writeConfig(leaveConfig)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	upstreams, err := f.addMachines("lookup", leaveMachines)
	if err != nil {
		return nil, err
	}
	stops := make([]func(), len(upstreams))
	for i, u := range upstreams {
		beats, stop := context.WithCancel(ctx)
		stops[i] = stop
		if err := f.checkIn(beats, []*upstream{u}); err != nil {
			return nil, err
		}
	}
	time.Sleep(touch + heartbeat)
	for i, u := range upstreams {
		if !trouble {
			break
		}
		stops[i]()
		u.leave()
		time.Sleep(drainTimeout + time.Second)
		u.startAgain()
		go u.beat(ctx)
		time.Sleep(2 * heartbeat)
	}
	time.Sleep(touch + heartbeat)
	served := 0
	for _, m := range f.machines {
		c := newClient(m, "books.example")
		for range againRequests {
			c.send(http.MethodGet, "/search/9", "")
		}
		served += c.served()
	}
	f.record.printf("%d of %d requests were served", served, len(f.machines)*againRequests)
	if served > 0 {
		return nil, nil
	}
	return []string{"no request is served, although all upstreams have checked in again"}, nil
}
