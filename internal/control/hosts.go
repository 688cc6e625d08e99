package control

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"
	"sync"

	"github.com/go-faster/errors"

	"github.com/tideliftd/tidelift/internal/member"
)

const (
	// packFrom is the size in bytes from which hosts are packed. Source: a record takes
	// some 260 bytes and is much like the next; one or two gain little.
	packFrom = 1 << 10
	// maxUnpacked bounds what is unpacked, in bytes. Source: the records of 4,600 hosts
	// take 1.2 MB, and those with ten backend servers each ten times as much.
	maxUnpacked = 16 << 20
)

// Hosts is what is told of hosts. Many are packed on the wire: after a start of the
// whole fleet each daemon hears of every other host several times.
type Hosts []member.Host

// packers are kept, since each takes more than half a megabyte.
var packers = sync.Pool{New: func() any {
	packer, err := flate.NewWriter(io.Discard, flate.BestSpeed)
	if err != nil {
		panic(err) // the level is one that exists
	}
	return packer
}}

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

func pack(plain []byte) ([]byte, error) {
	packer := packers.Get().(*flate.Writer)
	defer packers.Put(packer)
	var packed bytes.Buffer
	packer.Reset(&packed)
	if _, err := packer.Write(plain); err != nil {
		return nil, err
	}
	if err := packer.Close(); err != nil {
		return nil, err
	}
	return packed.Bytes(), nil
}

func unpack(packed []byte) ([]byte, error) {
	reader := flate.NewReader(bytes.NewReader(packed))
	defer func() { _ = reader.Close() }()
	plain, err := io.ReadAll(io.LimitReader(reader, maxUnpacked+1))
	if err != nil {
		return nil, err
	}
	if len(plain) > maxUnpacked {
		return nil, errors.Errorf("more than %d bytes", maxUnpacked)
	}
	return plain, nil
}
