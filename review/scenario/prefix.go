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
	// prefixConfig has two routes of which the path /loans/hold begins with the first prefix alone.
	prefixConfig = `{"version":1,"routes":[` +
		`{"name":"r-hold","host":"loans.example","path-prefix":"/loans/","route-type":"non_idempotent","timeout-s":2,"target-latency-s":0.8,"priority":1,"service":"lookup","attempts":2},` +
		`{"name":"r-search","host":"loans.example","path-prefix":"/loans/hold/","route-type":"idempotent","timeout-s":2,"target-latency-s":0.8,"priority":1,"service":"lookup","attempts":2}],` +
		`"services":[{"name":"lookup","health-path":"/healthz","max-connections":330,"protocol":"h1","tls":false}],` +
		`"limits":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-s":3,"idle-timeout-s":15}}`
	prefixMachines = 3
	// prefixRequests is the number of requests sent to each machine. It is so low that no daemon knows the usual latency
	// of the route, so that without the disruption no request is slow enough for a hedge.
	prefixRequests = 6
	prefixPause    = 100 * time.Millisecond
)

// runPrefix sends requests that may run at most once to a path that the prefix of an idempotent route does not begin,
// while one answer of each is lost.
func runPrefix(f *fleet, trouble bool) ([]string, error) {
	f.writeConfig(prefixConfig)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var lost sync.Map // ids of which an answer was lost
	upstreams, err := f.addMachines("lookup", prefixMachines)
	if err != nil {
		return nil, err
	}
	for _, u := range upstreams {
		u.loses = func(r *http.Request) bool {
			_, again := lost.LoadOrStore(r.Header.Get("Request-Id"), true)
			return trouble && !again
		}
	}
	if err := f.checkIn(ctx, upstreams); err != nil {
		return nil, err
	}
	time.Sleep(touch) // all machines are in touch and know each other
	for _, m := range f.machines {
		c := newClient(m, "loans.example")
		for range prefixRequests {
			c.send(http.MethodPost, "/loans/hold", "title=1")
			time.Sleep(prefixPause)
		}
	}
	return judgePrefix(f, upstreams)
}

// judgePrefix returns the requests of the non-idempotent route that ran more than once.
func judgePrefix(f *fleet, upstreams []*upstream) ([]string, error) {
	runs := make(map[string][]string)
	for _, u := range upstreams {
		for _, a := range u.runs() {
			if a.path == "/loans/hold" {
				runs[a.id] = append(runs[a.id], u.id+" at "+f.record.at(a.at))
			}
		}
	}
	if len(runs) < prefixMachines*prefixRequests/2 {
		return nil, errors.Errorf("only %d requests ran", len(runs))
	}
	var broken []string
	for id, where := range runs {
		if len(where) > 1 {
			broken = append(broken, fmt.Sprintf("TWICE: POST /loans/hold, request %s, ran %d times: %v", id, len(where), where))
		}
	}
	f.record.printf("%d requests of POST /loans/hold ran, %d of them more than once", len(runs), len(broken))
	return broken, nil
}
