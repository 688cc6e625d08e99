package record

import (
	"encoding/json"
	"reflect"
	"testing"

	"github.com/tideliftd/tidelift/internal/member"
	"github.com/tideliftd/tidelift/internal/store"
)

// TestARecordIsTakenWhole reads a host's record from the store. With a part of it
// left out it would stay so: what the host itself tells has the same version.
func TestARecordIsTakenWhole(t *testing.T) {
	want := member.Host{
		Name: "csepel-1", DataCentre: "csepel", Start: "s", Incarnation: 2, Version: 5,
		Servers: []member.Server{{Name: "i-1", Service: "lookup", Address: "127.0.0.1:1", Slots: 4}},
		Left:    []string{"i-0"},
	}
	data, err := json.Marshal(want)
	if err != nil {
		t.Fatal(err)
	}
	refused := 0
	got := decodeRecords([]store.Item{{Key: "a", Data: data}, {Key: "b", Data: []byte("{")}}, func(error) { refused++ })
	if len(got) != 1 || !reflect.DeepEqual(got[0], want) || refused != 1 {
		t.Fatalf("got %+v, %d refused", got, refused)
	}
}
