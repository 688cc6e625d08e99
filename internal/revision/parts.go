package revision

import (
	"context"
	"slices"
	"strings"

	"github.com/go-faster/errors"

	"github.com/tideliftd/tidelift/internal/result"
	"github.com/tideliftd/tidelift/internal/store"
)

const (
	// partSize is the largest part, in bytes, under the platform's limit.
	partSize = 256 << 10
	// maxParts bounds a declaration to 16 MiB.
	maxParts = 64
)

func (l *Ledger) partKey(hash string) string { return l.config.Prefix + "/parts/" + hash }

// part is a piece of a declaration with the hash that names it.
type part struct {
	hash string
	data []byte
}

// split cuts a declaration into parts.
func split(text string) ([]part, error) {
	if len(text) > partSize*maxParts {
		return nil, result.New(result.ValueTooLarge).WithDetail("%d bytes; at most %d", len(text), partSize*maxParts)
	}
	var parts []part
	for piece := range slices.Chunk([]byte(text), partSize) {
		parts = append(parts, part{hash: contentHash(string(piece)), data: piece})
	}
	return parts, nil
}

// writeParts writes the parts that are not there yet. Since their names say
// what they hold, one that is there already is as good.
func (l *Ledger) writeParts(ctx context.Context, parts []part) error {
	for _, p := range parts {
		if err := l.writePart(ctx, p); err != nil {
			return err
		}
	}
	return nil
}

// writePart writes one part. If the answer is lost, it looks whether the part
// is there.
func (l *Ledger) writePart(ctx context.Context, p part) error {
	_, err := l.write(ctx, l.partKey(p.hash), p.data, 0)
	if err == nil || errors.Is(err, store.ErrNotApplied) {
		return err
	}
	value, readErr := l.config.Store.Get(ctx, l.partKey(p.hash))
	if readErr != nil || contentHash(string(value.Data)) != p.hash {
		return errors.Join(err, readErr)
	}
	return nil
}

// readParts returns the declaration that the parts make.
func (l *Ledger) readParts(ctx context.Context, hashes []string) (string, error) {
	var text strings.Builder
	for _, hash := range hashes {
		value, err := l.config.Store.Get(ctx, l.partKey(hash))
		if err != nil {
			return "", err
		}
		if contentHash(string(value.Data)) != hash {
			return "", errors.Errorf("part %s does not hold what its name says", hash)
		}
		text.Write(value.Data)
	}
	return text.String(), nil
}
