package control

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/tideliftd/tidelift/internal/bound"
)

const (
	// compressThreshold is the size in bytes from which host lists and declarations are compressed; shorter ones
	// gain little.
	compressThreshold = 1 << 10
	// maxDecompressed limits the size after decompression, in bytes, so that a small input cannot exhaust
	// the memory.
	maxDecompressed = 16 << 20
)

// flateWriters pools compressors, because each takes more than half a megabyte.
var flateWriters = sync.Pool{New: func() any {
	writer, err := flate.NewWriter(io.Discard, flate.BestSpeed)
	if err != nil {
		panic(err) // unreachable: the compression level is valid
	}
	return writer
}}

func compress(plain []byte) ([]byte, error) {
	writer := flateWriters.Get().(*flate.Writer)
	defer flateWriters.Put(writer)
	var compressed bytes.Buffer
	writer.Reset(&compressed)
	if _, err := writer.Write(plain); err != nil {
		return nil, err
	}
	if err := writer.Close(); err != nil {
		return nil, err
	}
	return compressed.Bytes(), nil
}

func decompress(compressed []byte) ([]byte, error) {
	reader := flate.NewReader(bytes.NewReader(compressed))
	defer func() { _ = reader.Close() }()
	return bound.ReadAll(reader, maxDecompressed)
}
