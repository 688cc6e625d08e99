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

// follow follows a key and returns what is taken of it.
func follow(t *testing.T, s *standin.Standin, fail func() error) <-chan string {
	t.Helper()
	server := httptest.NewServer(s.Handler())
	t.Cleanup(server.CloseClientConnections)
	kv, cleanUp := platform.NewStore(platform.StoreConfig{Address: server.URL})
	t.Cleanup(cleanUp)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	taken := make(chan string, 100)
	go store.Follow(ctx, store.FollowConfig{
		Store:  kv,
		Prefix: "key",
		Wait:   time.Second,
		Apply: func(_ context.Context, items []store.Item) error {
			if err := fail(); err != nil {
				return err
			}
			for _, item := range items {
				taken <- string(item.Data)
			}
			return nil
		},
		OnError:  func(error) {},
		OnAnswer: func() {},
	})
	return taken
}

func await(t *testing.T, taken <-chan string, want string) {
	t.Helper()
	timeout := time.After(10 * time.Second)
	for {
		select {
		case got := <-taken:
			if got == want {
				return
			}
		case <-timeout:
			t.Fatalf("%q was never taken", want)
		}
	}
}

func TestFollowThroughTrouble(t *testing.T) {
	s := standin.New()
	taken := follow(t, s, func() error { return nil })
	s.Write("key", []byte("one"))
	await(t, taken, "one")
	s.SetOutage(true)
	s.Write("key", []byte("two"))
	time.Sleep(300 * time.Millisecond)
	s.SetOutage(false)
	await(t, taken, "two")
	s.SetOutage(true)
	s.Write("key", []byte("three"))
	s.Forget()
	s.SetOutage(false)
	await(t, taken, "three")
}

// TestWhatWasNotTakenComesAgain refuses a change twice.
func TestWhatWasNotTakenComesAgain(t *testing.T) {
	s := standin.New()
	refusals := 2
	taken := follow(t, s, func() error {
		if refusals > 0 {
			refusals--
			return errors.New("not now")
		}
		return nil
	})
	s.Write("key", []byte("one"))
	await(t, taken, "one")
}
