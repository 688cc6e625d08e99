package registered

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/tideliftd/tidelift/platform"
)

const (
	keyOfCounty = "county-key-1f0e"
	keyOfSchool = "school-key-77ab"
	unknownKey  = "nobody-key-9c31"
)

// desiredWithCustomersText is the format of a desired state with a public route and two customers. The version and
// the keys and limit of the county are filled in.
const desiredWithCustomersText = `{"version":%d,
"routes":[
 {"name":"once","host":"a.example","path-prefix":"/once/","route-type":"non_idempotent","timeout-s":2,"target-latency-s":0.8,"priority":1,"service":"lookup","attempts":2},
 {"name":"twice","host":"a.example","path-prefix":"/twice/","route-type":"idempotent","timeout-s":2,"target-latency-s":0.8,"priority":2,"service":"lookup","attempts":2},
 {"name":"open","host":"a.example","path-prefix":"/open/","route-type":"idempotent","timeout-s":2,"target-latency-s":0.8,"priority":2,"service":"lookup","attempts":2,"public":true}],
"services":[{"name":"lookup"}],"limits":{"max-body-bytes":100000},
"tenants":[{"name":"county","api-keys":[%s],"rate-per-s":%g,"burst":%g},{"name":"school","api-keys":["` + keyOfSchool + `"]}]}`

func (f *fleet) writeDesiredWithCustomers(version int, countyKeys string, rate, burst float64) {
	f.store.Write(platform.DesiredKey, fmt.Appendf(nil, desiredWithCustomersText, version, countyKeys, rate, burst))
}

// getWithKey sends a request with the key, unless it is empty, and a forged customer header. It
// returns the response's status and Retry-After header.
func (h *host) getWithKey(client *http.Client, path, key, id string) (int, string) {
	r := h.newRequest(context.Background(), http.MethodGet, path, id, "")
	r.Header.Set("Tenant", "forged")
	if key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	response, err := client.Do(r)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode, response.Header.Get("Retry-After")
}

// receivedCustomers counts the requests that backend servers received, by customer header, and those that
// carried a key.
type receivedCustomers struct {
	mu    sync.Mutex
	names map[string]int
	byID  map[string][]string // the customer header of each run, by request id
	keys  int
}

func newReceivedCustomers() *receivedCustomers {
	return &receivedCustomers{names: make(map[string]int), byID: make(map[string][]string)}
}

func (s *receivedCustomers) handle(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	customer := strings.Join(r.Header.Values("Tenant"), ",")
	s.names[customer]++
	id := r.Header.Get("Request-Id")
	s.byID[id] = append(s.byID[id], customer)
	if len(r.Header.Values("Authorization")) > 0 {
		s.keys++
	}
	writeSigned(w, http.StatusOK, "done")
}

// newCustomerFleet starts a fleet with declared customers and returns what its backend servers receive.
func newCustomerFleet(t *testing.T, count int, rate, burst float64) (*fleet, *receivedCustomers) {
	t.Helper()
	f := newFleet(t, count)
	seen := newReceivedCustomers()
	for _, h := range f.hosts {
		h.setHandler(seen.handle)
	}
	f.writeDesiredWithCustomers(2, `"`+keyOfCounty+`"`, rate, burst)
	f.waitForStatus(unknownKey, http.StatusUnauthorized)
	seen.mu.Lock()
	defer seen.mu.Unlock()
	seen.keys = 0 // drop requests sent before customers were declared
	return f, seen
}

// waitForStatus waits until every host responds with the status to a request with the key.
func (f *fleet) waitForStatus(key string, status int) {
	f.t.Helper()
	for _, h := range f.hosts {
		f.waitUntil(fmt.Sprintf("%d from %s", status, h.daemonName()), func() bool {
			got, _ := h.getWithKey(http.DefaultClient, "/twice/x", key, newID())
			return got == status
		})
	}
}

// hedged returns how many hedges of the request the fleet's daemons have sent. Each hedge adds a run of its
// request, which may begin after the request has been answered.
func (f *fleet) hedged(id string) int {
	count := 0
	for _, h := range f.hosts {
		count += h.log.count(fmt.Sprintf(`"msg":"late request hedged","event":504,"request":%q`, id))
	}
	return count
}

// checkRuns returns an error unless the request has run for the customer once, and once more for each hedge
// at most. A request that is refused must not have run.
func (s *receivedCustomers) checkRuns(id string, refused bool, customer string, hedged func(id string) int) error {
	s.mu.Lock()
	ran := slices.Clone(s.byID[id])
	s.mu.Unlock()
	if refused {
		if len(ran) > 0 {
			return fmt.Errorf("refused request %s ran for customers %q", id, ran)
		}
		return nil
	}
	if len(ran) == 0 {
		return fmt.Errorf("request %s was answered and did not run", id)
	}
	for _, got := range ran {
		if got != customer {
			return fmt.Errorf("request %s ran for customers %q, want %q", id, ran, customer)
		}
	}
	if hedges := hedged(id); len(ran) > 1+hedges {
		return fmt.Errorf("request %s ran %d times with %d hedges", id, len(ran), hedges)
	}
	return nil
}

