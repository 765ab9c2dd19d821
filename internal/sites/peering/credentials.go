package peering

import (
	"crypto/tls"
	"errors"
	"fmt"
	"log/slog"

	"silvertrail/internal/edge/certs"
)

// Identity names the files that authenticate a gateway: a certificate whose DNS name is the gateway's site, the private
// key, and the certificate authority that signs the certificates of all sites.
type Identity = certs.Files

// credentials hold the current contents of the files of an Identity. Replaced files apply to new connections.
type credentials struct{ *certs.Reloader }

func newCredentials(files Identity, log *slog.Logger) (*credentials, error) {
	reloader, err := certs.Open(files, log)
	if err != nil {
		return nil, fmt.Errorf("link: %w", err)
	}
	return &credentials{reloader}, nil
}

// clientConfig returns the TLS configuration for a connection to a site.
func (c *credentials) clientConfig(site string) *tls.Config {
	pair, roots, _ := c.Current()
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		ServerName: site,
		RootCAs:    roots,
		NextProtos: []string{"h2"},
		// The certificate is sent even if the server does not name its authority as acceptable. The server then rejects
		// it and logs the reason.
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return &pair, nil },
	}
}

// serverConfig returns the TLS configuration for an accepted connection. It requires a client certificate.
func (c *credentials) serverConfig() *tls.Config {
	pair, roots, _ := c.Current()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    roots,
		Certificates: []tls.Certificate{pair},
		NextProtos:   []string{"h2"},
	}
}

// peerSite returns the first DNS name of the client certificate that is a configured site.
func peerSite(conn *tls.Conn, isPeer func(string) bool) (string, error) {
	chain := conn.ConnectionState().PeerCertificates
	if len(chain) == 0 {
		return "", errors.New("link: the client sent no certificate")
	}
	for _, name := range chain[0].DNSNames {
		if isPeer(name) {
			return name, nil
		}
	}
	return "", fmt.Errorf("link: the certificate names no sala that is known here: %q", chain[0].DNSNames)
}
