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

// readKeys reads the certificates and tokens named in the settings.
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

// clientTLS returns the TLS configuration for connections to other daemons; nil without mutual TLS.
func (d *daemon) clientTLS() *tls.Config {
	if d.certificates == nil {
		return nil
	}
	return d.certificates.Client()
}

// daemonsOnly returns a listener that accepts only connections of daemons if mutual
// TLS is configured, and any connections otherwise.
func (d *daemon) daemonsOnly(socket net.Listener) net.Listener {
	if d.certificates == nil {
		return compress.Listen(socket)
	}
	return tls.NewListener(socket, d.certificates.Server())
}

// withToken requires an operator's token if tokens are configured. Requests other
// than GET require a token whose role permits changes.
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
