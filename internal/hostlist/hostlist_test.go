package hostlist_test

import (
	"bytes"
	"context"
	"log/slog"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"

	"github.com/tideliftd/tidelift/internal/fleet"
	"github.com/tideliftd/tidelift/internal/hostlist"
	"github.com/tideliftd/tidelift/internal/store"
)

// TestRunNotifiesOwnHost guards against a missed change of this host's draining
// state, and against a malformed list that changes it.
func TestRunNotifiesOwnHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lists := []string{`["csepel-9"]`, `["csepel-1"]`, `{`, `["csepel-1"]`, `[]`}
		var reads int
		var got []bool
		index := fleet.NewIndex(fleet.Declaration{Hosts: []fleet.Host{{Name: "csepel-1", DataCentre: "csepel"}}})
		get := func(_ context.Context, key string) (store.Item, error) {
			if key != "tidelift/leaving-hosts" {
				t.Errorf("unexpected key %s", key)
			}
			if reads == len(lists) {
				return store.Item{}, errors.New("unavailable")
			}
			reads++
			return store.Item{Data: []byte(lists[reads-1])}, nil
		}
		var log bytes.Buffer
		var failed, answered int
		follower := hostlist.New(hostlist.Config{
			Store:    store.Store{Get: get},
			Prefix:   "tidelift",
			Host:     "csepel-1",
			Index:    func() (*fleet.Index, bool) { return index, true },
			Draining: func(draining bool) { got = append(got, draining) },
			Logger:   slog.New(slog.NewTextHandler(&log, nil)),
			OnError:  func(error) { failed++ },
			OnAnswer: func() { answered++ },
		})
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		follower.Run(ctx)
		if want := []bool{true, true, false}; !slices.Equal(got, want) {
			t.Fatalf("draining states %v, want %v", got, want)
		}
		if lines := strings.Count(log.String(), "event=410"); lines != 1 {
			t.Errorf("%d log lines for the malformed list, want 1: %s", lines, log.String())
		}
		if answered != len(lists) || failed == 0 {
			t.Errorf("OnAnswer called %d times, OnError %d times; want %d and at least 1", answered, failed, len(lists))
		}
	})
}
