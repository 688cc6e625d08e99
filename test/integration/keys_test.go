package integration

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/hex"
	"encoding/pem"
	"fmt"
	"math/big"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"github.com/tideliftd/tidelift/internal/keys"
	"github.com/tideliftd/tidelift/internal/operatorapi"
	"github.com/tideliftd/tidelift/internal/result"
	"github.com/tideliftd/tidelift/test/harness"
)

// authority signs certificates.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	pem         []byte
}

func newAuthority(t *testing.T) authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		t.Fatal(err)
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return authority{certificate, key, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})}
}

// sign returns a daemon's certificate and key as PEM.
func (a authority) sign(t *testing.T) (certificate, private []byte) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), DNSNames: []string{keys.ServerName},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, key.Public(), a.key)
	if err != nil {
		t.Fatal(err)
	}
	encoded, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: encoded})
}

func writeFile(t *testing.T, dir, name string, data []byte) string {
	t.Helper()
	file := filepath.Join(dir, name)
	if err := os.WriteFile(file, data, 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

func hashOf(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// TestAuthentication guards against unauthenticated access to the peer, control and operator addresses of daemons
// that use certificates and tokens.
func TestAuthentication(t *testing.T) {
	ours := newAuthority(t)
	certificate, private := ours.sign(t)
	dir := t.TempDir()
	tokens := fmt.Sprintf("- {name: erzsi, role: change, sha256: %s}\n- {name: bela, role: read, sha256: %s}\n", hashOf("all"), hashOf("look"))
	f := start(t, harness.Spec{
		DataCentres: []string{"csepel", "obuda"},
		HostsEach:   1,
		Services:    []harness.Service{{Name: "any", Floor: 1, Servers: 1}, {Name: "lookup", Floor: 1, Servers: 1}},
		Token:       "all",
		Settings: fmt.Sprintf("keys:\n  certificate: %s\n  key: %s\n  authority: %s\n  tokens: %s\n",
			writeFile(t, dir, "d.pem", certificate), writeFile(t, dir, "d.key", private),
			writeFile(t, dir, "ca.pem", ours.pem), writeFile(t, dir, "tokens.yaml", []byte(tokens))),
	})
	t.Run("daemons serve each other", func(t *testing.T) {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			if response, body := do(t, method, f.URL(0, "lookup", "/x"), ""); response.StatusCode != http.StatusOK {
				t.Fatalf("%s: got status %d, body %s; want 200", method, response.StatusCode, body)
			}
		}
	})
	t.Run("others are not let in", func(t *testing.T) {
		foreign, foreignKey := newAuthority(t).sign(t)
		pair, err := tls.X509KeyPair(foreign, foreignKey)
		if err != nil {
			t.Fatal(err)
		}
		for name, config := range map[string]*tls.Config{
			"without a certificate":   {InsecureSkipVerify: true},
			"with a foreign one":      {InsecureSkipVerify: true, Certificates: []tls.Certificate{pair}},
			"with TLS older than 1.3": {InsecureSkipVerify: true, MaxVersion: tls.VersionTLS12},
		} {
			client := &http.Client{Transport: &http.Transport{TLSClientConfig: config}}
			for _, address := range []string{f.Daemons[1].PeersAddress(), f.Daemons[1].ControlAddress()} {
				if response, err := client.Get("https://" + address + "/"); err == nil {
					_ = response.Body.Close()
					t.Errorf("client %s was accepted by %s with status %d", name, address, response.StatusCode)
				}
			}
		}
		if response, err := http.Get("http://" + f.Daemons[1].PeersAddress() + "/"); err == nil {
			_ = response.Body.Close()
			if response.StatusCode < http.StatusBadRequest {
				t.Errorf("request without TLS got status %d", response.StatusCode)
			}
		}
	})
	t.Run("tokens", func(t *testing.T) { checkTokens(t, f) })
}

func checkTokens(t *testing.T, f *harness.Fleet) {
	t.Helper()
	tests := []struct {
		token        string
		read, change int
	}{
		{"", result.TokenRefused.Number, result.TokenRefused.Number},
		{"guess", result.TokenRefused.Number, result.TokenRefused.Number},
		{"look", 0, result.RoleRefused.Number},
		{"all", 0, result.RevisionChanged.Number}, // authorized; the base revision is outdated
	}
	for _, test := range tests {
		f.Spec.Token = test.token
		_, err := f.Daemons[0].Client().Status(context.Background())
		if got := refusal(err); got != test.read {
			t.Errorf("read with token %q: got code %d, want %d", test.token, got, test.read)
		}
		_, err = f.Apply(context.Background(), 0, f.Declaration(), 99, "late")
		if got := refusal(err); got != test.change {
			t.Errorf("change with token %q: got code %d, want %d", test.token, got, test.change)
		}
	}
}

// refusal returns the result code of a refused operator call, 0 without an error and -1 for any other error.
func refusal(err error) int {
	var refused *operatorapi.RefusedStatusCode
	if errors.As(err, &refused) {
		return refused.Response.Code
	}
	if err != nil {
		return -1
	}
	return 0
}

// TestCertificatesAreReloaded guards against replaced certificate files that are ignored until a restart.
func TestCertificatesAreReloaded(t *testing.T) {
	dir := t.TempDir()
	write := func(a authority) keys.CertificatesConfig {
		certificate, private := a.sign(t)
		return keys.CertificatesConfig{
			Certificate: writeFile(t, dir, "d.pem", certificate),
			Key:         writeFile(t, dir, "d.key", private),
			Authority:   writeFile(t, dir, "ca.pem", a.pem),
		}
	}
	certificates, err := keys.NewCertificates(write(newAuthority(t)))
	if err != nil {
		t.Fatal(err)
	}
	next := newAuthority(t)
	time.Sleep(keys.ReloadEvery)
	write(next)
	end := time.Now().Add(waitTimeout)
	for time.Now().Before(end) {
		own, err := certificates.Client().GetClientCertificate(nil)
		if err != nil {
			t.Fatal(err)
		}
		if own.Leaf != nil && bytes.Equal(own.Leaf.AuthorityKeyId, next.certificate.SubjectKeyId) {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	t.Fatal("replaced certificate was not reloaded")
}
