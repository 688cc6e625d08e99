package store_test

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"github.com/tideliftd/tidelift/internal/store"
	"github.com/tideliftd/tidelift/platform"
	"github.com/tideliftd/tidelift/test/standin"
)

// follow follows a key and returns the values that Apply accepts.
func follow(t *testing.T, s *standin.Standin, fail func() error) <-chan string {
	t.Helper()
	server := httptest.NewServer(s.Handler())
	t.Cleanup(server.CloseClientConnections)
	kv, cleanUp := platform.NewStore(platform.StoreConfig{Address: server.URL})
	t.Cleanup(cleanUp)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	applied := make(chan string, 100)
	go store.Follow(ctx, store.FollowConfig{
		Store:  kv,
		Prefix: "key",
		Wait:   time.Second,
		Apply: func(_ context.Context, batch store.Batch) error {
			if err := fail(); err != nil {
				return err
			}
			for _, item := range batch.Items {
				applied <- string(item.Data)
			}
			return nil
		},
		OnError:  func(error) {},
		OnAnswer: func() {},
	})
	return applied
}

func await(t *testing.T, applied <-chan string, want string) {
	t.Helper()
	timeout := time.After(10 * time.Second)
	for {
		select {
		case got := <-applied:
			if got == want {
				return
			}
		case <-timeout:
			t.Fatalf("timed out waiting for %q", want)
		}
	}
}

// TestFollowRecovers guards against changes that are missed during an outage or a compaction.
func TestFollowRecovers(t *testing.T) {
	s := standin.New()
	applied := follow(t, s, func() error { return nil })
	s.Write("key", []byte("one"))
	await(t, applied, "one")
	s.SetOutage(true)
	s.Write("key", []byte("two"))
	time.Sleep(300 * time.Millisecond)
	s.SetOutage(false)
	await(t, applied, "two")
	s.SetOutage(true)
	s.Write("key", []byte("three"))
	s.CompactHistory()
	s.SetOutage(false)
	await(t, applied, "three")
}

// TestFollowSeesChangesAfterReturnFromCopy guards against changes that are missed, since the store has come back from an
// older copy and has given the revisions of its lost changes out again.
func TestFollowSeesChangesAfterReturnFromCopy(t *testing.T) {
	s := standin.New()
	applied := follow(t, s, func() error { return nil })
	s.Write("key", []byte("one"))
	await(t, applied, "one")
	older := s.Copy()
	s.Write("key", []byte("lost"))
	await(t, applied, "lost")
	time.Sleep(100 * time.Millisecond) // the watch waits for what is behind the lost change
	s.SetOutage(true)
	s.Restore(older)
	s.Write("key", []byte("two"))
	s.SetOutage(false)
	await(t, applied, "two")
}

// TestFollowRetriesAfterApplyError guards against the loss of a change that Apply failed on.
func TestFollowRetriesAfterApplyError(t *testing.T) {
	s := standin.New()
	refusals := 2
	applied := follow(t, s, func() error {
		if refusals > 0 {
			refusals--
			return errors.New("not now")
		}
		return nil
	})
	s.Write("key", []byte("one"))
	await(t, applied, "one")
}
