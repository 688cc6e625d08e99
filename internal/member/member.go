// Package member tracks the daemons of all hosts and the backend servers
// registered with them, as known to one daemon.
//
// A Table is the aggregate. It merges records received from other daemons and
// from the store, and returns what changed. It has no clock, goroutine or socket.
//
// # Usage
//
//	t := member.NewTable(member.Host{Name: "csepel-1", DataCentre: "csepel"})
//	t.SetServers(servers, left)
//	err := received.Check()            // another writer may have left it
//	changed := t.Merge(received)       // from a peer or the store
//	digest := t.Digest()               // to a peer, which answers with t.Diff(digest)
//	hosts := t.Hosts()
//
// # Rules
//
//   - Only a host's own daemon changes the host's record. A record of a higher
//     incarnation replaces one of a lower incarnation; within an incarnation, the
//     higher version wins.
//   - A daemon starts with incarnation 1. When it receives a record of itself from
//     an earlier start, it takes the next higher incarnation, so it needs neither
//     a clock nor a disk.
//   - A record that no daemon can have written is refused, also if another daemon
//     passes it on (check.go). Of any other, the host's daemon can take the next
//     higher incarnation.
//   - Other daemons may report that a host is gone. The report overrides a record
//     of the same version; the host refutes it with a higher incarnation.
//   - Two tables are compared by the hashes of their buckets, so that the cost of
//     synchronization depends on the difference and not on the number of hosts.
package member

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// minBuckets bounds the buckets of a digest. Beyond, their number grows with the square root of
	// the hosts: a digest is sent in each exchange, and each difference costs the records of a
	// bucket, so that both stay small.
	minBuckets = 64
	// bucketHashSize is the size of a bucket's hash in bytes.
	bucketHashSize = 4
)

// Server is a backend server that registered with its host's daemon.
type Server struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	Address string `json:"address"`
	Slots   int    `json:"slots"`
}

// Host is the record of a host and its daemon.
type Host struct {
	Name       string `json:"name"`
	DataCentre string `json:"data_centre"`
	// Peers and Control are the daemon's addresses for other daemons.
	Peers   string `json:"peers"`
	Control string `json:"control"`
	// Start is a random identifier of the daemon's start. It distinguishes two
	// incarnations of the same number until the later one receives the earlier one's
	// record.
	Start string `json:"start"`
	// Incarnation increases with each start of the daemon, Version with each change in one.
	Incarnation int64 `json:"life"`
	Version     int64 `json:"version"`
	// Stopping reports that the daemon is in a planned stop.
	Stopping bool `json:"stopping,omitempty"`
	// Gone reports that another daemon found the host gone.
	Gone bool `json:"gone,omitempty"`
	// Servers are the backend servers in service.
	Servers []Server `json:"servers,omitempty"`
	// Left holds the names of backend servers that have left.
	Left []string `json:"left,omitempty"`
}

// newer reports whether h replaces other.
func (h Host) newer(other Host) bool {
	if h.Incarnation != other.Incarnation {
		return h.Incarnation > other.Incarnation
	}
	if h.Version != other.Version {
		return h.Version > other.Version
	}
	if h.Start != other.Start {
		return h.Start > other.Start
	}
	return h.Gone && !other.Gone
}

// Table holds the records of all hosts known to one daemon.
type Table struct {
	self  string
	hosts map[string]entry
	names []string // of all hosts, sorted
	sum   uint64   // XOR of the hosts' hashes
}

// entry is a host's record with its hash, which is needed far more often than it changes.
type entry struct {
	Host
	sum uint64
}

// NewTable returns a table that holds only the daemon's own host.
func NewTable(self Host) *Table {
	self.Incarnation, self.Version = 1, 1
	t := &Table{self: self.Name, hosts: make(map[string]entry)}
	t.put(self)
	return t
}

// put stores a host's record, replacing any previous one.
func (t *Table) put(h Host) {
	if known, ok := t.hosts[h.Name]; ok {
		t.sum ^= known.sum
	} else {
		at, _ := slices.BinarySearch(t.names, h.Name)
		t.names = slices.Insert(t.names, at, h.Name)
	}
	sum := h.hash()
	t.hosts[h.Name] = entry{h, sum}
	t.sum ^= sum
}

// Self returns the record of the daemon's own host.
func (t *Table) Self() Host { return t.hosts[t.self].Host }

