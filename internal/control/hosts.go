package control

import (
	"bytes"
	"encoding/json"

	"github.com/go-faster/errors"

	"github.com/tideliftd/tidelift/internal/member"
)

// Hosts is what is told of hosts. Many are packed on the wire: after a start of the
// whole fleet each daemon hears of every other host several times.
type Hosts []member.Host

// MarshalJSON writes an array, or the packed array as a text.
func (h Hosts) MarshalJSON() ([]byte, error) {
	plain, err := json.Marshal([]member.Host(h))
	if err != nil {
		return nil, errors.Wrap(err, "write hosts")
	}
	if len(plain) < packFrom {
		return plain, nil
	}
	packed, err := pack(plain)
	if err != nil {
		return nil, errors.Wrap(err, "pack hosts")
	}
	return json.Marshal(packed)
}

// UnmarshalJSON reads either form.
func (h *Hosts) UnmarshalJSON(data []byte) error {
	if bytes.HasPrefix(data, []byte(`"`)) {
		var packed []byte
		if err := json.Unmarshal(data, &packed); err != nil {
			return errors.Wrap(err, "read packed hosts")
		}
		plain, err := unpack(packed)
		if err != nil {
			return errors.Wrap(err, "unpack hosts")
		}
		data = plain
	}
	return json.Unmarshal(data, (*[]member.Host)(h))
}
