package peering

import (
	"crypto/tls"
	"errors"
	"fmt"
	"log/slog"

	"silvertrail/internal/edge/certs"
)

// Identity are the files that prove which sala a gateway is of: a certificate whose DNS name is the sala's, and the authority that
// signs those of all salas.
type Identity = certs.Files

type credentials struct{ *certs.Proof }

func newCredentials(files Identity, log *slog.Logger) (*credentials, error) {
	p, err := certs.Open(files, log)
	if err != nil {
		err = fmt.Errorf("link: %w", err)
	}
	return &credentials{p}, err
}

// clientConfig returns what a connection to a sala is made with.
func (p *credentials) clientConfig(sala string) *tls.Config {
	pair, roots, _ := p.Current()
	return &tls.Config{MinVersion: tls.VersionTLS13, ServerName: sala, RootCAs: roots, NextProtos: []string{"h2"},
		// Also where the other end's authorities are not this one's, so that its log tells what is wrong and not that nothing came.
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return &pair, nil }}
}

// serverConfig returns what a connection is taken with.
func (p *credentials) serverConfig() *tls.Config {
	pair, roots, _ := p.Current()
	return &tls.Config{MinVersion: tls.VersionTLS13, ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: roots, Certificates: []tls.Certificate{pair},
		NextProtos: []string{"h2"}}
}

// peerSite returns which of the known salas a taken connection's certificate names.
func peerSite(c *tls.Conn, known func(string) bool) (string, error) {
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
