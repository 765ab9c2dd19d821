package certs

import (
	"crypto/x509"
	"log/slog"
	"os"
	"path/filepath"
	"testing"
	"time"

	"silvertrail/internal/testkit/fake"
	"silvertrail/internal/testkit/lbtest"
)

// Files that change hold from then on; those that can't be used change nothing, which is logged once for each fault.
func TestChangedFilesAreReloadedAndFaultyFilesAreIgnored(t *testing.T) {
	folder := t.TempDir()
	authority, err := fake.NewAuthority(folder, "authority")
	if err != nil {
		t.Fatal(err)
	}
	files := Files{filepath.Join(folder, "x.pem"), filepath.Join(folder, "x.key"), authority.File}
	step := time.Now()
	touch := func(path string) { // a file system may tell times in coarse steps
		t.Helper()
		step = step.Add(time.Minute)
		if err := os.Chtimes(path, step, step); err != nil {
			t.Fatal(err)
		}
	}
	issue := func(name string) {
		t.Helper()
		if err := authority.Issue(files.Certificate, files.Key, name, time.Now().Add(time.Hour)); err != nil {
			t.Fatal(err)
		}
		touch(files.Key)
		touch(files.Certificate)
	}
	issue("first")
	var log lbtest.Log
	p, err := Open(files, slog.New(slog.NewTextHandler(&log, nil)))
	if err != nil {
		t.Fatal(err)
	}
	shows := func(want string, number int) {
		t.Helper()
		pair, roots, nth := p.Current()
		leaf, err := x509.ParseCertificate(pair.Certificate[0])
		if err != nil || leaf.DNSNames[0] != want || nth != number || roots == nil {
			t.Errorf("%v, %v, number %d; want %s, number %d", leaf.DNSNames, err, nth, want, number)
		}
	}
	shows("first", 1)
	shows("first", 1)
	issue("second")
	shows("second", 2)
	if err := os.WriteFile(files.Authority, []byte("torn"), 0o600); err != nil {
		t.Fatal(err)
	}
	touch(files.Authority)
	shows("second", 2)
	shows("second", 2)
	if !log.Contains("holds no certificate") {
		t.Error(log.String())
	}
	said := log.String()
	shows("second", 2)
	if log.String() != said {
		t.Error("one fault was logged again")
	}
	if _, err := Open(Files{Certificate: files.Certificate, Key: files.Authority}, slog.New(slog.DiscardHandler)); err == nil {
		t.Error("a pair that does not fit was taken")
	}
}
