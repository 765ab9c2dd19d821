package xds

import (
	"cmp"
	"crypto/tls"
	"log/slog"
	"net"

	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"silvertrail/internal/edge/certs"
	"silvertrail/internal/xds/bootstrap"
)

// Credentials returns the transport credentials for a control plane. Certificates are read again for each connection.
func Credentials(p bootstrap.ControlPlane, log *slog.Logger) (credentials.TransportCredentials, error) {
	if p.Insecure {
		return insecure.NewCredentials(), nil
	}
	config := &tls.Config{MinVersion: tls.VersionTLS12, ServerName: cmp.Or(p.ServerName, hostOf(p.Address))}
	if p.TLS == (certs.Files{}) {
		return credentials.NewTLS(config), nil
	}
	if p.TLS.Certificate == "" {
		roots, err := certs.LoadAuthority(p.TLS.Authority)
		config.RootCAs = roots
		return credentials.NewTLS(config), err
	}
	own, err := certs.Open(p.TLS, log)
	if err != nil {
		return nil, err
	}
	certificate, roots, _ := own.Current()
	config.RootCAs = roots
	config.Certificates = []tls.Certificate{certificate}
	return credentials.NewTLS(config), nil
}

// hostOf returns the host of an address, or the whole address if it has no port.
func hostOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return host
}
