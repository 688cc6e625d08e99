// Package keys holds what daemons and operators prove themselves with: the
// certificates of mutual TLS between daemons, and the operators' tokens.
//
// # Usage
//
//	certificates, err := keys.NewCertificates(keys.CertificatesConfig{Certificate: "d.pem", Key: "d.key", Authority: "ca.pem", Logger: logger})
//	listener = tls.NewListener(listener, certificates.Server())
//	transport.TLSClientConfig = certificates.Client()
//
//	tokens, err := keys.NewTokens(keys.TokensConfig{File: "tokens.yaml", Logger: logger})
//	token, ok := tokens.Find(bearer)
//
// It owns what was read of the files. When a connection or a token is checked, and ReloadEvery
// has passed since the last time, files that changed are read again, so that keys are replaced
// without a restart. A file that cannot be read leaves what was read before in force, and a log line.
//
// Every daemon's certificate is signed by the one authority and carries the DNS
// name ServerName; which daemon it is does not matter, since any of them may take
// any request.
package keys

import (
	"log/slog"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/tideliftd/tidelift/internal/event"
)

// ReloadEvery is the least time between two checks whether a file has changed. Not measured: a
// check is a stat of each file, and operators expect a new key in force within seconds.
const ReloadEvery = 2 * time.Second

// watched reads files again when one of them has changed.
type watched struct {
	files  []string
	load   func() error // reads the files and puts them in force, or changes nothing
	logger *slog.Logger

	mu      sync.Mutex
	checked time.Time // when the files were last checked for a change
	read    []stamp   // of the files that are in force
	refused string    // why the files could not be read when that was last tried; empty if they could
}

// stamp tells a file from what it was before. Its time may go back with the wall clock.
type stamp struct {
	modified time.Time
	size     int64
}

// newWatched reads the files for the first time.
func newWatched(files []string, load func() error, logger *slog.Logger) (*watched, error) {
	w := &watched{files: files, load: load, logger: logger, checked: time.Now()}
	stamps, err := w.stamps()
	if err != nil {
		return nil, err
	}
	w.read = stamps
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
	if err := w.loadChanged(); err != nil {
		w.logRefused(err.Error())
		return
	}
	w.refused = ""
}

// loadChanged reads the files if they are not those that are in force.
func (w *watched) loadChanged() error {
	stamps, err := w.stamps()
	if err != nil || slices.Equal(stamps, w.read) {
		return err
	}
	if err := w.load(); err != nil {
		return err
	}
	w.read = stamps
	return nil
}

// logRefused logs why the files cannot be read, once for each reason in a row.
func (w *watched) logRefused(reason string) {
	if reason == w.refused {
		return
	}
	w.refused = reason
	event.Log(w.logger, event.KeysRefused, "error", reason)
}

// stamps returns the stamp of each file.
func (w *watched) stamps() ([]stamp, error) {
	stamps := make([]stamp, 0, len(w.files))
	for _, file := range w.files {
		info, err := os.Stat(file)
		if err != nil {
			return nil, errors.Wrap(err, "look at key file")
		}
		stamps = append(stamps, stamp{modified: info.ModTime(), size: info.Size()})
	}
	return stamps, nil
}
