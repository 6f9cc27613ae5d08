package config

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// writeCert writes a self-signed certificate with the given serial number, and
// sets the modification time of its files.
func writeCert(t *testing.T, files TLS, serial int64, modTime time.Time) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(serial), NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	raw, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	for file, block := range map[string]*pem.Block{files.CertFile: {Type: "CERTIFICATE", Bytes: der}, files.KeyFile: {Type: "PRIVATE KEY", Bytes: raw}} {
		if err := os.WriteFile(file, pem.EncodeToMemory(block), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Chtimes(file, modTime, modTime); err != nil {
			t.Fatal(err)
		}
	}
}

// Guards against a renewed certificate that takes effect only after a restart, and
// against a partially written file that interrupts service.
func TestCertificateReload(t *testing.T) {
	folder := t.TempDir()
	files := TLS{CertFile: filepath.Join(folder, "cert.pem"), KeyFile: filepath.Join(folder, "key.pem")}
	now := time.Now()
	writeCert(t, files, 1, now)
	src := &certReloader{files: files}
	serial := func() int64 {
		t.Helper()
		src.lastCheck = time.Time{} // force a check of the files
		cert, err := src.get()
		if err != nil {
			t.Fatal(err)
		}
		leaf, err := x509.ParseCertificate(cert.Certificate[0])
		if err != nil {
			t.Fatal(err)
		}
		return leaf.SerialNumber.Int64()
	}
	if got := serial(); got != 1 {
		t.Errorf("serial %d, want 1", got)
	}
	writeCert(t, files, 2, now.Add(time.Minute))
	if got := serial(); got != 2 {
		t.Errorf("serial %d after renewal, want 2", got)
	}
	if err := os.WriteFile(files.CertFile, []byte("half"), 0o600); err != nil {
		t.Fatal(err)
	}
	if got := serial(); got != 2 {
		t.Errorf("serial %d with a partially written file, want 2", got)
	}
	files.CAFile = files.KeyFile // no certificate in it
	if _, err := files.ServerConfig(); err == nil {
		t.Error("CA file without certificates is accepted")
	}
	var none TLS
	if cfg, err := none.PeerConfig(); cfg != nil || err != nil {
		t.Errorf("TLS not enabled: config %v, error %v, want neither", cfg, err)
	}
}
