package daemon

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/tideliftd/tidelift/internal/control"
	"github.com/tideliftd/tidelift/internal/store"
	"github.com/tideliftd/tidelift/internal/wait"
)

// listEvery is how often a daemon that watches the platform reads its list of
// draining hosts.
const listEvery = 5 * time.Second

// hostList reads the platform's list of hosts that are draining. Others' lists
// differ, so it is a function; this one is a key that holds a JSON list of names.
type hostList func(ctx context.Context) ([]string, error)

func newHostList(kv store.Store, prefix string) hostList {
	return func(ctx context.Context) ([]string, error) {
		value, err := kv.Get(ctx, prefix+"/leaving-hosts")
		if err != nil || value.Data == nil {
			return nil, err
		}
		var names []string
		if err := json.Unmarshal(value.Data, &names); err != nil {
			return nil, errors.Wrap(err, "read list of leaving hosts")
		}
		return names, nil
	}
}

// followDrainingHosts reads the list while this daemon watches the platform, and tells
// the daemon of each host what the list says of it. The list lags, so it is one
// word among others.
func (d *daemon) followDrainingHosts(ctx context.Context) {
	list := newHostList(d.config.Store, d.config.Settings.Platform.Prefix)
	var told []string
	for ctx.Err() == nil {
		wait.For(ctx, listEvery)
		names, err := list(ctx)
		if err != nil {
			continue
		}
		for _, name := range told {
			if !slices.Contains(names, name) {
				d.notifyHost(ctx, name, false)
			}
		}
		for _, name := range names {
			d.notifyHost(ctx, name, true) // each time, since a daemon that restarts has forgotten it
		}
		told = names
	}
}

func (d *daemon) notifyHost(ctx context.Context, name string, draining bool) {
	index, ok := d.declarations.Index()
	if !ok {
		return
	}
	host, ok := index.Host(name)
	if !ok {
		return
	}
	if name == d.config.Settings.Name {
		d.sidecar.HostDraining(draining)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, control.TellTimeout)
	defer cancel()
	_ = d.peers.CallHost(ctx, host, control.MethodHost, control.Host{Draining: draining}, nil) // told again soon
}

func (d *daemon) callHost(_ context.Context, params json.RawMessage) (any, error) {
	var host control.Host
	if err := control.Decode(params, &host); err != nil {
		return nil, err
	}
	d.sidecar.HostDraining(host.Draining)
	return control.Done{}, nil
}
