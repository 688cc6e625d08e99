package fleet

import (
	"fmt"
	"strings"
)

// EncodePath returns the path with each character percent-encoded that a URL must not contain, so that /café and
// /caf%C3%A9 are one path. What is encoded already is left unchanged.
func EncodePath(path string) string {
	if !strings.ContainsFunc(path, mustEncode) {
		return path
	}
	var encoded strings.Builder
	for _, b := range []byte(path) {
		if mustEncode(rune(b)) {
			_, _ = fmt.Fprintf(&encoded, "%%%02X", b)
			continue
		}
		encoded.WriteByte(b)
	}
	return encoded.String()
}

// mustEncode reports whether the character, or the byte of a longer one, must not stand in a URL.
func mustEncode(c rune) bool {
	switch c {
	case '"', '<', '>', '\\', '^', '`', '{', '|', '}':
		return true
	}
	return c <= ' ' || c > '~'
}
