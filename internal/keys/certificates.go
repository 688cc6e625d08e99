package keys

import (
	"crypto/tls"
	"crypto/x509"
	"log/slog"
	"os"
	"sync/atomic"

	"github.com/go-faster/errors"
)

// ServerName is the DNS name in each daemon's certificate.
const ServerName = "tidelift"

// CertificatesConfig names the PEM files.
type CertificatesConfig struct {
	// Certificate and Key are the daemon's own.
	Certificate, Key string
	// Authority is the certificate authority that signs every daemon's certificate.
	Authority string
	// Logger receives events about files that cannot be read.
	Logger *slog.Logger
}

// Certificates holds the daemon's certificate and the authority that it trusts.
type Certificates struct {
	config      CertificatesConfig
	watch       *fileWatcher
	credentials atomic.Pointer[credentials]
}

type credentials struct {
	own       tls.Certificate
	authority *x509.CertPool
}

// NewCertificates reads the files.
func NewCertificates(config CertificatesConfig) (*Certificates, error) {
	c := &Certificates{config: config}
	watch, err := newFileWatcher([]string{config.Certificate, config.Key, config.Authority}, c.load, config.Logger)
	if err != nil {
		return nil, err
	}
	c.watch = watch
	return c, nil
}

func (c *Certificates) load() error {
	own, err := tls.LoadX509KeyPair(c.config.Certificate, c.config.Key)
	if err != nil {
		return errors.Wrap(err, "read certificate and key")
	}
	authority, err := os.ReadFile(c.config.Authority)
	if err != nil {
		return errors.Wrap(err, "read authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return errors.Errorf("%s holds no certificate", c.config.Authority)
	}
	c.credentials.Store(&credentials{own: own, authority: pool})
	return nil
}

func (c *Certificates) current() *credentials {
	c.watch.refresh()
	return c.credentials.Load()
}

// Server returns the TLS configuration of a listener that accepts only daemons.
func (c *Certificates) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			now := c.current()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{now.own},
				ClientCAs:    now.authority,
				ClientAuth:   tls.RequireAndVerifyClientCert,
				NextProtos:   []string{"http/1.1"},
			}, nil
		},
	}
}

// Client returns the TLS configuration of a connection to a daemon. The server's
// certificate is verified against the current authority.
func (c *Certificates) Client() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		ServerName: ServerName,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &c.current().own, nil
		},
		InsecureSkipVerify: true, //nolint:gosec // VerifyConnection verifies against an authority that may be replaced
		VerifyConnection:   c.verifyServer,
	}
}

func (c *Certificates) verifyServer(state tls.ConnectionState) error {
	intermediates := x509.NewCertPool()
	for _, certificate := range state.PeerCertificates[1:] {
		intermediates.AddCert(certificate)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		DNSName:       ServerName,
		Roots:         c.current().authority,
		Intermediates: intermediates,
	})
	if err != nil {
		return errors.Wrap(err, "verify daemon's certificate")
	}
	return nil
}
