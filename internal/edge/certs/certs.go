// Package certs keeps the certificate that an end of TLS shows, and the authorities that it believes, as their files say
// now: they may be replaced at any time.
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

// Files are a certificate with its key, and the authority that signs those of the other ends; empty: there is none. They
// are read again when they have changed, for the connections that are made from then on.
type Files struct {
	Certificate, Key, Authority string
}

// Reloader is what files said last.
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

// Open reads files for the first time.
func Open(files Files, log *slog.Logger) (*Reloader, error) {
	p := &Reloader{files: files, log: log}
	p.modTimes = p.statFiles()
	return p, p.read()
}

func (p *Reloader) read() error {
	pair, err := tls.LoadX509KeyPair(p.files.Certificate, p.files.Key)
	if err != nil {
		return fmt.Errorf("certificate: %w", err)
	}
	var roots *x509.CertPool
	if p.files.Authority != "" {
		if roots, err = LoadAuthority(p.files.Authority); err != nil {
			return err
		}
	}
	p.certificate, p.roots = pair, roots
	p.generation++
	return nil
}

// LoadAuthority reads the authorities of a file.
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

func (p *Reloader) statFiles() (times [3]time.Time) {
	for i, path := range []string{p.files.Certificate, p.files.Key, p.files.Authority} {
		if info, err := os.Stat(path); err == nil {
			times[i] = info.ModTime()
		}
	}
	return times
}

// Current returns what the files say now, and a number that changes with it. Files that can't be used change nothing, which
// is logged once.
func (p *Reloader) Current() (pair tls.Certificate, roots *x509.CertPool, nth int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if times := p.statFiles(); times != p.modTimes {
		err := p.read()
		switch {
		case err == nil:
			p.modTimes, p.lastError = times, "" // a pair that is half replaced is read again
		case err.Error() != p.lastError:
			p.lastError = err.Error()
			p.log.Error("the certificate in use is kept", "file", p.files.Certificate, "error", err)
		}
	}
	return p.certificate, p.roots, p.generation
}
