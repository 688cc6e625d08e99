package serve

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/tideliftd/tidelift/internal/result"
	"github.com/tideliftd/tidelift/internal/settings"
)

// TestRequestDuringCloseIsRefused guards against a request on a keep-alive connection that gets no response because
// the daemon closes the connection while the request is in transit.
func TestRequestDuringCloseIsRefused(t *testing.T) {
	checkRequestsDuringClose(t, startServers)
}

// checkRequestsDuringClose stops servers while callers use keep-alive connections, and fails if a request ran whose
// response its caller did not receive.
func checkRequestsDuringClose(t *testing.T, start func(*testing.T, http.HandlerFunc) (*Servers, string)) {
	t.Helper()
	const (
		stops   = 10
		callers = 20
	)
	for range stops {
		var ran, answered, refused atomic.Int64
		servers, address := start(t, func(w http.ResponseWriter, _ *http.Request) {
			ran.Add(1)
			_, _ = io.WriteString(w, "x")
		})
		var clients sync.WaitGroup
		for range callers {
			client, err := net.Dial("tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			clients.Go(func() {
				ran, err := useUntilClosed(client)
				answered.Add(ran)
				if err != nil {
					t.Error(err)
					return
				}
				refused.Add(1)
			})
		}
		time.Sleep(30 * time.Millisecond)
		servers.Refuse()
		stopNow(t, servers)
		clients.Wait()
		if ran.Load() != answered.Load() {
			t.Fatalf("%d requests ran, but callers received %d responses", ran.Load(), answered.Load())
		}
		t.Logf("%d responses, %d callers refused or sent Connection: close", answered.Load(), refused.Load())
	}
}

// TestUnusedConnectionIsRefused guards against resetting a connection whose first request has arrived but has not been
// read.
func TestUnusedConnectionIsRefused(t *testing.T) {
	servers, address := startServers(t, func(http.ResponseWriter, *http.Request) { t.Error("the request ran") })
	client, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = client.Close() }()
	awaitUnused(t, servers)
	servers.CloseUnused()
	if err := sendOne(client); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(client), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	if code := response.Header.Get(result.Header); response.StatusCode != http.StatusRequestTimeout || code != "2026 connection-unused" {
		t.Fatalf("status %d, code %q", response.StatusCode, code)
	}
}

// TestNoResponseAfterPeerCloses guards against a response on a connection that the caller has closed.
func TestNoResponseAfterPeerCloses(t *testing.T) {
	_, address := startServers(t, func(http.ResponseWriter, *http.Request) {})
	client, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = client.Close() }()
	if err := client.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	if data, err := io.ReadAll(client); err != nil || len(data) > 0 {
		t.Fatalf("read %q, %v", data, err)
	}
}

// TestOptionsForTheWholeServerReachTheHandler guards against a 200 that no backend server gave, to callers and to other
// daemons.
func TestOptionsForTheWholeServerReachTheHandler(t *testing.T) {
	servers, callers := startServers(t, http.NotFound)
	for _, address := range []string{callers, servers.public[1].Addr().String()} {
		client, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = client.Close() }()
		if _, err := io.WriteString(client, "OPTIONS * HTTP/1.1\r\nHost: a.example\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		response, err := http.ReadResponse(bufio.NewReader(client), nil)
		if err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
		if response.StatusCode != http.StatusNotFound {
			t.Errorf("status %d, want the handler's 404", response.StatusCode)
		}
	}
}

// startServers serves the handler on the callers' address, which it returns.
func startServers(t *testing.T, handler http.HandlerFunc) (*Servers, string) {
	t.Helper()
	return startLimited(t, 0, settings.Limits{}, handler)
}

func stopNow(t *testing.T, servers *Servers) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	servers.CloseUnused()
	if err := servers.Stop(ctx); err != nil {
		t.Fatal(err)
	}
}

// awaitUnused waits until the servers have accepted a connection.
func awaitUnused(t *testing.T, servers *Servers) {
	t.Helper()
	for range 1000 {
		servers.unused.mu.Lock()
		count := len(servers.unused.conns)
		servers.unused.mu.Unlock()
		if count > 0 {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("no connection was accepted")
}

// useUntilClosed sends requests on the connection until one is refused or a response announces the close, and closes
// the connection. It returns the number of requests that ran; an error means that a request got no response.
func useUntilClosed(client net.Conn) (ran int64, err error) {
	defer func() { _ = client.Close() }()
	reader := bufio.NewReader(client)
	for {
		if err := sendOne(client); err != nil && !errors.Is(err, io.EOF) {
			return ran, err
		}
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return ran, fmt.Errorf("after %d responses: %w", ran, err)
		}
		_, err = io.Copy(io.Discard, response.Body)
		if err != nil {
			return ran, err
		}
		if response.StatusCode == http.StatusRequestTimeout {
			return ran, nil
		}
		ran++
		if response.Close {
			return ran, nil
		}
	}
}

func sendOne(client net.Conn) error {
	_, err := io.WriteString(client, "GET / HTTP/1.1\r\nHost: one\r\n\r\n")
	return err
}

// TestCloseWaitsForARunningHandler guards against losing the response of a request that has run: net/http considers
// the connection idle until it has read the whole head, and may close it in the meantime.
func TestCloseWaitsForARunningHandler(t *testing.T) {
	here, there := net.Pipe()
	var closing atomic.Int64
	c := &conn{Conn: here, closing: &closing, phase: phaseIdle}
	if !c.beginRequest() {
		t.Fatal("beginRequest returned false on an open connection")
	}
	if err := c.Close(); err != nil {
		t.Fatal(err)
	}
	if closing.Load() != 1 {
		t.Fatal("the connection is not counted as closing while its handler runs")
	}
	var answered sync.WaitGroup
	answered.Go(func() {
		_, _ = io.WriteString(c, "answer")
		c.endRequest(true)
		_ = c.Close()
	})
	if data, err := io.ReadAll(there); err != nil || string(data) != "answer" {
		t.Fatalf("read %q, %v", data, err)
	}
	answered.Wait()
	if closing.Load() != 0 {
		t.Fatal("the connection is still counted as closing")
	}
}