// checkIDs returns an error if a request has run that no caller sent.
func (s *receivedCustomers) checkIDs(sent map[string]bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, ran := range s.byID {
		if !sent[id] && !strings.HasPrefix(id, idPrefix) {
			return fmt.Errorf("request %q, which was not sent, ran for customers %q", id, ran)
		}
	}
	return nil
}

// TestCustomerIsDerivedFromKeyAlone guards against customers that are derived from anything but a valid key, for each
// kind of route, at a host that sends most requests to others.
func TestCustomerIsDerivedFromKeyAlone(t *testing.T) {
	f, seen := newCustomerFleet(t, 3, 0, 0)
	tests := []struct {
		name, path, key string
		status          int
		customer        string
	}{
		{"a key", "/once/x", keyOfCounty, http.StatusOK, "county"},
		{"another's key", "/twice/x", keyOfSchool, http.StatusOK, "school"},
		{"no key", "/twice/x", "", http.StatusUnauthorized, ""},
		{"an unknown key", "/once/x", unknownKey, http.StatusUnauthorized, ""},
		{"no key on a public route", "/open/x", "", http.StatusOK, ""},
		{"a key on a public route", "/open/x", keyOfCounty, http.StatusOK, "county"},
		{"an unknown key on a public route", "/open/x", unknownKey, http.StatusUnauthorized, ""},
	}
	const sentEach = 12
	id := func(test, request int) string { return fmt.Sprintf("customer-%d-%d", test, request) }
	sent := make(map[string]bool)
	check := func(t *testing.T, number int) {
		t.Helper()
		test := tests[number]
		for request := range sentEach {
			if !sent[id(number, request)] {
				continue
			}
			if err := seen.checkRuns(id(number, request), test.status != http.StatusOK, test.customer, f.hedged); err != nil {
				t.Fatal(err)
			}
		}
		if err := seen.checkIDs(sent); err != nil {
			t.Fatal(err)
		}
		seen.mu.Lock()
		defer seen.mu.Unlock()
		if seen.keys > 0 {
			t.Fatalf("%d keys were forwarded to backend servers", seen.keys)
		}
	}
	for number, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for request := range sentEach {
				sent[id(number, request)] = true
				if status, _ := f.hosts[0].getWithKey(http.DefaultClient, test.path, test.key, id(number, request)); status != test.status {
					t.Fatalf("got status %d, want %d", status, test.status)
				}
			}
			check(t, number)
		})
	}
	for number := range tests { // runs that began after their subtest had ended
		check(t, number)
	}
}

// TestLateHedgeIsCountedForItsRequest guards against a hedge that counts as a run of another request because it
// reaches its backend server after that request was sent.
func TestLateHedgeIsCountedForItsRequest(t *testing.T) {
	seen := newReceivedCustomers()
	run := func(id, customer string) {
		r := httptest.NewRequest(http.MethodGet, "/open/x", nil)
		r.Header.Set("Request-Id", id)
		r.Header.Set("Tenant", customer)
		seen.handle(httptest.NewRecorder(), r)
	}
	hedged := func(id string) int { return map[string]int{"hedged": 1}[id] }
	run("hedged", "county")
	run("hedged", "county") // the hedge, after the request "refused" was sent
	run("twice", "county")
	run("twice", "county")
	run("mixed", "county")
	run("mixed", "school")
	tests := []struct {
		name, id string
		refused  bool
		wantErr  bool
	}{
		{"a hedge that is late", "hedged", false, false},
		{"a refused request beside it", "refused", true, false},
		{"a refused request that ran", "hedged", true, true},
		{"a request that ran twice without a hedge", "twice", false, true},
		{"a request that ran for another customer", "mixed", false, true},
		{"a request that was answered and did not run", "missing", false, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if err := seen.checkRuns(test.id, test.refused, "county", hedged); (err != nil) != test.wantErr {
				t.Fatalf("got error %v, want an error: %t", err, test.wantErr)
			}
		})
	}
}

// TestRevokedKeyStaysRefused guards against a revoked key that is accepted again, on an open connection or
// by a restarted daemon, while the store is unavailable.
func TestRevokedKeyStaysRefused(t *testing.T) {
	f, _ := newCustomerFleet(t, 3, 0, 0)
	kept := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}
	if status, _ := f.hosts[1].getWithKey(kept, "/twice/x", keyOfCounty, newID()); status != http.StatusOK {
		t.Fatalf("got status %d, want 200", status)
	}
	f.writeDesiredWithCustomers(3, `"another-key"`, 0, 0)
	f.waitForStatus(keyOfCounty, http.StatusUnauthorized)
	f.store.SetOutage(true)
	restarted := f.hosts[0]
	restarted.end()
	restarted.start()
	restarted.checkIn("ready")
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for _, h := range f.hosts {
			if status, _ := h.getWithKey(kept, "/twice/x", keyOfCounty, newID()); status == http.StatusOK {
				t.Fatalf("%s accepted the revoked key", h.daemonName())
			}
		}
	}
	f.waitForStatus("another-key", http.StatusOK)
}

