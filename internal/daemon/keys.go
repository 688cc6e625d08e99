package daemon

import (
	"crypto/tls"
	"net"
	"net/http"
	"strings"

	"github.com/tideliftd/tidelift/internal/compress"
	"github.com/tideliftd/tidelift/internal/keys"
	"github.com/tideliftd/tidelift/internal/result"
)

// readKeys reads the certificates and tokens that the settings name.
func (d *daemon) readKeys() error {
	files := d.config.Settings.Keys
	var err error
	if files.MutualTLS() {
		d.certificates, err = keys.NewCertificates(keys.CertificatesConfig{
			Certificate: files.Certificate,
			Key:         files.Key,
			Authority:   files.Authority,
			Logger:      d.config.Logger,
		})
		if err != nil {
			return err
		}
	}
	if files.Tokens != "" {
		d.tokens, err = keys.NewTokens(keys.TokensConfig{File: files.Tokens, Logger: d.config.Logger})
	}
	return err
}

// clientTLS is what this daemon proves itself with; nil without mutual TLS.
func (d *daemon) clientTLS() *tls.Config {
	if d.certificates == nil {
		return nil
	}
	return d.certificates.Client()
}

// daemonsOnly returns a listener that takes daemons' connections alone, if
// daemons prove themselves.
func (d *daemon) daemonsOnly(socket net.Listener) net.Listener {
	if d.certificates == nil {
		return compress.Listen(socket)
	}
	return tls.NewListener(socket, d.certificates.Server())
}

// withToken lets only operators with a token through, if there are tokens. What
// changes something needs a token that may.
func (d *daemon) withToken(api http.Handler) http.Handler {
	if d.tokens == nil {
		return api
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		bearer, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		token, ok := d.tokens.Find(bearer)
		switch {
		case !ok:
			result.WriteRefusal(w, result.New(result.TokenRefused))
		case r.Method != http.MethodGet && token.Role != keys.RoleChange:
			result.WriteRefusal(w, result.New(result.RoleRefused).WithDetail("the token %q may read only", token.Name))
		default:
			api.ServeHTTP(w, r)
		}
	})
}
