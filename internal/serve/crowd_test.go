package serve

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/tideliftd/tidelift/internal/guard"
	"github.com/tideliftd/tidelift/internal/settings"
)

// startCrowded starts servers whose handler waits for requests to /wait until the test ends or release is called.
func startCrowded(t *testing.T, pipelined int, callers guard.Config) (address string, ran *atomic.Int64, release func()) {
	t.Helper()
	ran = new(atomic.Int64)
	released := make(chan struct{})
	limits := settings.Limits{HeaderTimeout: waitTimeout, IdleTimeout: waitTimeout, HeaderBytes: settings.DefaultMaxHeader}
	_, address = startBounded(t, pipelined, limits, callers, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/wait" {
			<-released
		} else {
			ran.Add(1)
		}
		w.WriteHeader(http.StatusNoContent)
	})
	var once atomic.Bool
	release = func() {
		if !once.Swap(true) {
			close(released)
		}
	}
	t.Cleanup(release)
	return address, ran, release
}

// send connects and sends the text.
func send(t *testing.T, address, text string) *bufio.Reader {
	t.Helper()
	client, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = client.Close() })
	_ = client.SetDeadline(time.Now().Add(waitTimeout))
	_, _ = fmt.Fprint(client, text)
	return bufio.NewReader(client)
}

const waiting = "GET /wait HTTP/1.1\r\nHost: a\r\n\r\n"

// TestConnectionWithoutRoomIsRefused guards against connections without an answer where all others are served, and against an answer
// that does not say that the request was not run.
func TestConnectionWithoutRoomIsRefused(t *testing.T) {
	const connections = 4
	address, ran, _ := startCrowded(t, 0, guard.Config{Connections: connections, Memory: 1 << 30})
	for range connections {
		send(t, address, waiting)
	}
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		before := ran.Load()
		response, err := http.ReadResponse(send(t, address, "GET /x HTTP/1.1\r\nHost: a\r\n\r\n"), nil)
		if err != nil {
			t.Fatal(err)
		}
		if response.StatusCode == http.StatusNoContent {
			continue // one of those that wait has not been read yet, and was idle
		}
		if code := response.Header.Get("Tidelift-Result"); code != "2030 crowded" || response.Header.Get("Retry-After") != "1" || ran.Load() != before {
			t.Errorf("got %d, %v, run %d times; want 2030", response.StatusCode, response.Header, ran.Load()-before)
		}
		return
	}
	t.Error("no connection was refused")
}

// TestStartedRequestIsNotRefused guards against a request that was started ahead, and has run, but is refused as not run when its turn
// comes, since its head finds no room by then.
func TestStartedRequestIsNotRefused(t *testing.T) {
	const memory = 4 << 20
	address, ran, release := startCrowded(t, 8, guard.Config{Connections: 1000, Memory: memory})
	long := "GET /x HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("A: b\r\n", 600) + "\r\n"
	answers := send(t, address, waiting+long)
	for end := time.Now().Add(waitTimeout); ran.Load() == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the second request was not started ahead")
		}
	}
	for range memory / guard.RequestCost { // takes what is left
		send(t, address, waiting)
	}
	time.Sleep(100 * time.Millisecond)
	release()
	for number := range 2 {
		response, err := http.ReadResponse(answers, nil)
		if err != nil || response.StatusCode != http.StatusNoContent {
			t.Fatalf("answer %d: %v, %v; want 204", number+1, response, err)
		}
	}
}
