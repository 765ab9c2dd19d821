package link

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"sync"
	"time"
)

// Identity are the files that prove which sala a gateway is of: a certificate whose DNS name is the sala's, and the authority that
// signs those of all salas. They are read again when they have changed, for the connections that are made from then on.
type Identity struct {
	Certificate, Key, Authority string
}

// proof is an identity as it was read last.
type proof struct {
	files Identity
	log   *slog.Logger

	mu     sync.Mutex
	times  [3]time.Time
	pair   tls.Certificate
	roots  *x509.CertPool
	failed string
}

func newProof(files Identity, log *slog.Logger) (*proof, error) {
	p := &proof{files: files, log: log}
	return p, p.read()
}

func (p *proof) read() error {
	pair, err := tls.LoadX509KeyPair(p.files.Certificate, p.files.Key)
	if err != nil {
		return fmt.Errorf("link: certificate: %w", err)
	}
	text, err := os.ReadFile(p.files.Authority)
	if err != nil {
		return fmt.Errorf("link: authority: %w", err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(text) {
		return fmt.Errorf("link: authority: %s holds no certificate", p.files.Authority)
	}
	p.pair, p.roots = pair, roots
	return nil
}

// current returns what the files say now. Files that can't be used change nothing, which is logged once.
func (p *proof) current() (tls.Certificate, *x509.CertPool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var times [3]time.Time
	for i, path := range []string{p.files.Certificate, p.files.Key, p.files.Authority} {
		if info, err := os.Stat(path); err == nil {
			times[i] = info.ModTime()
		}
	}
	if times != p.times {
		err := p.read()
		switch {
		case err == nil:
			p.times, p.failed = times, "" // a pair that is half replaced is read again
		case err.Error() != p.failed:
			p.failed = err.Error()
			p.log.Error("link: the certificate in use is kept", "error", err)
		}
	}
	return p.pair, p.roots
}

// client returns what a connection to a sala is made with.
func (p *proof) client(sala string) *tls.Config {
	pair, roots := p.current()
	return &tls.Config{MinVersion: tls.VersionTLS13, ServerName: sala, RootCAs: roots, NextProtos: []string{"h2"},
		// Also where the other end's authorities are not this one's, so that its log tells what is wrong and not that nothing came.
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return &pair, nil }}
}

// server returns what a connection is taken with.
func (p *proof) server() *tls.Config {
	pair, roots := p.current()
	return &tls.Config{MinVersion: tls.VersionTLS13, ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: roots, Certificates: []tls.Certificate{pair},
		NextProtos: []string{"h2"}}
}

// caller returns which of the known salas a taken connection's certificate names.
func caller(c *tls.Conn, known func(string) bool) (string, error) {
	chain := c.ConnectionState().PeerCertificates
	if len(chain) == 0 {
		return "", errors.New("link: no certificate")
	}
	for _, name := range chain[0].DNSNames {
		if known(name) {
			return name, nil
		}
	}
	return "", fmt.Errorf("link: the certificate names no sala that is known here: %q", chain[0].DNSNames)
}
