package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/tideliftd/tidelift/test/standin"
)

const (
	// awayFor is how long the store is away.
	awayFor = 500 * time.Millisecond
	// drillMachines is the number of machines before one more is added.
	drillMachines = 3
)

// drillConfig returns a desired state whose only route leads to the service.
func drillConfig(version int, service string) string {
	return fmt.Sprintf(`{"version":%d,"routes":[`+
		`{"name":"r-search","host":"books.example","path-prefix":"/search/","route-type":"idempotent","timeout-s":2,"target-latency-s":0.8,"priority":1,"service":%q,"attempts":2}],`+
		`"services":[{"name":"lookup","health-path":"/healthz","max-connections":330,"protocol":"h1","tls":false},`+
		`{"name":"records","health-path":"/healthz","max-connections":330,"protocol":"h1","tls":false}],`+
		`"limits":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-s":3,"idle-timeout-s":15}}`, version, service)
}

// runDrill lets the store come back from a copy some seconds old, while the operator moves the route to another service.
func runDrill(f *fleet, trouble bool) ([]string, error) {
	f.zones = []string{"njiro-hall", "kaloleni-hall"}
	o := &drillOperator{fleet: f, store: newDrill(f.store)}
	f.storeHandler = o.store
	o.write("lookup")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	upstreams, err := startDrillMachines(ctx, f, o.store)
	if err != nil {
		return nil, err
	}
	last := o.store.revision()
	f.record.printf("store: revision %d", last)
	if trouble {
		o.store.goAway()
		f.record.printf("store: is away")
		time.Sleep(awayFor)
		f.record.printf("store: comes back from the copy, era %d, revision %d", o.store.comeBack(), o.store.revision())
	}
	o.moveRoute(last)
	o.store.serveNodes()
	f.record.printf("store: serves the nodes")
	confirmed := time.Now()
	time.Sleep(touch + outer + configApply + margin) // the store is stable, all machines are in touch and all bounds have passed
	var clients []*client
	for _, m := range f.machines {
		c := newClient(m, "books.example")
		clients = append(clients, c)
		for range 10 {
			c.send(http.MethodGet, "/search/9", "")
			time.Sleep(50 * time.Millisecond)
		}
	}
	return judgeDrill(f, clients, upstreams, confirmed, o.version)
}

// startDrillMachines starts the machines. A copy of the store is made before the last one joins.
func startDrillMachines(ctx context.Context, f *fleet, store *drill) ([]*upstream, error) {
	var upstreams []*upstream
	for n, service := range []string{"lookup", "records", "lookup", "records"} {
		if n == drillMachines {
			time.Sleep(touch)
			f.record.printf("store: a copy is made at revision %d", store.copyStore())
			time.Sleep(time.Second)
		}
		u, err := f.addMachineWithUpstream(service, fmt.Sprintf("i-%d", n+1))
		if err != nil {
			return nil, err
		}
		if err := f.checkIn(ctx, []*upstream{u}); err != nil {
			return nil, err
		}
		upstreams = append(upstreams, u)
	}
	time.Sleep(touch) // all machines are in touch and know each other
	return upstreams, nil
}

// drillOperator writes desired states.
type drillOperator struct {
	fleet   *fleet
	store   *drill
	version int // the last one
}

// write writes the next version, whose only route leads to the service.
func (o *drillOperator) write(service string) {
	o.version++
	text := drillConfig(o.version, service)
	revision := o.store.write(configKey, []byte(text))
	o.fleet.record.printf("operator: desired state %s, confirmed at revision %d", text, revision)
}

// moveRoute writes two versions or more in quick succession, until the store has the revision.
func (o *drillOperator) moveRoute(revision int64) {
	o.write("records")
	o.write("records")
	for o.store.revision() < revision {
		o.write("records")
	}
}

