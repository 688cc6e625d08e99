package ingress

import (
	"net/http"

	"github.com/tideliftd/tidelift/internal/framing"
	"github.com/tideliftd/tidelift/internal/result"
)

// checkRequest refuses requests that are invalid on any route.
func (in *Ingress) checkRequest(r *http.Request) *result.Error {
	if r.Method == http.MethodConnect || r.Header.Get("Upgrade") != "" {
		return result.New(result.UpgradeRefused)
	}
	if !r.ProtoAtLeast(1, 1) {
		return result.New(result.ProtocolVersion).WithDetail("send HTTP/1.1")
	}
	if framing.Ambiguous(r) {
		return result.New(result.AmbiguousFraming)
	}
	if size := headerSize(r.Header); size > in.config.HeaderBytes {
		return result.New(result.HeadersTooLarge).WithDetail("%d bytes; at most %d", size, in.config.HeaderBytes)
	}
	return nil
}

func headerSize(h http.Header) int {
	const separators = len(": \r\n")
	size := 0
	for name, values := range h {
		for _, value := range values {
			size += len(name) + len(value) + separators
		}
	}
	return size
}
