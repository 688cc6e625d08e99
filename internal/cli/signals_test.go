package cli

import (
	"context"
	"syscall"
	"testing"
	"time"
)

// TestSeveralStopsCutNothing sends SIGTERM twice, as who replaces daemons in overlapping
// series does, and then SIGINT.
func TestSeveralStopsCutNothing(t *testing.T) {
	ctx, force, cleanUp := stopSignals(context.Background())
	defer cleanUp()
	send := func(signal syscall.Signal) {
		t.Helper()
		if err := syscall.Kill(syscall.Getpid(), signal); err != nil {
			t.Fatal(err)
		}
	}
	const moment = 100 * time.Millisecond
	send(syscall.SIGTERM)
	<-ctx.Done()
	send(syscall.SIGTERM)
	select {
	case <-force:
		t.Fatal("a second SIGTERM ends the planned stop at once")
	case <-time.After(moment):
	}
	send(syscall.SIGINT)
	select {
	case <-force:
	case <-time.After(10 * time.Second):
		t.Fatal("SIGINT does not end the planned stop")
	}
}
