package cli

import (
	"context"
	"syscall"
	"testing"
	"time"
)

// TestRepeatedSIGTERMDoesNotForceStop guards against a second SIGTERM that cuts requests in flight, since overlapping
// series of daemon replacements send it more than once. A SIGINT forces the stop.
func TestRepeatedSIGTERMDoesNotForceStop(t *testing.T) {
	ctx, force, cleanUp := stopSignals(context.Background())
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
	send(syscall.SIGINT)
	select {
	case <-force:
	case <-time.After(10 * time.Second):
		t.Fatal("a SIGINT does not force the planned stop to end")
	}
}
