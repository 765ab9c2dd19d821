package peering

import (
	"crypto/tls"
	"errors"
	"fmt"
	"log/slog"

	"silvertrail/internal/edge/certs"
)

// Identity names the files that prove a gateway's site: a certificate whose DNS name is the site's, its key, and the
// authority that signs the certificates of all sites.
type Identity = certs.Files

// credentials are the current contents of an Identity's files. Files that are replaced are read for the next connection.
type credentials struct{ *certs.Reloader }

func newCredentials(files Identity, log *slog.Logger) (*credentials, error) {
	proof, err := certs.Open(files, log)
	if err != nil {
		return nil, fmt.Errorf("link: %w", err)
	}
	return &credentials{proof}, nil
}

// clientConfig returns the settings of a connection to a site.
func (c *credentials) clientConfig(site string) *tls.Config {
	pair, roots, _ := c.Current()
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		ServerName: site,
		RootCAs:    roots,
		NextProtos: []string{"h2"},
		// The certificate is sent even if the other end names other authorities, so that its log says what is wrong.
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return &pair, nil },
	}
}

// serverConfig returns the settings of a connection that is accepted.
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

// peerSite returns the configured site that a connection's client certificate names.
func peerSite(conn *tls.Conn, isPeer func(string) bool) (string, error) {
	chain := conn.ConnectionState().PeerCertificates
	if len(chain) == 0 {
		return "", errors.New("link: no certificate")
	}
	for _, name := range chain[0].DNSNames {
		if isPeer(name) {
			return name, nil
		}
	}
	return "", fmt.Errorf("link: the certificate names no sala that is known here: %q", chain[0].DNSNames)
}
