package fake

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"os"
	"path/filepath"
	"time"
)

// Authority signs certificates for salas, as an operator's own would.
type Authority struct {
	File string // its own certificate

	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// NewAuthority makes an authority and writes its certificate into a folder.
func NewAuthority(folder, name string) (*Authority, error) {
	a := &Authority{File: filepath.Join(folder, name+".pem")}
	var err error
	if a.key, err = ecdsa.GenerateKey(elliptic.P256(), rand.Reader); err != nil {
		return nil, fmt.Errorf("authority: %w", err)
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name}, NotBefore: time.Now().Add(-time.Hour),
		NotAfter: time.Now().Add(24 * time.Hour), IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign}
	text, err := x509.CreateCertificate(rand.Reader, template, template, &a.key.PublicKey, a.key)
	if err != nil {
		return nil, fmt.Errorf("authority: %w", err)
	}
	if a.cert, err = x509.ParseCertificate(text); err != nil {
		return nil, fmt.Errorf("authority: %w", err)
	}
	return a, writePEM(a.File, "CERTIFICATE", text)
}

func writePEM(path, kind string, text []byte) error {
	if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: text}), 0o600); err != nil {
		return fmt.Errorf("authority: %w", err)
	}
	return nil
}

// Issue writes a certificate for a name and its key to files, good until the time told.
func (a *Authority) Issue(certificate, key, name string, until time.Time) error {
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return fmt.Errorf("authority: %w", err)
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: name}, DNSNames: []string{name},
		NotBefore: time.Now().Add(-2 * time.Hour), NotAfter: until, KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}}
	text, err := x509.CreateCertificate(rand.Reader, template, a.cert, &k.PublicKey, a.key)
	if err != nil {
		return fmt.Errorf("authority: %w", err)
	}
	secret, err := x509.MarshalECPrivateKey(k)
	if err != nil {
		return fmt.Errorf("authority: %w", err)
	}
	if err := writePEM(key, "EC PRIVATE KEY", secret); err != nil {
		return err
	}
	return writePEM(certificate, "CERTIFICATE", text)
}
