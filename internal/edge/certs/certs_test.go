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

// Changed files are used from the next call of Current on. Files that cannot be loaded leave the previous content in use, and each error is
// logged once.
func TestChangedFilesAreReloadedAndFaultyFilesAreIgnored(t *testing.T) {
	folder := t.TempDir()
	authority, err := fake.NewAuthority(folder, "authority")
	if err != nil {
		t.Fatal(err)
	}
	files := Files{filepath.Join(folder, "x.pem"), filepath.Join(folder, "x.key"), authority.File}
	modTime := time.Now()
	touch := func(path string) { // sets a later modification time, as file systems may record times coarsely
		t.Helper()
		modTime = modTime.Add(time.Minute)
		if err := os.Chtimes(path, modTime, modTime); err != nil {
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
	reloader, err := Open(files, slog.New(slog.NewTextHandler(&log, nil)))
	if err != nil {
		t.Fatal(err)
	}
	checkCurrent := func(wantName string, wantGeneration int) {
		t.Helper()
		pair, roots, generation := reloader.Current()
		leaf, err := x509.ParseCertificate(pair.Certificate[0])
		if err != nil || leaf.DNSNames[0] != wantName || generation != wantGeneration || roots == nil {
			t.Errorf("certificate for %v (error %v), generation %d; want %s, generation %d, with authorities",
				leaf.DNSNames, err, generation, wantName, wantGeneration)
		}
	}
	checkCurrent("first", 1)
	checkCurrent("first", 1)
	issue("second")
	checkCurrent("second", 2)
	if err := os.WriteFile(files.Authority, []byte("torn"), 0o600); err != nil {
		t.Fatal(err)
	}
	touch(files.Authority)
	checkCurrent("second", 2)
	checkCurrent("second", 2)
	if !log.Contains("contains no PEM certificate") {
		t.Error(log.String())
	}
	logged := log.String()
	checkCurrent("second", 2)
	if log.String() != logged {
		t.Error("the same error was logged again")
	}
	if _, err := Open(Files{Certificate: files.Certificate, Key: files.Authority}, slog.New(slog.DiscardHandler)); err == nil {
		t.Error("Open accepted a file without a private key as the key")
	}
}
