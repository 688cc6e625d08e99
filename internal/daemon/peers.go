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

// sidecarPeer returns the functions that carry the floor's calls. Calls to backend
// servers of this host need no connection.
func (d *daemon) sidecarPeer() sidecar.Peer {
	return sidecar.Peer{RequestLease: d.requestLease, Release: d.releaseLease, ClearSuspicion: d.notifySuspicionCleared}
}

// notifySuspicionCleared notifies the ingresses of the hosts that a backend server of
// this host is no longer suspected. An ingress that misses the notification clears
// the suspicion later.
func (d *daemon) notifySuspicionCleared(hosts []string, backendServer string) {
	index, ok := d.declarations.Index()
	if !ok {
		return
	}
	cleared := control.SuspicionCleared{Names: []string{backendServer}}
	for _, name := range hosts {
		if name == d.config.Settings.Name {
			go d.ingress.ClearSuspicion(cleared.Names)
			continue
		}
		if host, ok := index.Host(name); ok {
			d.peers.Notify([]fleet.Host{host}, control.MethodSuspicionCleared, cleared)
		}
	}
}

// ping checks whether another host's daemon answers.
func (d *daemon) ping(ctx context.Context, host fleet.Host) error {
	return d.peers.CallHost(ctx, host, control.MethodPing, control.Done{}, nil)
}

// requestLease requests a lease from another backend server.
func (d *daemon) requestLease(ctx context.Context, other *fleet.Placement, r floor.Request) (sidecar.LeaseResponse, error) {
	name := other.BackendServer.Name
	if other.Host.Name == d.config.Settings.Name {
		return d.sidecar.GrantLease(name, r)
	}
	var lease sidecar.LeaseResponse
	err := d.peers.CallHost(ctx, other.Host, control.MethodRequestLease, control.LeaseRequest{Name: name, Request: r}, &lease)
	return lease, err
}

// releaseLease returns a lease to another backend server.
func (d *daemon) releaseLease(ctx context.Context, other *fleet.Placement, r floor.Release) error {
	name := other.BackendServer.Name
	if other.Host.Name == d.config.Settings.Name {
		return d.sidecar.Release(name, r)
	}
	return d.peers.CallHost(ctx, other.Host, control.MethodRelease, control.Release{Name: name, Release: r}, nil)
}

// shouldCompress reports whether connections to the address are compressed: it is
// outside this data centre, or its data centre is not known yet.
func (d *daemon) shouldCompress(address string) bool {
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

// notifyDraining notifies the daemons that send requests to the backend servers of this host that
// these accept no more work. Other daemons learn it from this host's record, or from a refusal.
func (d *daemon) notifyDraining(ctx context.Context) {
	index, ok := d.declarations.Index()
	if !ok {
		return
	}
	var draining control.Draining
	for _, placement := range index.OnHost(d.config.Settings.Name) {
		draining.Names = append(draining.Names, placement.BackendServer.Name)
	}
	var wg sync.WaitGroup
	for _, name := range d.sidecar.RecentCallers() {
		if host, ok := index.Host(name); ok && name != d.config.Settings.Name {
			wg.Go(func() { _ = d.peers.CallHost(ctx, host, control.MethodDraining, draining, nil) })
		}
	}
	wg.Wait()
}
