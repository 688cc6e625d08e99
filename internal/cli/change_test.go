package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"
)

// rightDeclaration has the least that a declaration needs.
const rightDeclaration = `hosts:
  - {name: csepel-1, data-centre: csepel, peers: '127.0.0.1:7401', control: '127.0.0.1:7402'}
services:
  - {name: lookup, floor: 1, backend-servers: [{name: csepel/lookup-1, host: csepel-1, address: '127.0.0.1:9001'}]}
routes:
  - {path: /search, service: lookup}
`

const (
	acceptedBody   = `{"revision":7,"yaml":"","author":"","reason":"","change_id":"c"}`
	everywhereBody = `[{"data_centre":"csepel","daemons":2,"in_force":2,"silent":0}]`
	partlyBody     = `[{"data_centre":"csepel","daemons":2,"in_force":1,"silent":1}]`
)

// operatorAPI stands in for a daemon's operator API.
type operatorAPI struct {
	change   http.HandlerFunc   // answers a change
	progress []http.HandlerFunc // answer one question after another, the last one all that follow
	asked    atomic.Int64       // how often progress was asked for
}

func (a *operatorAPI) start(t *testing.T) string {
	t.Helper()
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /v1/declaration", a.change)
	mux.HandleFunc("POST /v1/drain", a.change)
	mux.HandleFunc("POST /v1/quarantine/lift", a.change)
	mux.HandleFunc("GET /v1/progress", func(w http.ResponseWriter, r *http.Request) {
		n := int(a.asked.Add(1))
		a.progress[min(n, len(a.progress))-1](w, r)
	})
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return server.URL
}

func answers(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}
}

func refuses(status, code int) http.HandlerFunc {
	return answers(status, fmt.Sprintf(`{"code":%d,"name":"refused","detail":"for the test"}`, code))
}

func breaks(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// TestExitCodesOfChanges guards against an exit code that says that a change was refused although nobody knows,
// or although it was accepted.
func TestExitCodesOfChanges(t *testing.T) {
	file := writeDeclaration(t)
	apply := []string{"apply", "--base", "6", file}
	applyWait := []string{"apply", "--base", "6", "--wait", file}
	accepted := answers(http.StatusOK, acceptedBody)
	tests := []struct {
		name     string
		args     []string
		change   http.HandlerFunc
		progress []http.HandlerFunc
		want     int
	}{
		{"accepted", apply, accepted, nil, ExitDone},
		{"refused", apply, refuses(http.StatusConflict, 4002), nil, ExitRefused},
		{"the store's answer is lost", apply, refuses(http.StatusGatewayTimeout, 4005), nil, ExitUnknown},
		{"the connection breaks", apply, breaks, nil, ExitUnknown},
		{"the answer cannot be read", apply, answers(http.StatusOK, "{"), nil, ExitUnknown},
		{"drain, the connection breaks", []string{"drain", "csepel/lookup-1"}, breaks, nil, ExitUnknown},
		{"drain, its daemon does not answer", []string{"drain", "csepel/lookup-1"}, refuses(http.StatusServiceUnavailable, 4008), nil, ExitUnknown},
		{"drain, not declared", []string{"drain", "csepel/lookup-1"}, refuses(http.StatusNotFound, 4004), nil, ExitRefused},
		{"lift, the connection breaks", []string{"quarantine", "lift", "f"}, breaks, nil, ExitUnknown},
		{"in force after a while", applyWait, accepted, []http.HandlerFunc{answers(http.StatusOK, partlyBody), answers(http.StatusOK, everywhereBody)}, ExitDone},
		{"the daemon is away for a moment", applyWait, accepted, []http.HandlerFunc{breaks, answers(http.StatusOK, everywhereBody)}, ExitDone},
		{"never in force everywhere", applyWait, accepted, []http.HandlerFunc{answers(http.StatusOK, partlyBody)}, ExitNotEverywhere},
		{"nobody answers how far it is", applyWait, accepted, []http.HandlerFunc{breaks}, ExitNotEverywhere},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			api := &operatorAPI{change: test.change, progress: test.progress}
			if got, text := runTidelift(t, append([]string{"--daemon", api.start(t)}, test.args...)); got != test.want {
				t.Fatalf("exit code %d, want %d: %s", got, test.want, text)
			}
		})
	}
}

// TestNobodyReachedChangesNothing has no daemon at the address.
func TestNobodyReachedChangesNothing(t *testing.T) {
	if got, text := runTidelift(t, []string{"--daemon", "http://127.0.0.1:1", "drain", "csepel/lookup-1"}); got != ExitRefused {
		t.Fatalf("exit code %d, want %d: %s", got, ExitRefused, text)
	}
}

// TestApplyWaitsWithJSON guards against a wait that is skipped where JSON is asked for.
func TestApplyWaitsWithJSON(t *testing.T) {
	file := writeDeclaration(t)
	api := &operatorAPI{
		change:   answers(http.StatusOK, acceptedBody),
		progress: []http.HandlerFunc{answers(http.StatusOK, partlyBody), answers(http.StatusOK, everywhereBody)},
	}
	code, text := runTidelift(t, []string{"--daemon", api.start(t), "--json", "apply", "--base", "6", "--wait", file})
	if code != ExitDone || api.asked.Load() != 2 {
		t.Fatalf("exit code %d after %d questions, want 2: %s", code, api.asked.Load(), text)
	}
	var accepted struct {
		Revision int64 `json:"revision"`
	}
	if err := json.Unmarshal([]byte(text), &accepted); err != nil || accepted.Revision != 7 {
		t.Fatalf("not one document with the revision: %q, %v", text, err)
	}
}

// writeDeclaration returns the name of a file with a declaration.
func writeDeclaration(t *testing.T) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "fleet.yaml")
	if err := os.WriteFile(file, []byte(rightDeclaration), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

// runTidelift runs the program for a second at most, and returns its exit code and what it printed.
func runTidelift(t *testing.T, args []string) (int, string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	var out, errOut bytes.Buffer
	code := RunOperator(ctx, append([]string{"tidelift"}, args...), &out, &errOut)
	return code, out.String() + errOut.String()
}
