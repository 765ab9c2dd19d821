package lbtest

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// Authority signs certificates for a test.
type Authority struct {
	t    testing.TB
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	File string // its own certificate
}

// NewAuthority returns an authority whose files stand in a folder.
func NewAuthority(t testing.TB, folder, name string) *Authority {
	t.Helper()
	a := &Authority{t: t, File: filepath.Join(folder, name+".pem")}
	a.key = a.newKey()
	template := &x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name}, NotBefore: time.Now().Add(-time.Hour),
		NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign}
	text, err := x509.CreateCertificate(rand.Reader, template, template, &a.key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	if a.cert, err = x509.ParseCertificate(text); err != nil {
		t.Fatal(err)
	}
	a.write(a.File, "CERTIFICATE", text)
	return a
}

func (a *Authority) newKey() *ecdsa.PrivateKey {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		a.t.Fatal(err)
	}
	return key
}

func (a *Authority) write(path, kind string, text []byte) {
	a.t.Helper()
	if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: text}), 0o600); err != nil {
		a.t.Fatal(err)
	}
}

// Issue writes a certificate for a name and its key to files, good until the time told.
func (a *Authority) Issue(certificate, key, name string, until time.Time) {
	a.t.Helper()
	k := a.newKey()
	template := &x509.Certificate{SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: name}, DNSNames: []string{name},
		NotBefore: time.Now().Add(-2 * time.Hour), NotAfter: until, KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}}
	text, err := x509.CreateCertificate(rand.Reader, template, a.cert, &k.PublicKey, a.key)
	if err != nil {
		a.t.Fatal(err)
	}
	secret, err := x509.MarshalECPrivateKey(k)
	if err != nil {
		a.t.Fatal(err)
	}
	a.write(key, "EC PRIVATE KEY", secret)
	a.write(certificate, "CERTIFICATE", text)
}
