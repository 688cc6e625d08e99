// Package member keeps what a daemon knows of the daemons of all hosts and of
// the backend servers that registered with them.
//
// A Table is the aggregate. It merges what daemons tell each other and what the
// store holds, and returns what changed; it has no clock, goroutine or socket.
//
// # Usage
//
//	t := member.NewTable(member.Host{Name: "csepel-1", DataCentre: "csepel"})
//	t.SetServers(servers, left)
//	changed := t.Merge(told)           // from a peer or the store
//	digest := t.Digest()               // to a peer, which answers with t.Missing(digest)
//	hosts := t.Hosts()
//
// # Rules
//
//   - Only a host's own daemon changes what is told of it. A record of a higher
//     incarnation replaces one of a lower, and within an incarnation the higher version does.
//   - A daemon that starts anew takes incarnation 1, and one above any that it hears
//     told of itself by an earlier start, so that it needs no clock and no disk.
//   - Others may say that a host is gone. That counts against the same version,
//     and the host takes it back by telling a higher one.
//   - Two tables are compared by the hashes of their buckets, so that telling a
//     peer what it lacks costs as much as what differs and not as all there is.
package member

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"encoding/json"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// leastBuckets and mostBuckets bound the parts of a digest. Source: with as many
	// as there are hosts a difference costs a record or two; 4,096 parts are 16 KB.
	leastBuckets = 64
	mostBuckets  = 4096
	// partSize is the bytes of a part. Source: of 4,096 parts that differ one looks
	// equal by chance in a million digests.
	partSize = 4
)

// Server is a backend server that registered with its host's daemon.
type Server struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	Address string `json:"address"`
	Slots   int    `json:"slots"`
}

// Host is what is told of a host.
type Host struct {
	Name       string `json:"name"`
	DataCentre string `json:"data_centre"`
	// Peers and Control are the daemon's addresses for other daemons.
	Peers   string `json:"peers"`
	Control string `json:"control"`
	// Start is a random name of the daemon's start. It tells two incarnations of the
	// same number apart until the later one has heard of the earlier.
	Start string `json:"start"`
	// Incarnation rises with each start of the daemon, Version with each change in one.
	Incarnation int64 `json:"life"`
	Version     int64 `json:"version"`
	// Stopping says that the daemon is in a planned stop.
	Stopping bool `json:"stopping,omitempty"`
	// Gone says that another daemon found the host gone.
	Gone bool `json:"gone,omitempty"`
	// Servers are those that serve.
	Servers []Server `json:"servers,omitempty"`
	// Left names those that have left.
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

// Table is what one daemon knows.
type Table struct {
	self  string
	hosts map[string]Host
	sum   uint64 // of the hosts' hashes
}

// NewTable returns a table that knows the daemon's own host.
func NewTable(self Host) *Table {
	self.Incarnation, self.Version = 1, 1
	t := &Table{self: self.Name, hosts: make(map[string]Host)}
	t.put(self)
	return t
}

// put stores a host's record in place of the one before.
func (t *Table) put(h Host) {
	if known, ok := t.hosts[h.Name]; ok {
		t.sum ^= known.hash()
	}
	t.hosts[h.Name] = h
	t.sum ^= h.hash()
}

// Self returns what is told of the daemon's own host.
func (t *Table) Self() Host { return t.hosts[t.self] }

// SetServers sets the backend servers of the own host.
func (t *Table) SetServers(servers []Server, left []string) {
	self := t.Self()
	self.Servers, self.Left = servers, left
	t.setSelf(self)
}

// SetStopping records that the own daemon is stopping.
func (t *Table) SetStopping() {
	self := t.Self()
	self.Stopping = true
	t.setSelf(self)
}

// setSelf stores a new version of the own host's record.
func (t *Table) setSelf(self Host) {
	self.Version++
	t.put(self)
}

// Merge takes what was told and returns what is new. Of the own host it
// returns the new record if what was told had to be answered with one.
func (t *Table) Merge(told []Host) []Host {
	var updates []Host
	for _, h := range told {
		if h.Name == t.self {
			if self, ok := t.answer(h); ok {
				updates = append(updates, self)
			}
			continue
		}
		if known, ok := t.hosts[h.Name]; ok && !h.newer(known) {
			continue
		}
		t.put(h)
		updates = append(updates, h)
	}
	return updates
}

// answer replaces a record of the own host that an earlier start of the daemon
// told, or by which another daemon says that the host is gone.
func (t *Table) answer(told Host) (Host, bool) {
	self := t.Self()
	earlierStart := told.Start != self.Start && told.Incarnation >= self.Incarnation
	saidGone := told.Gone && told.Incarnation == self.Incarnation && told.Version >= self.Version
	if !earlierStart && !saidGone {
		return Host{}, false
	}
	self.Incarnation = told.Incarnation + 1
	self.Version = 1
	t.put(self)
	return self, true
}

// SetGone records that a host was found gone. It returns the record to tell, or
// false if a newer one is known.
func (t *Table) SetGone(name string, incarnation, version int64) (Host, bool) {
	h, ok := t.hosts[name]
	if !ok || name == t.self || h.Gone || h.Incarnation != incarnation || h.Version != version {
		return Host{}, false
	}
	h.Gone = true
	t.put(h)
	return h, true
}

// Host returns what is known of a host.
func (t *Table) Host(name string) (Host, bool) {
	h, ok := t.hosts[name]
	return h, ok
}

// Hosts returns every host, the gone ones too, in the order of their names.
func (t *Table) Hosts() []Host {
	all := make([]Host, 0, len(t.hosts))
	for _, h := range t.hosts {
		all = append(all, h)
	}
	slices.SortFunc(all, func(a, b Host) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// Digest returns a hash of each bucket of hosts, four bytes each. It has about as
// many buckets as there are hosts.
func (t *Table) Digest() []byte {
	buckets := leastBuckets
	for buckets < len(t.hosts) && buckets < mostBuckets {
		buckets *= 2
	}
	return t.digest(buckets)
}

func (t *Table) digest(buckets int) []byte {
	digest := make([]byte, buckets*partSize)
	for _, h := range t.hosts {
		part := digest[bucketOf(h.Name, buckets)*partSize:]
		binary.LittleEndian.PutUint32(part, binary.LittleEndian.Uint32(part)^uint32(h.hash()&math.MaxUint32))
	}
	return digest
}

// Sum returns one hash of every host. It is kept, since daemons compare theirs several times a
// second: made anew it took 62 us at 93 hosts and grew with them (BenchmarkSum).
func (t *Table) Sum() uint64 { return t.sum }

// Diff returns the hosts of the buckets that differ from the digest, whatever
// number of buckets that has.
func (t *Table) Diff(digest []byte) []Host {
	buckets := len(digest) / partSize
	if buckets == 0 {
		return t.Hosts()
	}
	own := t.digest(buckets)
	var missing []Host
	for _, h := range t.Hosts() {
		at := bucketOf(h.Name, buckets) * partSize
		if !bytes.Equal(digest[at:at+partSize], own[at:at+partSize]) {
			missing = append(missing, h)
		}
	}
	return missing
}

// bucketOf returns the bucket of a host.
func bucketOf(name string, buckets int) int {
	return int(xxhash.Sum64String(name) % uint64(buckets)) //nolint:gosec // there is at least one bucket
}

// hash is of what orders records; the rest follows from it.
func (h Host) hash() uint64 {
	text, _ := json.Marshal([]any{h.Name, h.Start, h.Incarnation, h.Version, h.Gone}) // strings, numbers and a flag always encode
	return xxhash.Sum64(text)
}
