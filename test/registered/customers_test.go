package registered

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/tideliftd/tidelift/platform"
)

const (
	keyOfCounty = "county-key-1f0e"
	keyOfSchool = "school-key-77ab"
	strangeKey  = "nobody-key-9c31"
)

// customersText is the format of a desired state with a public route and two customers. The version and
// the keys and limit of the county are filled in.
const customersText = `{"version":%d,
"routes":[
 {"name":"once","host":"a.example","path-prefix":"/once/","route-type":"non_idempotent","timeout-s":2,"target-latency-s":0.8,"priority":1,"service":"lookup","attempts":2},
 {"name":"twice","host":"a.example","path-prefix":"/twice/","route-type":"idempotent","timeout-s":2,"target-latency-s":0.8,"priority":2,"service":"lookup","attempts":2},
 {"name":"open","host":"a.example","path-prefix":"/open/","route-type":"idempotent","timeout-s":2,"target-latency-s":0.8,"priority":2,"service":"lookup","attempts":2,"public":true}],
"services":[{"name":"lookup"}],"limits":{"max-body-bytes":100000},
"tenants":[{"name":"county","api-keys":[%s],"rate-per-s":%g,"burst":%g},{"name":"school","api-keys":["` + keyOfSchool + `"]}]}`

func (f *fleet) desireCustomers(version int, countyKeys string, rate, burst float64) {
	f.store.Write(platform.DesiredKey, fmt.Appendf(nil, customersText, version, countyKeys, rate, burst))
}

// askAs sends a request with the key, unless it is empty, and a forged customer header. It
// returns the response's status and Retry-After header.
func (h *host) askAs(client *http.Client, path, key string) (int, string) {
	r := h.newRequest(context.Background(), http.MethodGet, path, newID(), "")
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

// customersSeen counts the requests that backend servers received, by customer header, and those that
// carried a key.
type customersSeen struct {
	mu    sync.Mutex
	names map[string]int
	keys  int
}

func (s *customersSeen) work(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.names[strings.Join(r.Header.Values("Tenant"), ",")]++
	if len(r.Header.Values("Authorization")) > 0 {
		s.keys++
	}
	signed(w, http.StatusOK, "done")
}

// newCustomerFleet starts a fleet with declared customers and returns what its backend servers receive.
func newCustomerFleet(t *testing.T, count int, rate, burst float64) (*fleet, *customersSeen) {
	t.Helper()
	f := newFleet(t, count)
	seen := &customersSeen{names: make(map[string]int)}
	for _, h := range f.hosts {
		h.does(seen.work)
	}
	f.desireCustomers(2, `"`+keyOfCounty+`"`, rate, burst)
	f.awaitStatus(strangeKey, http.StatusUnauthorized)
	seen.mu.Lock()
	defer seen.mu.Unlock()
	seen.keys = 0 // drop requests sent before customers were declared
	return f, seen
}

// awaitStatus waits until every host responds with the status to a request with the key.
func (f *fleet) awaitStatus(key string, status int) {
	f.t.Helper()
	for _, h := range f.hosts {
		f.await(fmt.Sprintf("%d from %s", status, h.daemonName()), func() bool {
			got, _ := h.askAs(http.DefaultClient, "/twice/x", key)
			return got == status
		})
	}
}

// hedged returns how many hedges the fleet's daemons have sent. Each hedge adds a run of its request.
func (f *fleet) hedged() int {
	count := 0
	for _, h := range f.hosts {
		count += h.log.count(`"msg":"late request hedged"`)
	}
	return count
}

// TestOnlyAKeyMakesACustomer guards against customers that are derived from anything but a valid key, for each
// kind of route, at a host that sends most requests to others.
func TestOnlyAKeyMakesACustomer(t *testing.T) {
	f, seen := newCustomerFleet(t, 3, 0, 0)
	tests := []struct {
		name, path, key string
		status          int
		customer        string
	}{
		{"a key", "/once/x", keyOfCounty, http.StatusOK, "county"},
		{"another's key", "/twice/x", keyOfSchool, http.StatusOK, "school"},
		{"no key", "/twice/x", "", http.StatusUnauthorized, ""},
		{"an unknown key", "/once/x", strangeKey, http.StatusUnauthorized, ""},
		{"no key on a public route", "/open/x", "", http.StatusOK, ""},
		{"a key on a public route", "/open/x", keyOfCounty, http.StatusOK, "county"},
		{"an unknown key on a public route", "/open/x", strangeKey, http.StatusUnauthorized, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			seen.mu.Lock()
			clear(seen.names)
			seen.mu.Unlock()
			const asked = 12
			hedged := f.hedged()
			for range asked {
				if status, _ := f.hosts[0].askAs(http.DefaultClient, test.path, test.key); status != test.status {
					t.Fatalf("got status %d, want %d", status, test.status)
				}
			}
			seen.mu.Lock()
			defer seen.mu.Unlock()
			hedged = f.hedged() - hedged
			if ran := seen.names[test.customer]; test.status == http.StatusOK && (len(seen.names) != 1 || ran < asked || ran > asked+hedged) {
				t.Fatalf("backend servers received customers %v for %d requests, %d of them hedged", seen.names, asked, hedged)
			}
			if test.status != http.StatusOK && len(seen.names) != 0 {
				t.Fatalf("refused request ran for customers %v", seen.names)
			}
			if seen.keys > 0 {
				t.Fatalf("%d keys were forwarded to backend servers", seen.keys)
			}
		})
	}
}