// judgeDrill returns the requests that the old service ran.
func judgeDrill(f *fleet, clients []*client, upstreams []*upstream, confirmed time.Time, version int) ([]string, error) {
	var broken []string
	ran := 0
	for _, u := range upstreams {
		for _, a := range u.runs() {
			ran++
			if u.machine.service == "records" {
				continue
			}
			for _, c := range clients {
				if sent, ok := c.attempt(a.id); ok {
					broken = append(broken, fmt.Sprintf("CONFIG: request %s, sent %.3f s after the confirmation of version %d, was run by %s of %s, the service of version 1",
						a.id, sent.sentAt.Sub(confirmed).Seconds(), version, u.id, u.machine.service))
				}
			}
		}
	}
	f.record.printf("%d requests ran, %d of them at the old service", ran, len(broken))
	if ran == 0 {
		return nil, errors.New("no request ran")
	}
	return broken, nil
}

// drill is the platform's store, which may go away for a moment and come back from a copy some seconds old. It applies
// the writes to the project's stand-in and keeps them, so that a copy can be made again.
type drill struct {
	mu      sync.Mutex
	store   *standin.Standin
	handler http.Handler
	writes  []func() *http.Request
	copied  int // how many of the writes the copy has
	era     int
	away    bool
}

func newDrill(store *standin.Standin) *drill {
	return &drill{store: store, handler: store.Handler(), era: 1}
}

// ServeHTTP serves a call of a node.
func (d *drill) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	handler, away, era := d.handler, d.away, d.era
	d.mu.Unlock()
	if away {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Store-Era", strconv.Itoa(era))
	switch {
	case r.URL.Path == "/-/kv-txn" || r.URL.Path == "/-/kv-lease":
		d.serveWrite(w, r)
	case r.URL.Path == "/-/kv-watch" && d.isAhead(r.URL.Query().Get("after")):
		http.Error(w, "the store does not have the revision", http.StatusGone)
	default:
		handler.ServeHTTP(w, r)
	}
}

// serveWrite applies a write and keeps it.
func (d *drill) serveWrite(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	path := r.URL.Path
	d.mu.Lock()
	if d.away {
		d.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	answer := d.apply(func() *http.Request { return httptest.NewRequest(http.MethodPost, path, bytes.NewReader(body)) })
	d.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(answer.Code)
	_, _ = answer.Body.WriteTo(w)
}

// apply applies a write and keeps it. The mutex must be held.
func (d *drill) apply(write func() *http.Request) *httptest.ResponseRecorder {
	answer := httptest.NewRecorder()
	d.handler.ServeHTTP(answer, write())
	d.writes = append(d.writes, write)
	return answer
}

// write writes a key as the operator, and returns the revision of the confirmation.
func (d *drill) write(key string, data []byte) int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	type put struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
	}
	body, _ := json.Marshal(map[string]any{"puts": []put{{Key: key, Value: data}}}) // always encodes
	answer := d.apply(func() *http.Request { return httptest.NewRequest(http.MethodPost, "/-/kv-txn", bytes.NewReader(body)) })
	var confirmation struct {
		Revision int64 `json:"revision"`
	}
	_ = json.Unmarshal(answer.Body.Bytes(), &confirmation) // zero shows in the record
	return confirmation.Revision
}

// revision returns the store's revision.
func (d *drill) revision() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.revisionLocked()
}

func (d *drill) revisionLocked() int64 {
	answer := httptest.NewRecorder()
	d.handler.ServeHTTP(answer, httptest.NewRequest(http.MethodGet, "/-/kv-range?path-prefix=none/", nil))
	var page struct {
		Revision int64 `json:"store-revision"`
	}
	_ = json.Unmarshal(answer.Body.Bytes(), &page) // zero shows in the record
	return page.Revision
}

// isAhead reports whether a watch continues from a revision that the store does not have.
func (d *drill) isAhead(after string) bool {
	revision, err := strconv.ParseInt(after, 10, 64)
	return err == nil && revision > d.revision()
}

// copyStore makes the copy, and returns its revision.
func (d *drill) copyStore() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.copied = len(d.writes)
	return d.revisionLocked()
}

// goAway ends all calls without an answer until comeBack.
func (d *drill) goAway() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.away = true
	d.store.SetOutage(true)
}

// comeBack returns from the copy, for the operator at first, and returns the era that begins.
func (d *drill) comeBack() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.store = standin.New()
	d.handler = d.store.Handler()
	kept := d.writes[:d.copied]
	d.writes = nil
	for _, write := range kept {
		d.apply(write)
	}
	d.era++
	return d.era
}

// serveNodes serves the nodes again.
func (d *drill) serveNodes() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.away = false
}
