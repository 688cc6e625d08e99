package control

import (
	"bytes"
	"encoding/json"

	"github.com/go-faster/errors"

	"github.com/tideliftd/tidelift/internal/member"
)

// Hosts is a list of host records. Long lists are compressed on the wire, because each
// daemon receives every record several times after a start of the whole fleet.
type Hosts []member.Host

// MarshalJSON encodes the list as an array, or as a string with the compressed array.
func (h Hosts) MarshalJSON() ([]byte, error) {
	plain, err := json.Marshal([]member.Host(h))
	if err != nil {
		return nil, errors.Wrap(err, "encode hosts")
	}
	if len(plain) < compressThreshold {
		return plain, nil
	}
	compressed, err := compress(plain)
	if err != nil {
		return nil, errors.Wrap(err, "compress hosts")
	}
	return json.Marshal(compressed)
}

// UnmarshalJSON decodes either form. A record that cannot be decoded is empty, so that the others of its list are
// received; the receiver refuses it.
func (h *Hosts) UnmarshalJSON(data []byte) error {
	if bytes.HasPrefix(data, []byte(`"`)) {
		var compressed []byte
		if err := json.Unmarshal(data, &compressed); err != nil {
			return errors.Wrap(err, "decode compressed hosts")
		}
		plain, err := decompress(compressed)
		if err != nil {
			return errors.Wrap(err, "decompress hosts")
		}
		data = plain
	}
	var records []json.RawMessage
	if err := json.Unmarshal(data, &records); err != nil {
		return errors.Wrap(err, "decode hosts")
	}
	*h = make(Hosts, len(records))
	for i, record := range records {
		if json.Unmarshal(record, &(*h)[i]) != nil {
			(*h)[i] = member.Host{}
		}
	}
	return nil
}
