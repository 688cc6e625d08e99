// Package keys holds what daemons and operators prove themselves with: the
// certificates of mutual TLS between daemons, and the operators' tokens.
//
// # Usage
//
//	certificates, err := keys.NewCertificates(keys.CertificateFiles{Certificate: "d.pem", Key: "d.key", Authority: "ca.pem"})
//	listener = tls.NewListener(listener, certificates.Server())
//	transport.TLSClientConfig = certificates.Client()
//
//	tokens, err := keys.NewTokens("tokens.yaml")
//	token, ok := tokens.Find(bearer)
//
// It owns what was read of the files. When a connection or a token is checked, and ReloadEvery
// has passed since the last time, files that changed are read again, so that keys are replaced
// without a restart. A file that cannot be read leaves what was read before in force.
//
// Every daemon's certificate is signed by the one authority and carries the DNS
// name ServerName; which daemon it is does not matter, since any of them may take
// any request.
package keys

import (
	"os"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// ReloadEvery is the least time between two checks whether a file has changed. Not measured: a
// check is a stat of each file, and operators expect a new key in force within seconds.
const ReloadEvery = 2 * time.Second

// watched reads files again when one of them has changed.
type watched struct {
	files []string
	load  func() error // reads the files and puts them in force, or changes nothing

	mu       sync.Mutex
	checked  time.Time // when the files were last checked for a change
	modified time.Time // of the newest file that is in force
}

// newWatched reads the files for the first time.
func newWatched(files []string, load func() error) (*watched, error) {
	w := &watched{files: files, load: load, checked: time.Now()}
	newest, err := w.newest()
	if err != nil {
		return nil, err
	}
	w.modified = newest
	return w, load()
}

// refresh reads the files again if one has changed.
func (w *watched) refresh() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if time.Since(w.checked) < ReloadEvery {
		return
	}
	w.checked = time.Now()
	newest, err := w.newest()
	if err != nil || !newest.After(w.modified) {
		return
	}
	if w.load() == nil {
		w.modified = newest
	}
}

// newest returns when a file was last changed.
func (w *watched) newest() (time.Time, error) {
	var newest time.Time
	for _, file := range w.files {
		info, err := os.Stat(file)
		if err != nil {
			return time.Time{}, errors.Wrap(err, "look at key file")
		}
		if info.ModTime().After(newest) {
			newest = info.ModTime()
		}
	}
	return newest, nil
}