// TestAKeyThatIsTakenAwayIsRefused guards against a revoked key that is accepted again, on an open connection or
// by a restarted daemon, while the store is unavailable.
func TestAKeyThatIsTakenAwayIsRefused(t *testing.T) {
	f, _ := newCustomerFleet(t, 3, 0, 0)
	kept := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}
	if status, _ := f.hosts[1].askAs(kept, "/twice/x", keyOfCounty); status != http.StatusOK {
		t.Fatalf("got status %d, want 200", status)
	}
	f.desireCustomers(3, `"another-key"`, 0, 0)
	f.awaitStatus(keyOfCounty, http.StatusUnauthorized)
	f.store.SetOutage(true)
	restarted := f.hosts[0]
	restarted.end()
	restarted.start()
	restarted.checkIn("ready")
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for _, h := range f.hosts {
			if status, _ := h.askAs(kept, "/twice/x", keyOfCounty); status == http.StatusOK {
				t.Fatalf("%s accepted the revoked key", h.daemonName())
			}
		}
	}
	f.awaitStatus("another-key", http.StatusOK)
}

// TestKeysAreShownNowhere guards against keys in the logs and operator pages of daemons.
func TestKeysAreShownNowhere(t *testing.T) {
	f, _ := newCustomerFleet(t, 2, 1, 1)
	for range 20 {
		for _, key := range []string{keyOfCounty, keyOfSchool, strangeKey} {
			f.hosts[0].askAs(http.DefaultClient, "/twice/x", key)
		}
	}
	for _, h := range f.hosts {
		for _, key := range []string{keyOfCounty, keyOfSchool, strangeKey} {
			if h.log.contains(key) {
				t.Errorf("log of %s contains key %s", h.daemonName(), key)
			}
		}
		for _, page := range []string{"/v1/declaration", "/v1/customers", "/metrics"} {
			text := h.operatorPage(page)
			if text == "" {
				t.Errorf("%s of %s is empty", page, h.daemonName())
			}
			for _, key := range []string{keyOfCounty, keyOfSchool, strangeKey} {
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

// TestALimitHoldsForTheWholeFleet guards against a customer that gets its limit at each host, or that takes
// capacity from another customer.
func TestALimitHoldsForTheWholeFleet(t *testing.T) {
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
	var others, refused, comeBack int
	began := time.Now()
	for time.Since(began) < seconds*time.Second {
		for _, h := range f.hosts {
			status, after := h.askAs(http.DefaultClient, "/twice/x", keyOfCounty)
			if status == http.StatusTooManyRequests {
				refused++
				if after != "" {
					comeBack++
				}
			}
		}
		if status, _ := f.hosts[0].askAs(http.DefaultClient, "/twice/x", keyOfSchool); status != http.StatusOK {
			others++
		}
	}
	took := time.Since(began).Seconds()
	seen.mu.Lock()
	defer seen.mu.Unlock()
	// The limit may be exceeded by a tenth and 20 requests.
	if ran, most := seen.names["county"], 1.1*(rate*took+burst)+20; float64(ran) > most || float64(ran) < 0.8*rate*took {
		t.Errorf("%d requests ran in %.1f s; want %.0f to %.0f (%d refused)", ran, took, 0.8*rate*took, most, refused)
	}
	if refused == 0 || comeBack != refused {
		t.Errorf("%d requests were refused, %d of them with Retry-After", refused, comeBack)
	}
	if others > 0 {
		t.Errorf("%d requests of another customer were refused", others)
	}
}
