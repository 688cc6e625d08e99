package main

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/go-faster/errors"
)

const (
	forgedConfig = `{"version":1,"routes":[` +
		`{"name":"r-hold","host":"loans.example","path-prefix":"/hold/","route-type":"non_idempotent","timeout-s":2,"target-latency-s":0.8,"priority":1,"service":"lookup","attempts":2},` +
		`{"name":"r-entry","host":"loans.example","path-prefix":"/entry/","route-type":"non_idempotent","timeout-s":2,"target-latency-s":0.8,"priority":1,"service":"records","attempts":2}],` +
		`"services":[{"name":"lookup","health-path":"/healthz","max-connections":330,"protocol":"h1","tls":false},` +
		`{"name":"records","health-path":"/healthz","max-connections":330,"protocol":"h1","tls":false}],` +
		`"limits":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-s":3,"idle-timeout-s":15}}`
	// forgedRequests is the number of requests sent to each machine.
	forgedRequests = 20
	// forgedSequence is the call-seq of the forged check-in.
	forgedSequence = 1000
)

// runForged sends a check-in of another writer, which has no zone, version and born and names another service.
func runForged(f *fleet, trouble bool) ([]string, error) {
	f.writeConfig(forgedConfig)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var upstreams []*upstream
	for n, service := range []string{"lookup", "records", "records"} {
		u, err := f.addMachineWithUpstream(service, fmt.Sprintf("i-%d", n+1))
		if err != nil {
			return nil, err
		}
		upstreams = append(upstreams, u)
	}
	if err := f.checkIn(ctx, upstreams); err != nil {
		return nil, err
	}
	time.Sleep(touch + heartbeat) // all machines are in touch and know each other
	if first := upstreams[0]; trouble {
		body := fmt.Sprintf(`{"service":"records","address":%q,"capacity":4,"state":"ready","cold-remaining-s":0,"call-seq":%d}`, first.address, forgedSequence)
		first.sendCheckIn(first.machine.control(), []byte(body))
	}
	time.Sleep(touch + heartbeat)
	for _, m := range f.machines {
		c := newClient(m, "loans.example")
		for range forgedRequests {
			c.send(http.MethodPost, "/entry/7", "title=1")
		}
	}
	return judgeForged(f, upstreams)
}

// judgeForged returns the requests that a service ran although no route leads to it.
func judgeForged(f *fleet, upstreams []*upstream) ([]string, error) {
	var broken []string
	ran := 0
	for _, u := range upstreams {
		for _, a := range u.runs() {
			ran++
			if u.machine.service != "records" {
				broken = append(broken, fmt.Sprintf("ROUTE: request %s (%s), of a route to records, was run by %s of %s", a.id, a.path, u.id, u.machine.service))
			}
		}
	}
	f.record.printf("%d requests ran, %d of them at the wrong service", ran, len(broken))
	if ran == 0 {
		return nil, errors.New("no request ran")
	}
	return broken, nil
}
