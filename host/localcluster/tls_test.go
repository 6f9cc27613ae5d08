package localcluster

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gooseberrypond/host/config"
)

// writeCertificate writes a self-signed certificate for the addresses and its key.
func writeCertificate(t *testing.T, addresses []net.IP) config.TLS {
	t.Helper()
	folder := t.TempDir()
	files := config.TLS{CertFile: filepath.Join(folder, "cert.pem"), KeyFile: filepath.Join(folder, "key.pem"), CAFile: filepath.Join(folder, "cert.pem")}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IPAddresses: addresses, IsCA: true, BasicConstraintsValid: true,
		KeyUsage:    x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
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
	}
	return files
}

// Guards against hosts that cannot connect to each other over TLS with client
// certificates, and against calls that are answered without a certificate.
func TestTLSBetweenHosts(t *testing.T) {
	const base = "127.63.7"
	var addresses []net.IP
	for i := range 4 {
		addresses = append(addresses, net.ParseIP(base+"."+string(rune('1'+i))))
	}
	files := writeCertificate(t, addresses)
	b := newTestbedWith(t, Options{Control: 3, Entry: 1, AddressPrefix: base, TLS: files})
	cfg, err := files.ClientConfig()
	if err != nil {
		t.Fatal(err)
	}
	b.putCatalogue(b.ClientWith(cfg))
	for {
		if version, _ := b.Nodes[3].Versions(); version == 1 {
			break
		}
		if err := Pause(b.ctx); err != nil {
			t.Fatal("the entry host did not get the catalogue over TLS")
		}
	}
	ctx, cancel := context.WithTimeout(b.ctx, 500*time.Millisecond)
	defer cancel()
	anonymous := cfg.Clone()
	anonymous.GetClientCertificate = nil
	if _, err := b.ClientWith(anonymous).Catalogue(ctx); err == nil {
		t.Error("a call without a client certificate succeeded")
	}
}
