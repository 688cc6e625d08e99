package control

import (
	"encoding/json"

	"github.com/go-faster/errors"

	"github.com/tideliftd/tidelift/internal/revision"
)

// Revision is a revision as one daemon gives it to another. A long text is packed on the
// wire: every daemon fetches each, many of them from another data centre.
type Revision revision.Revision

// wireRevision is a revision with its text either plain or packed.
type wireRevision struct {
	Number   int64             `json:"number"`
	Text     string            `json:"text,omitempty"`
	Packed   []byte            `json:"packed,omitempty"`
	Accepted revision.Accepted `json:"accepted"`
}

// MarshalJSON writes the revision, with a long text packed.
func (r Revision) MarshalJSON() ([]byte, error) {
	w := wireRevision{Number: r.Number, Text: r.YAML, Accepted: r.Accepted}
	if len(r.YAML) >= packFrom {
		packed, err := pack([]byte(r.YAML))
		if err != nil {
			return nil, errors.Wrap(err, "pack revision")
		}
		w.Text, w.Packed = "", packed
	}
	return json.Marshal(w)
}

// UnmarshalJSON reads either form.
func (r *Revision) UnmarshalJSON(data []byte) error {
	var w wireRevision
	if err := json.Unmarshal(data, &w); err != nil {
		return errors.Wrap(err, "read revision")
	}
	*r = Revision{Number: w.Number, YAML: w.Text, Accepted: w.Accepted}
	if len(w.Packed) == 0 {
		return nil
	}
	plain, err := unpack(w.Packed)
	if err != nil {
		return errors.Wrap(err, "unpack revision")
	}
	r.YAML = string(plain)
	return nil
}
