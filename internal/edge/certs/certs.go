// Package certs loads the certificate that one side of a TLS connection presents and the certificate authorities that it trusts. It
// reloads them when their files have changed.
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

// Files holds the paths of a certificate, its private key, and the certificate authority that signs the peer's certificates. An empty path
// means that there is no such file.
type Files struct {
	Certificate, Key, Authority string
}

func (f Files) paths() [3]string { return [3]string{f.Certificate, f.Key, f.Authority} }

// Reloader holds a certificate and trusted authorities loaded from Files. Its methods are safe for concurrent use.
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

// Open loads the files and returns a Reloader for them.
func Open(files Files, log *slog.Logger) (*Reloader, error) {
	r := &Reloader{files: files, log: log}
	r.modTimes = r.statFiles()
	return r, r.load()
}

func (r *Reloader) load() error {
	certificate, err := tls.LoadX509KeyPair(r.files.Certificate, r.files.Key)
	if err != nil {
		return fmt.Errorf("load certificate and key: %w", err)
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

// LoadAuthority loads the certificates in a PEM file of certificate authorities.
func LoadAuthority(path string) (*x509.CertPool, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read certificate authority: %w", err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(text) {
		return nil, fmt.Errorf("certificate authority: %s contains no PEM certificate", path)
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

// Current returns the certificate, the authorities, and a generation that increases with each reload. It reloads the files if one has
// changed. If they cannot be loaded, the previous content stays in use, and the error is logged once while it stays the same.
func (r *Reloader) Current() (certificate tls.Certificate, roots *x509.CertPool, generation int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if modTimes := r.statFiles(); modTimes != r.modTimes {
		err := r.load()
		switch {
		case err == nil: // after an error modTimes stays as it is, so that the next call tries again: only one file of a pair may have been replaced yet
			r.modTimes = modTimes
			r.lastError = ""
		case err.Error() != r.lastError:
			r.lastError = err.Error()
			r.log.Error("certificate reload failed, the certificate in use is kept", "file", r.files.Certificate, "error", err)
		}
	}
	return r.certificate, r.roots, r.generation
}
