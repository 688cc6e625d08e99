package cli

import (
	"context"
	"log/slog"
	"strings"
	"syscall"
	"testing"
	"time"
)

// TestRepeatedSIGTERMDoesNotForceStop guards against a second SIGTERM that cuts requests in flight, since overlapping
// series of daemon replacements send it more than once. A SIGINT forces the stop.
func TestRepeatedSIGTERMDoesNotForceStop(t *testing.T) {
	logged := make(chan string, 1)
	logger := slog.New(slog.NewTextHandler(writerFunc(func(line []byte) (int, error) {
		logged <- string(line)
		return len(line), nil
	}), nil))
	ctx, force, cleanUp := stopSignals(context.Background(), logger)
	defer cleanUp()
	send := func(signal syscall.Signal) {
		t.Helper()
		if err := syscall.Kill(syscall.Getpid(), signal); err != nil {
			t.Fatal(err)
		}
	}
	const gracePeriod = 100 * time.Millisecond
	send(syscall.SIGTERM)
	<-ctx.Done()
	send(syscall.SIGTERM)
	select {
	case <-force:
		t.Fatal("a second SIGTERM forces the planned stop to end")
	case <-time.After(gracePeriod):
	}
	select {
	case line := <-logged:
		if !strings.Contains(line, "event=109") || !strings.Contains(line, "signal=terminated") {
			t.Fatalf("the second SIGTERM is logged as %q", line)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("the second SIGTERM is not logged")
	}
	send(syscall.SIGINT)
	select {
	case <-force:
	case <-time.After(10 * time.Second):
		t.Fatal("a SIGINT does not force the planned stop to end")
	}
}

// writerFunc writes by calling itself.
type writerFunc func([]byte) (int, error)

func (f writerFunc) Write(p []byte) (int, error) { return f(p) }
