// Package certs loads the certificate that one side of a TLS connection presents, and the authorities that it trusts, and reloads them
// when their files have changed.
package certs

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"log/slog"
	"os"
	"sync"
	"time"
)

// Files are the paths of a certificate, its key, and the authority that signs the certificates of the other side; an empty path: there is
// none.
type Files struct {
	Certificate, Key, Authority string
}

func (f Files) paths() [3]string { return [3]string{f.Certificate, f.Key, f.Authority} }

// Reloader holds the content of the files. Its methods may be called from any goroutine.
type Reloader struct {
	files Files
	log   *slog.Logger

	mu          sync.Mutex
	modTimes    [3]time.Time
	certificate tls.Certificate
	roots       *x509.CertPool
	generation  int
	lastError   string
}

// Open loads the files.
func Open(files Files, log *slog.Logger) (*Reloader, error) {
	r := &Reloader{files: files, log: log}
	r.modTimes = r.statFiles()
	return r, r.load()
}

func (r *Reloader) load() error {
	certificate, err := tls.LoadX509KeyPair(r.files.Certificate, r.files.Key)
	if err != nil {
		return fmt.Errorf("certificate: %w", err)
	}
	var roots *x509.CertPool
	if r.files.Authority != "" {
		if roots, err = LoadAuthority(r.files.Authority); err != nil {
			return err
		}
	}
	r.certificate = certificate
	r.roots = roots
	r.generation++
	return nil
}

// LoadAuthority loads the certificates of a file of authorities.
func LoadAuthority(path string) (*x509.CertPool, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("authority: %w", err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(text) {
		return nil, fmt.Errorf("authority: %s holds no certificate", path)
	}
	return roots, nil
}

func (r *Reloader) statFiles() (modTimes [3]time.Time) {
	for i, path := range r.files.paths() {
		if info, err := os.Stat(path); err == nil {
			modTimes[i] = info.ModTime()
		}
	}
	return modTimes
}

// Current returns the certificate and the authorities, with a number that changes with them. It reloads files that have changed. Files
// that cannot be loaded change nothing, which is logged once.
func (r *Reloader) Current() (certificate tls.Certificate, roots *x509.CertPool, generation int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if modTimes := r.statFiles(); modTimes != r.modTimes {
		err := r.load()
		switch {
		case err == nil: // until then a pair of which one file was replaced is tried again
			r.modTimes = modTimes
			r.lastError = ""
		case err.Error() != r.lastError:
			r.lastError = err.Error()
			r.log.Error("reload failed, the certificate in use is kept", "file", r.files.Certificate, "error", err)
		}
	}
	return r.certificate, r.roots, r.generation
}