// TestLastCustomerRemoved guards against requests that run without a valid key once the last customer was removed, also at a daemon
// that starts afterwards.
func TestLastCustomerRemoved(t *testing.T) {
	f, seen := newCustomerFleet(t, 2, 0, 0)
	text, _, _ := strings.Cut(fmt.Sprintf(desiredWithCustomersText, 3, "", 0.0, 0.0), `"tenants":`)
	f.store.Write(platform.DesiredKey, []byte(text+`"tenants":[]}`))
	f.waitForStatus(keyOfSchool, http.StatusUnauthorized)
	f.hosts[1].end()
	f.hosts[1].start()
	f.hosts[1].waitReady()
	f.hosts[1].checkIn("ready")
	seen.mu.Lock()
	seen.names = make(map[string]int)
	seen.mu.Unlock()
	for _, h := range f.hosts {
		for _, key := range []string{"", keyOfCounty, keyOfSchool, unknownKey} {
			if status, _ := h.getWithKey(http.DefaultClient, "/twice/x", key, newID()); status != http.StatusUnauthorized {
				t.Errorf("key %q: got status %d from %s, want 401", key, status, h.daemonName())
			}
		}
		if status, _ := h.getWithKey(http.DefaultClient, "/open/x", "", newID()); status != http.StatusOK {
			t.Errorf("public route: got status %d from %s, want 200", status, h.daemonName())
		}
	}
	seen.mu.Lock()
	defer seen.mu.Unlock()
	if seen.names[""] < len(f.hosts) || len(seen.names) > 1 {
		t.Errorf("backend servers received customers %v, want none", seen.names)
	}
}

// TestKeysAreNotExposed guards against keys in the logs and operator pages of daemons.
func TestKeysAreNotExposed(t *testing.T) {
	f, _ := newCustomerFleet(t, 2, 1, 1)
	for range 20 {
		for _, key := range []string{keyOfCounty, keyOfSchool, unknownKey} {
			f.hosts[0].getWithKey(http.DefaultClient, "/twice/x", key, newID())
		}
	}
	for _, h := range f.hosts {
		for _, key := range []string{keyOfCounty, keyOfSchool, unknownKey} {
			if h.log.contains(key) {
				t.Errorf("log of %s contains key %s", h.daemonName(), key)
			}
		}
		for _, page := range []string{"/v1/declaration", "/v1/customers", "/metrics"} {
			text := h.operatorPage(page)
			if text == "" {
				t.Errorf("%s of %s is empty", page, h.daemonName())
			}
			for _, key := range []string{keyOfCounty, keyOfSchool, unknownKey} {
				if strings.Contains(text, key) {
					t.Errorf("%s of %s contains key %s", page, h.daemonName(), key)
				}
			}
		}
	}
}

// operatorPage returns the page of the daemon's operator API, or an empty string if the request fails.
func (h *host) operatorPage(path string) string {
	response, err := http.Get("http://" + net.JoinHostPort(h.ip(), "1006") + path)
	if err != nil {
		return ""
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != http.StatusOK {
		return ""
	}
	return string(text)
}

// TestCustomerLimitHoldsFleetWide guards against a customer that gets its limit at each host, or that takes
// capacity from another customer.
func TestCustomerLimitHoldsFleetWide(t *testing.T) {
	const (
		rate    = 40.0
		burst   = 20.0
		seconds = 4
	)
	f, seen := newCustomerFleet(t, 3, rate, burst)
	time.Sleep(time.Second) // until the limit's burst is available
	seen.mu.Lock()
	clear(seen.names)
	seen.mu.Unlock()
	var othersRefused, refused, withRetryAfter int
	began := time.Now()
	for time.Since(began) < seconds*time.Second {
		for _, h := range f.hosts {
			status, after := h.getWithKey(http.DefaultClient, "/twice/x", keyOfCounty, newID())
			if status == http.StatusTooManyRequests {
				refused++
				if after != "" {
					withRetryAfter++
				}
			}
		}
		if status, _ := f.hosts[0].getWithKey(http.DefaultClient, "/twice/x", keyOfSchool, newID()); status != http.StatusOK {
			othersRefused++
		}
	}
	took := time.Since(began).Seconds()
	seen.mu.Lock()
	defer seen.mu.Unlock()
	// The limit may be exceeded by a tenth and 20 requests.
	if ran, most := seen.names["county"], 1.1*(rate*took+burst)+20; float64(ran) > most || float64(ran) < 0.8*rate*took {
		t.Errorf("%d requests ran in %.1f s; want %.0f to %.0f (%d refused)", ran, took, 0.8*rate*took, most, refused)
	}
	if refused == 0 || withRetryAfter != refused {
		t.Errorf("%d requests were refused, %d of them with Retry-After", refused, withRetryAfter)
	}
	if othersRefused > 0 {
		t.Errorf("%d requests of another customer were refused", othersRefused)
	}
}
