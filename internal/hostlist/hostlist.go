// Package hostlist follows the platform's list of draining hosts, and tells the daemon of each host what the
// list says of it.
//
// Where hosts are declared, operators drain a whole host by that list. Only the daemons that watch
// the platform read it. It lags, so that it is one word among others on whether a backend server is
// draining.
//
// The package owns which hosts were told. It relies on internal/store for the list and on
// internal/control for telling.
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

// readEvery is how often a daemon that watches the platform reads the list. Not measured: whoever drains a
// host waits longer for its requests to end.
const readEvery = 5 * time.Second

// Config says where the list is and who acts on it.
type Config struct {
	// Store holds the list, a JSON list of names; its key begins with Prefix.
	Store  store.Store
	Prefix string
	// Host names this host.
	Host string
	// Peers calls other daemons.
	Peers *control.Client
	// Index returns the index of the declaration in force; false if none is.
	Index func() (*fleet.Index, bool)
	// Draining sets whether the list has this host.
	Draining func(draining bool)
	// Logger receives events of a list that cannot be read.
	Logger *slog.Logger
	// OnError is told of each call that the store did not answer, OnAnswer of each that it did.
	OnError  func(error)
	OnAnswer func()
}

// Follower follows the list.
type Follower struct {
	config  Config
	refused string // why the list could not be read when that was last tried; empty if it could
}

// New returns a follower that has not read the list.
func New(config Config) *Follower { return &Follower{config: config} }

// Run reads the list and tells of it, until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var told []string
	for ctx.Err() == nil {
		wait.For(ctx, readEvery)
		names, ok := f.read(ctx)
		if !ok {
			continue
		}
		for _, name := range told {
			if !slices.Contains(names, name) {
				f.tell(ctx, name, false)
			}
		}
		for _, name := range names {
			f.tell(ctx, name, true) // each time, since a daemon that restarts has forgotten it
		}
		told = names
	}
}

// read returns the names of the draining hosts, and false if they cannot be read.
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
		f.logRefused(err.Error())
		return nil, false
	}
	f.refused = ""
	return names, true
}

// logRefused logs why the list cannot be read, once for each reason in a row.
func (f *Follower) logRefused(reason string) {
	if reason == f.refused {
		return
	}
	f.refused = reason
	event.Log(f.config.Logger, event.HostListRefused, "error", reason)
}

// tell tells the daemon of the host whether that is draining.
func (f *Follower) tell(ctx context.Context, name string, draining bool) {
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
	_ = f.config.Peers.CallHost(ctx, host, control.MethodHost, control.Host{Draining: draining}, nil) // told again soon
}

// HandleHost answers another daemon that tells what the list says of this host.
func (f *Follower) HandleHost(_ context.Context, params json.RawMessage) (any, error) {
	var host control.Host
	if err := control.Decode(params, &host); err != nil {
		return nil, err
	}
	f.config.Draining(host.Draining)
	return control.Done{}, nil
}
