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

// validDeclaration is a minimal declaration.
const validDeclaration = `hosts:
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

// operatorAPI is a fake of a daemon's operator API.
type operatorAPI struct {
	change           http.HandlerFunc   // handles a change
	progress         []http.HandlerFunc // handle successive requests; the last one handles all further ones
	progressRequests atomic.Int64       // number of progress requests
}

func (a *operatorAPI) start(t *testing.T) string {
	t.Helper()
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /v1/declaration", a.change)
	mux.HandleFunc("POST /v1/drain", a.change)
	mux.HandleFunc("POST /v1/quarantine/lift", a.change)
	mux.HandleFunc("GET /v1/progress", func(w http.ResponseWriter, r *http.Request) {
		n := int(a.progressRequests.Add(1))
		a.progress[min(n, len(a.progress))-1](w, r)
	})
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return server.URL
}

func respondWith(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}
}

func refuseWith(status, code int) http.HandlerFunc {
	return respondWith(status, fmt.Sprintf(`{"code":%d,"name":"refused","detail":"for the test"}`, code))
}

func abortConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// TestExitCodesOfChanges guards against an exit code that reports a change as refused although its outcome is
// unknown or it was accepted.
func TestExitCodesOfChanges(t *testing.T) {
	file := writeDeclaration(t)
	apply := []string{"apply", "--base", "6", file}
	applyWait := []string{"apply", "--base", "6", "--wait", file}
	accepted := respondWith(http.StatusOK, acceptedBody)
	tests := []struct {
		name     string
		args     []string
		change   http.HandlerFunc
		progress []http.HandlerFunc
		want     int
	}{
		{"accepted", apply, accepted, nil, ExitDone},
		{"refused", apply, refuseWith(http.StatusConflict, 4002), nil, ExitRefused},
		{"the store's answer is lost", apply, refuseWith(http.StatusGatewayTimeout, 4005), nil, ExitUnknown},
		{"the connection breaks", apply, abortConnection, nil, ExitUnknown},
		{"the answer cannot be read", apply, respondWith(http.StatusOK, "{"), nil, ExitUnknown},
		{"drain, the connection breaks", []string{"drain", "csepel/lookup-1"}, abortConnection, nil, ExitUnknown},
		{"drain, its daemon does not answer", []string{"drain", "csepel/lookup-1"}, refuseWith(http.StatusServiceUnavailable, 4008), nil, ExitUnknown},
		{"drain, not declared", []string{"drain", "csepel/lookup-1"}, refuseWith(http.StatusNotFound, 4004), nil, ExitRefused},
		{"lift, the connection breaks", []string{"quarantine", "lift", "f"}, abortConnection, nil, ExitUnknown},
		{"in force after a while", applyWait, accepted, []http.HandlerFunc{respondWith(http.StatusOK, partlyBody), respondWith(http.StatusOK, everywhereBody)}, ExitDone},
		{"the daemon is briefly unreachable", applyWait, accepted, []http.HandlerFunc{abortConnection, respondWith(http.StatusOK, everywhereBody)}, ExitDone},
		{"never in force everywhere", applyWait, accepted, []http.HandlerFunc{respondWith(http.StatusOK, partlyBody)}, ExitNotEverywhere},
		{"progress requests fail", applyWait, accepted, []http.HandlerFunc{abortConnection}, ExitNotEverywhere},
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

// TestExitCodeWithoutDaemon guards against an unknown outcome for a change that reached no daemon.
func TestExitCodeWithoutDaemon(t *testing.T) {
	if got, text := runTidelift(t, []string{"--daemon", "http://127.0.0.1:1", "drain", "csepel/lookup-1"}); got != ExitRefused {
		t.Fatalf("exit code %d, want %d: %s", got, ExitRefused, text)
	}
}

// TestApplyWaitsWithJSON guards against skipping the wait when JSON output is requested.
func TestApplyWaitsWithJSON(t *testing.T) {
	file := writeDeclaration(t)
	api := &operatorAPI{
		change:   respondWith(http.StatusOK, acceptedBody),
		progress: []http.HandlerFunc{respondWith(http.StatusOK, partlyBody), respondWith(http.StatusOK, everywhereBody)},
	}
	code, text := runTidelift(t, []string{"--daemon", api.start(t), "--json", "apply", "--base", "6", "--wait", file})
	if code != ExitDone || api.progressRequests.Load() != 2 {
		t.Fatalf("exit code %d after %d progress requests, want 2: %s", code, api.progressRequests.Load(), text)
	}
	var accepted struct {
		Revision int64 `json:"revision"`
	}
	if err := json.Unmarshal([]byte(text), &accepted); err != nil || accepted.Revision != 7 {
		t.Fatalf("output is not a single document with the revision: %q, %v", text, err)
	}
}

// writeDeclaration writes a declaration to a file and returns the file's name.
func writeDeclaration(t *testing.T) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "fleet.yaml")
	if err := os.WriteFile(file, []byte(validDeclaration), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

// runTidelift runs the program for at most a second, and returns its exit code and its output.
func runTidelift(t *testing.T, args []string) (int, string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	var out, errOut bytes.Buffer
	code := RunOperator(ctx, append([]string{"tidelift"}, args...), &out, &errOut)
	return code, out.String() + errOut.String()
}