// SetServers sets the backend servers of the daemon's own host.
func (t *Table) SetServers(servers []Server, left []string) {
	self := t.Self()
	self.Servers, self.Left = servers, left
	t.setSelf(self)
}

// SetStopping records that the daemon is stopping.
func (t *Table) SetStopping() {
	self := t.Self()
	self.Stopping = true
	t.setSelf(self)
}

// setSelf stores a new version of the daemon's own record.
func (t *Table) setSelf(self Host) {
	self.Version++
	t.put(self)
}

// Merge merges the received records and returns those that changed the table. If
// a received record of the daemon's own host has to be refuted, the result
// includes the new record.
func (t *Table) Merge(received []Host) []Host {
	var updates []Host
	for _, h := range received {
		if h.Name == t.self {
			if self, ok := t.refute(h); ok {
				updates = append(updates, self)
			}
			continue
		}
		if known, ok := t.hosts[h.Name]; ok && !h.newer(known.Host) {
			continue
		}
		t.put(h)
		updates = append(updates, h)
	}
	return updates
}

// refute replaces a record of the daemon's own host that comes from an earlier
// start, reports the host gone, or would replace the daemon's own record elsewhere,
// by one of a higher incarnation.
func (t *Table) refute(received Host) (Host, bool) {
	self := t.Self()
	earlierStart := received.Start != self.Start && received.Incarnation >= self.Incarnation
	if !earlierStart && !received.newer(self) {
		return Host{}, false
	}
	self.Incarnation = received.Incarnation + 1
	self.Version = 1
	t.put(self)
	return self, true
}

// SetGone records that a host is gone and returns the record to send to others. It
// returns false if the table holds a newer record.
func (t *Table) SetGone(name string, incarnation, version int64) (Host, bool) {
	known, ok := t.hosts[name]
	h := known.Host
	if !ok || name == t.self || h.Gone || h.Incarnation != incarnation || h.Version != version {
		return Host{}, false
	}
	h.Gone = true
	t.put(h)
	return h, true
}

// Host returns the record of a host.
func (t *Table) Host(name string) (Host, bool) {
	known, ok := t.hosts[name]
	return known.Host, ok
}

// Hosts returns all hosts, including those that are gone, sorted by name.
func (t *Table) Hosts() []Host {
	all := make([]Host, 0, len(t.names))
	for _, name := range t.names {
		all = append(all, t.hosts[name].Host)
	}
	return all
}

// Digest returns the hash of each bucket of hosts, four bytes each.
func (t *Table) Digest() []byte {
	buckets := minBuckets
	for buckets*buckets < minBuckets*len(t.hosts) {
		buckets *= 2
	}
	return t.digest(buckets)
}

func (t *Table) digest(buckets int) []byte {
	digest := make([]byte, buckets*bucketHashSize)
	for _, h := range t.hosts {
		part := digest[bucketOf(h.Name, buckets)*bucketHashSize:]
		binary.LittleEndian.PutUint32(part, binary.LittleEndian.Uint32(part)^uint32(h.sum&math.MaxUint32))
	}
	return digest
}

// Sum returns a hash over all hosts. It is maintained incrementally, since daemons
// compare sums several times per second.
func (t *Table) Sum() uint64 { return t.sum }

// Diff returns the hosts whose buckets differ from those of the digest, which may
// have any number of buckets.
func (t *Table) Diff(digest []byte) []Host {
	buckets := len(digest) / bucketHashSize
	if buckets == 0 {
		return t.Hosts()
	}
	own := t.digest(buckets)
	var differing []Host
	for _, h := range t.Hosts() {
		at := bucketOf(h.Name, buckets) * bucketHashSize
		if !bytes.Equal(digest[at:at+bucketHashSize], own[at:at+bucketHashSize]) {
			differing = append(differing, h)
		}
	}
	return differing
}

// bucketOf returns the bucket index of a host.
func bucketOf(name string, buckets int) int {
	return int(xxhash.Sum64String(name) % uint64(buckets)) //nolint:gosec // there is at least one bucket
}

// hash covers the fields that order records; the other fields change only with them.
func (h Host) hash() uint64 {
	text, _ := json.Marshal([]any{h.Name, h.Start, h.Incarnation, h.Version, h.Gone}) // strings, numbers and a flag always encode
	return xxhash.Sum64(text)
}
