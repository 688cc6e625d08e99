package control

import (
	"encoding/json"

	"github.com/go-faster/errors"

	"github.com/tideliftd/tidelift/internal/revision"
)

// Revision is a revision as daemons exchange it. A long text is compressed on the wire,
// because every daemon fetches it, many of them from another data centre.
type Revision revision.Revision

// wireRevision is the encoded form of a revision, with its text either plain or compressed.
type wireRevision struct {
	Number   int64             `json:"number"`
	Text     string            `json:"text,omitempty"`
	Packed   []byte            `json:"packed,omitempty"`
	Accepted revision.Accepted `json:"accepted"`
}

// MarshalJSON encodes the revision, with a long text compressed.
func (r Revision) MarshalJSON() ([]byte, error) {
	w := wireRevision{Number: r.Number, Text: r.YAML, Accepted: r.Accepted}
	if len(r.YAML) >= compressThreshold {
		compressed, err := compress([]byte(r.YAML))
		if err != nil {
			return nil, errors.Wrap(err, "compress revision")
		}
		w.Text, w.Packed = "", compressed
	}
	return json.Marshal(w)
}

// UnmarshalJSON decodes either form.
func (r *Revision) UnmarshalJSON(data []byte) error {
	var w wireRevision
	if err := json.Unmarshal(data, &w); err != nil {
		return errors.Wrap(err, "decode revision")
	}
	*r = Revision{Number: w.Number, YAML: w.Text, Accepted: w.Accepted}
	if len(w.Packed) == 0 {
		return nil
	}
	plain, err := decompress(w.Packed)
	if err != nil {
		return errors.Wrap(err, "decompress revision")
	}
	r.YAML = string(plain)
	return nil
}
