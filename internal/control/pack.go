package control

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/go-faster/errors"
)

const (
	// packFrom is the size in bytes from which hosts and declarations are packed. Source:
	// a host's record takes some 260 bytes and is much like the next, as are routes; a few
	// gain little.
	packFrom = 1 << 10
	// maxUnpacked bounds what is unpacked, in bytes. Source: the records of 4,600 hosts
	// take 1.2 MB, and those with ten backend servers each ten times as much; 27,000
	// routes take 5 MB.
	maxUnpacked = 16 << 20
)

// packers are kept, since each takes more than half a megabyte.
var packers = sync.Pool{New: func() any {
	packer, err := flate.NewWriter(io.Discard, flate.BestSpeed)
	if err != nil {
		panic(err) // the level is one that exists
	}
	return packer
}}

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
