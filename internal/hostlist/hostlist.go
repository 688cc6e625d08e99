// Package hostlist follows the platform's list of draining hosts and notifies the
// daemon of each affected host.
//
// Where hosts are declared, operators drain a whole host by adding it to that list.
// Only the daemons that watch the platform read it. Since it lags, it is only one of
// the inputs that decide whether a backend server is draining.
//
// The package owns the set of notified hosts. It relies on internal/store for the
// list and on internal/control for the notifications.
//
// # Usage
//
//	f := hostlist.New(hostlist.Config{Store: kv, Prefix: prefix, Host: name, Peers: client, Index: index, Draining: sidecar.HostDraining})
//	go f.Run(ctx)
//	handlers[control.MethodHost] = f.HandleHost
package hostlist

import (
	"context"
	"encoding/json"
	"log/slog"
	"slices"
	"time"

	"github.com/tideliftd/tidelift/internal/control"
	"github.com/tideliftd/tidelift/internal/event"
	"github.com/tideliftd/tidelift/internal/fleet"
	"github.com/tideliftd/tidelift/internal/store"
	"github.com/tideliftd/tidelift/internal/wait"
)

// readInterval is how often a daemon that watches the platform reads the list.
const readInterval = 5 * time.Second

// Config holds the location of the list and the dependencies of a Follower.
type Config struct {
	// Store holds the list, a JSON list of names; its key begins with Prefix.
	Store  store.Store
	Prefix string
	// Host names this host.
	Host string
	// Peers calls other daemons.
	Peers *control.Client
	// Index returns the index of the declaration in force, or false if there is none.
	Index func() (*fleet.Index, bool)
	// Draining sets whether the list contains this host.
	Draining func(draining bool)
	// Logger receives an event when the list cannot be read.
	Logger *slog.Logger
	// OnError is called for each store call that fails, OnAnswer for each that succeeds.
	OnError  func(error)
	OnAnswer func()
}

// Follower follows the list of draining hosts.
type Follower struct {
	config    Config
	malformed string // why the last list was malformed; empty if it was not
}

// New returns a follower that has not read the list yet.
func New(config Config) *Follower { return &Follower{config: config} }

// Run reads the list periodically and notifies the affected hosts, until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var notified []string
	for ctx.Err() == nil {
		wait.For(ctx, readInterval)
		names, ok := f.read(ctx)
		if !ok {
			continue
		}
		for _, name := range notified {
			if !slices.Contains(names, name) {
				f.notify(ctx, name, false)
			}
		}
		for _, name := range names {
			f.notify(ctx, name, true) // each time, since a daemon loses the state when it restarts
		}
		notified = names
	}
}

// read returns the names of the draining hosts, or false if the list cannot be read.
func (f *Follower) read(ctx context.Context) ([]string, bool) {
	value, err := f.config.Store.Get(ctx, f.config.Prefix+"/leaving-hosts")
	if err != nil {
		f.config.OnError(err)
		return nil, false
	}
	f.config.OnAnswer()
	if value.Data == nil {
		return nil, true
	}
	var names []string
	if err := json.Unmarshal(value.Data, &names); err != nil {
		f.logMalformed(err.Error())
		return nil, false
	}
	f.malformed = ""
	return names, true
}

// logMalformed logs why the list is malformed, unless the previous reason is the same.
func (f *Follower) logMalformed(reason string) {
	if reason == f.malformed {
		return
	}
	f.malformed = reason
	event.Log(f.config.Logger, event.HostListRefused, "error", reason)
}

// notify sends the host's daemon the draining state of the host.
func (f *Follower) notify(ctx context.Context, name string, draining bool) {
	index, ok := f.config.Index()
	if !ok {
		return
	}
	host, ok := index.Host(name)
	if !ok {
		return
	}
	if name == f.config.Host {
		f.config.Draining(draining)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, control.NotifyTimeout)
	defer cancel()
	_ = f.config.Peers.CallHost(ctx, host, control.MethodHost, control.Host{Draining: draining}, nil) // repeated at the next read while draining
}

// HandleHost applies the draining state of this host sent by another daemon.
func (f *Follower) HandleHost(_ context.Context, params json.RawMessage) (any, error) {
	var host control.Host
	if err := control.Decode(params, &host); err != nil {
		return nil, err
	}
	f.config.Draining(host.Draining)
	return control.Done{}, nil
}
