package control_test

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"fmt"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"github.com/tideliftd/tidelift/internal/control"
	"github.com/tideliftd/tidelift/internal/member"
)

func makeHosts(count int) control.Hosts {
	hosts := make(control.Hosts, 0, count)
	for n := range count {
		address := fmt.Sprintf("10.1.%d.%d", n/250, n%250)
		hosts = append(hosts, member.Host{
			Name: fmt.Sprintf("csepel-%d", n), DataCentre: "csepel", Peers: address + ":8146", Control: address + ":7380",
			Start: fmt.Sprintf("%016x", uint64(n)*0x9e3779b97f4a7c15), Incarnation: int64(n%3 + 1), Version: int64(n%7 + 1),
			Servers: []member.Server{{Name: fmt.Sprintf("i-%08x", uint32(n)*2654435761), Service: "lookup", Address: address + ":8145", Slots: 4}},
		})
	}
	return hosts
}

// TestHostsRoundTrip guards against hosts that change in transit, in short and long lists.
func TestHostsRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		updates := control.HostUpdates{Host: "obuda-1", Hosts: makeHosts(rapid.IntRange(0, 300).Draw(t, "hosts"))}
		data, err := json.Marshal(updates)
		if err != nil {
			t.Fatal(err)
		}
		var got control.HostUpdates
		if err := json.Unmarshal(data, &got); err != nil {
			t.Fatal(err)
		}
		if len(got.Hosts) != len(updates.Hosts) || len(updates.Hosts) > 0 && !reflect.DeepEqual(got, updates) {
			t.Fatalf("%d hosts decoded as %d, or with other content", len(updates.Hosts), len(got.Hosts))
		}
	})
}

// TestLongHostListIsCompressed guards the size of a long list, which limits the traffic after a start of many hosts.
func TestLongHostListIsCompressed(t *testing.T) {
	hosts := makeHosts(100)
	plain, err := json.Marshal([]member.Host(hosts))
	if err != nil {
		t.Fatal(err)
	}
	compressed, err := json.Marshal(hosts)
	if err != nil {
		t.Fatal(err)
	}
	if 3*len(compressed) > len(plain) {
		t.Fatalf("%d bytes compressed from %d; want at most a third", len(compressed), len(plain))
	}
}

// TestInvalidCompressedHosts covers a list that is not compressed, is truncated, or decompresses to too many bytes.
func TestInvalidCompressedHosts(t *testing.T) {
	encoded, err := json.Marshal(makeHosts(100))
	if err != nil {
		t.Fatal(err)
	}
	var compressed []byte
	if err := json.Unmarshal(encoded, &compressed); err != nil {
		t.Fatal(err)
	}
	for name, raw := range map[string][]byte{"not compressed": []byte("abc"), "truncated": compressed[:len(compressed)/2], "too large": compressedZeros(t)} {
		data, err := json.Marshal(raw)
		if err != nil {
			t.Fatal(err)
		}
		var hosts control.Hosts
		if err := json.Unmarshal(data, &hosts); err == nil {
			t.Errorf("%s: decoded without an error", name)
		}
	}
}

// compressedZeros returns a short input that decompresses to 20 MB.
func compressedZeros(t *testing.T) []byte {
	t.Helper()
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = w.Write(make([]byte, 20<<20))
	_ = w.Close()
	return b.Bytes()
}
