package integration

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/tideliftd/tidelift/test/backendserver"
	"github.com/tideliftd/tidelift/test/harness"
)

var programs harness.Programs

func TestMain(m *testing.M) { harness.RunTests(m, &programs) }

func start(t *testing.T, spec harness.Spec) *harness.Fleet {
	t.Helper()
	spec.Programs = programs
	return harness.StartForTest(t, spec)
}

// catalogue returns the fleet of the library catalogue customer.
func catalogue() harness.Spec {
	return harness.Spec{
		DataCentres: []string{"angyalfold", "csepel", "obuda"},
		HostsEach:   1,
		Services: []harness.Service{
			{Name: "lookup", Floor: 4, Servers: 6},
			{Name: "records", Floor: 2, Servers: 3},
		},
	}
}

func get(t *testing.T, url string, header ...string) (*http.Response, string) {
	t.Helper()
	return do(t, http.MethodGet, url, "", header...)
}

func do(t *testing.T, method, url, body string, header ...string) (*http.Response, string) {
	t.Helper()
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response, string(text)
}

// TestAnyDaemonReachesEveryService guards against daemons that do not forward requests to a service whose only
// backend server is at another host.
func TestAnyDaemonReachesEveryService(t *testing.T) {
	spec := catalogue()
	spec.Services = append(spec.Services, harness.Service{Name: "single", Floor: 1, Servers: 1})
	f := start(t, spec)
	for daemon := range f.Daemons {
		for _, service := range spec.Services {
			response, body := get(t, f.URL(daemon, service.Name, "/x"), backendserver.HeaderKey, "key-1")
			if response.StatusCode != http.StatusOK || body != "key-1" {
				t.Fatalf("daemon %d, service %s: got status %d, body %q", daemon, service.Name, response.StatusCode, body)
			}
		}
	}
	single := f.Backends[len(f.Backends)-1]
	ledger, err := single.Ledger()
	if err != nil || ledger.Runs["key-1"] != len(f.Daemons) {
		t.Fatalf("ledger of %s: got %+v, error %v; want one run of key-1 for each daemon", single.Name, ledger, err)
	}
}
