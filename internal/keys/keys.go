// Package keys holds the credentials of daemons and operators: the certificates
// for mutual TLS between daemons, and the operators' tokens.
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
// The package owns the contents of the files. When a connection or a token is checked, and ReloadEvery
// has passed since the last check, changed files are reloaded, so that keys can be replaced without
// a restart. If a file cannot be read, the error is logged and the previous contents stay in force.
//
// Every daemon's certificate is signed by the same authority and carries the DNS
// name ServerName. It does not identify the daemon, since any daemon may accept
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

// ReloadEvery is the minimum time between two checks for changed files.
const ReloadEvery = 2 * time.Second

// fileWatcher reloads files when one of them has changed.
type fileWatcher struct {
	files  []string
	load   func() error // reads and applies the files; changes nothing on error
	logger *slog.Logger

	mu           sync.Mutex
	checked      time.Time // time of the last check for changes
	loadedStamps []stamp   // of the loaded files
	lastError    string    // error of the last reload; empty if it succeeded
}

// stamp identifies a version of a file. The modification time may go back with the wall clock.
type stamp struct {
	modified time.Time
	size     int64
}

// newFileWatcher loads the files for the first time.
func newFileWatcher(files []string, load func() error, logger *slog.Logger) (*fileWatcher, error) {
	w := &fileWatcher{files: files, load: load, logger: logger, checked: time.Now()}
	stamps, err := w.stamps()
	if err != nil {
		return nil, err
	}
	w.loadedStamps = stamps
	return w, load()
}

// refresh reloads the files if one has changed.
func (w *fileWatcher) refresh() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if time.Since(w.checked) < ReloadEvery {
		return
	}
	w.checked = time.Now()
	if err := w.loadChanged(); err != nil {
		w.logError(err.Error())
		return
	}
	w.lastError = ""
}

// loadChanged loads the files if they differ from the loaded ones.
func (w *fileWatcher) loadChanged() error {
	stamps, err := w.stamps()
	if err != nil || slices.Equal(stamps, w.loadedStamps) {
		return err
	}
	if err := w.load(); err != nil {
		return err
	}
	w.loadedStamps = stamps
	return nil
}

// logError logs the reason of a failed reload, unless the previous reload failed for the same reason.
func (w *fileWatcher) logError(reason string) {
	if reason == w.lastError {
		return
	}
	w.lastError = reason
	event.Log(w.logger, event.KeysRefused, "error", reason)
}

// stamps returns the stamp of each file.
func (w *fileWatcher) stamps() ([]stamp, error) {
	stamps := make([]stamp, 0, len(w.files))
	for _, file := range w.files {
		info, err := os.Stat(file)
		if err != nil {
			return nil, errors.Wrap(err, "stat key file")
		}
		stamps = append(stamps, stamp{modified: info.ModTime(), size: info.Size()})
	}
	return stamps, nil
}
