package record

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"reflect"
	"testing"

	"github.com/tideliftd/tidelift/internal/member"
	"github.com/tideliftd/tidelift/internal/store"
)

// TestRecordIsDecodedCompletely guards against fields of a host's record that are lost when it is read from the store. They
// would stay lost, since the host's own updates have the same version.
func TestRecordIsDecodedCompletely(t *testing.T) {
	want := member.Host{
		Name: "csepel-1", DataCentre: "csepel", Start: "s", Incarnation: 2, Version: 5,
		Servers: []member.Server{{Name: "i-1", Service: "lookup", Address: "127.0.0.1:1", Slots: 4}},
		Left:    []string{"i-0"},
	}
	data, err := json.Marshal(want)
	if err != nil {
		t.Fatal(err)
	}
	var log bytes.Buffer
	r := New(Config{Prefix: "tidelift", Logger: slog.New(slog.NewJSONHandler(&log, nil))})
	const key = "tidelift/hosts/csepel/csepel-1"
	got := r.decodeRecords([]store.Item{{Key: key, Data: data}, {Key: "tidelift/hosts/csepel/csepel-2", Data: data}, {Key: key, Data: []byte("{")}})
	if refused := bytes.Count(log.Bytes(), []byte("\n")); len(got) != 1 || !reflect.DeepEqual(got[0], want) || refused != 2 {
		t.Fatalf("decoded %+v, refused %d records", got, refused)
	}
}
