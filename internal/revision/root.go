package revision

import (
	"context"
	"encoding/json"

	"github.com/go-faster/errors"

	"github.com/tideliftd/tidelift/internal/store"
)

// root is the value of the root key.
type root struct {
	Revision int64      `json:"revision"`
	Changes  []Accepted `json:"changes"` // oldest first; the last created the revision
}

// find returns the change with the id.
func (r root) find(id string) (Accepted, bool) {
	for _, change := range r.Changes {
		if change.ID == id {
			return change, true
		}
	}
	return Accepted{}, false
}

// last returns the change that created the revision, or the zero value if there is none.
func (r root) last() Accepted {
	if len(r.Changes) == 0 {
		return Accepted{}
	}
	return r.Changes[len(r.Changes)-1]
}

func (l *Ledger) rootKey() string { return l.config.Prefix + "/root" }

// readRoot returns the root and its revision in the store, for a conditional write.
func (l *Ledger) readRoot(ctx context.Context) (root, int64, error) {
	value, err := l.config.Store.Get(ctx, l.rootKey())
	if err != nil {
		return root{}, 0, err
	}
	current, err := parseRoot(value)
	return current, value.Revision, err
}

// parseRoot decodes the root. A root that was never written is empty.
func parseRoot(value store.Item) (root, error) {
	var r root
	if value.Data == nil {
		return r, nil
	}
	if err := json.Unmarshal(value.Data, &r); err != nil {
		return root{}, errors.Wrap(err, "read root")
	}
	if err := CheckNumber(r.Revision); err != nil {
		return root{}, errors.Wrap(err, "read root")
	}
	return r, nil
}

// writeRoot writes the root if it still has the expected revision in the store, and
// reports whether it did.
func (l *Ledger) writeRoot(ctx context.Context, next root, expected int64) (bool, error) {
	data, err := json.Marshal(next)
	if err != nil {
		return false, errors.Wrap(err, "encode root")
	}
	return l.write(ctx, l.rootKey(), data, expected)
}
