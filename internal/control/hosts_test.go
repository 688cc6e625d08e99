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

func someHosts(count int) control.Hosts {
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

// TestHostsComeAsTheyWereTold goes both ways with few hosts and many.
func TestHostsComeAsTheyWereTold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		told := control.HostUpdates{Host: "obuda-1", Hosts: someHosts(rapid.IntRange(0, 300).Draw(t, "hosts"))}
		data, err := json.Marshal(told)
		if err != nil {
			t.Fatal(err)
		}
		var got control.HostUpdates
		if err := json.Unmarshal(data, &got); err != nil {
			t.Fatal(err)
		}
		if len(got.Hosts) != len(told.Hosts) || len(told.Hosts) > 0 && !reflect.DeepEqual(got, told) {
			t.Fatalf("%d hosts came as %d", len(told.Hosts), len(got.Hosts))
		}
	})
}

// TestManyHostsArePacked holds what a start of many hosts costs.
func TestManyHostsArePacked(t *testing.T) {
	hosts := someHosts(100)
	plain, err := json.Marshal([]member.Host(hosts))
	if err != nil {
		t.Fatal(err)
	}
	packed, err := json.Marshal(hosts)
	if err != nil {
		t.Fatal(err)
	}
	if 3*len(packed) > len(plain) {
		t.Fatalf("%d bytes packed of %d", len(packed), len(plain))
	}
}

// TestPackedHostsThatAreNone refuses what is not packed, is cut, or is far too much.
func TestPackedHostsThatAreNone(t *testing.T) {
	packed, err := json.Marshal(someHosts(100))
	if err != nil {
		t.Fatal(err)
	}
	var cut []byte
	if err := json.Unmarshal(packed, &cut); err != nil {
		t.Fatal(err)
	}
	for name, raw := range map[string][]byte{"not packed": []byte("abc"), "cut": cut[:len(cut)/2], "endless": packedZeros(t)} {
		data, err := json.Marshal(raw)
		if err != nil {
			t.Fatal(err)
		}
		var hosts control.Hosts
		if err := json.Unmarshal(data, &hosts); err == nil {
			t.Errorf("%s: taken", name)
		}
	}
}

// packedZeros is small and unpacks to 20 MB.
func packedZeros(t *testing.T) []byte {
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
