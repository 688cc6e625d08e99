package daemon

import (
	"context"
	"sync"

	"github.com/tideliftd/tidelift/internal/control"
	"github.com/tideliftd/tidelift/internal/experiment"
	"github.com/tideliftd/tidelift/internal/fleet"
	"github.com/tideliftd/tidelift/internal/floor"
	"github.com/tideliftd/tidelift/internal/sidecar"
)

// sidecarPeer carries the floor's calls, without a connection where the other
// backend server is on this host.
func (d *daemon) sidecarPeer() sidecar.Peer {
	return sidecar.Peer{RequestLease: d.askPeer, Release: d.releasePeer, ClearSuspicion: d.tellTrusted}
}

// tellTrusted tells the ingresses of the hosts that a backend server of this one
// is no longer suspected. One that does not hear it comes back by itself later.
func (d *daemon) tellTrusted(hosts []string, backendServer string) {
	index, ok := d.declarations.Index()
	if !ok {
		return
	}
	trusted := control.Trusted{Names: []string{backendServer}}
	for _, name := range hosts {
		if name == d.config.Settings.Name {
			go d.ingress.ClearSuspicion(trusted.Names)
			continue
		}
		if host, ok := index.Host(name); ok {
			d.peers.Notify([]fleet.Host{host}, control.MethodTrusted, trusted)
		}
	}
}

// ping asks another host's daemon for any answer.
func (d *daemon) ping(ctx context.Context, host fleet.Host) error {
	return d.peers.CallHost(ctx, host, control.MethodPing, control.Done{}, nil)
}

// askPeer asks another backend server for a lease.
func (d *daemon) askPeer(ctx context.Context, other fleet.Placement, r floor.Request) (sidecar.LeaseAnswer, error) {
	name := other.BackendServer.Name
	if other.Host.Name == d.config.Settings.Name {
		return d.sidecar.GrantLease(name, r)
	}
	var lease sidecar.LeaseAnswer
	err := d.peers.CallHost(ctx, other.Host, control.MethodRequestLease, control.LeaseRequest{Name: name, Request: r}, &lease)
	return lease, err
}

// releasePeer gives a lease back.
func (d *daemon) releasePeer(ctx context.Context, other fleet.Placement, r floor.Release) error {
	name := other.BackendServer.Name
	if other.Host.Name == d.config.Settings.Name {
		return d.sidecar.Release(name, r)
	}
	return d.peers.CallHost(ctx, other.Host, control.MethodRelease, control.Release{Name: name, Release: r}, nil)
}

// isFar reports whether the address is outside this data centre, or may be: nothing is known of
// it yet.
func (d *daemon) isFar(address string) bool {
	if d.config.Settings.Experiments.Off.Has(experiment.Compression) {
		return false
	}
	index, ok := d.declarations.Index()
	if !ok {
		return true
	}
	place, ok := index.DataCentreAt(address)
	return !ok || place != d.config.Settings.DataCentre
}

// notifyDraining tells the daemons that keep other backend servers of the same
// services that this host's take no more work. One that does not hear it learns
// it from a refusal.
func (d *daemon) notifyDraining(ctx context.Context) {
	index, ok := d.declarations.Index()
	if !ok {
		return
	}
	own := index.OnHost(d.config.Settings.Name)
	var draining control.Draining
	peers := make(map[string]fleet.Host)
	for _, placement := range own {
		draining.Names = append(draining.Names, placement.BackendServer.Name)
		for _, other := range placement.Service.BackendServers {
			if host, ok := index.Host(other.Host); ok && host.Name != d.config.Settings.Name {
				peers[host.Name] = host
			}
		}
	}
	var wg sync.WaitGroup
	for _, peer := range peers {
		wg.Go(func() { _ = d.peers.CallHost(ctx, peer, control.MethodDraining, draining, nil) })
	}
	wg.Wait()
}
