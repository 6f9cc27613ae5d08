package config

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"sync"
	"time"
)

// certCheckInterval is the shortest time between two checks of the certificate
// files for changes.
const certCheckInterval = time.Second

// certReloader reloads a certificate when its files have changed.
type certReloader struct {
	files TLS

	mu        sync.Mutex
	cert      *tls.Certificate
	modTime   time.Time
	lastCheck time.Time
}

// get returns the current certificate. If changed files cannot be loaded, the
// last valid certificate stays in use, so that a partially written file does not
// interrupt service.
func (c *certReloader) get() (*tls.Certificate, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cert != nil && time.Since(c.lastCheck) < certCheckInterval {
		return c.cert, nil
	}
	c.lastCheck = time.Now()
	modTime, err := latestModTime(c.files.CertFile, c.files.KeyFile)
	if err == nil && (c.cert == nil || !modTime.Equal(c.modTime)) {
		var cert tls.Certificate
		if cert, err = tls.LoadX509KeyPair(c.files.CertFile, c.files.KeyFile); err == nil {
			c.cert, c.modTime = &cert, modTime
		}
	}
	if c.cert == nil {
		return nil, err
	}
	return c.cert, nil
}

// latestModTime returns the latest modification time of the files.
func latestModTime(files ...string) (time.Time, error) {
	var last time.Time
	for _, f := range files {
		info, err := os.Stat(f)
		if err != nil {
			return last, err
		}
		if info.ModTime().After(last) {
			last = info.ModTime()
		}
	}
	return last, nil
}

// ServerConfig returns the TLS configuration of a listener, or nil if TLS is not
// enabled. It fails if the files cannot be loaded now.
func (t *TLS) ServerConfig() (*tls.Config, error) {
	cfg, src, err := t.baseConfig()
	if cfg == nil || err != nil {
		return nil, err
	}
	cfg.GetCertificate = func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return src.get() }
	if cfg.RootCAs != nil {
		cfg.ClientCAs, cfg.ClientAuth = cfg.RootCAs, tls.RequireAndVerifyClientCert
	}
	return cfg, nil
}

// ClientConfig returns the TLS configuration for calls to listeners of the same
// kind, such as control listeners, or nil if TLS is not enabled.
func (t *TLS) ClientConfig() (*tls.Config, error) {
	cfg, src, err := t.baseConfig()
	if cfg == nil || err != nil {
		return nil, err
	}
	cfg.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return src.get() }
	return cfg, nil
}

// baseConfig loads the certificate and the CA certificates, which server and
// client configurations share.
func (t *TLS) baseConfig() (*tls.Config, *certReloader, error) {
	if !t.Enabled() {
		return nil, nil, nil
	}
	src := &certReloader{files: *t}
	if _, err := src.get(); err != nil {
		return nil, nil, fmt.Errorf("load certificate: %w", err)
	}
	cfg := &tls.Config{MinVersion: tls.VersionTLS13}
	if t.CAFile == "" {
		return cfg, src, nil
	}
	pem, err := os.ReadFile(t.CAFile)
	if err != nil {
		return nil, nil, err
	}
	cfg.RootCAs = x509.NewCertPool()
	if !cfg.RootCAs.AppendCertsFromPEM(pem) {
		return nil, nil, fmt.Errorf("%s: no PEM certificate", t.CAFile)
	}
	return cfg, src, nil
}

// PeerConfig returns a TLS configuration for both servers and clients of
// connections between hosts, or nil if TLS is not enabled.
func (t *TLS) PeerConfig() (*tls.Config, error) {
	cfg, err := t.ServerConfig()
	if cfg == nil || err != nil {
		return nil, err
	}
	get := cfg.GetCertificate
	cfg.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return get(nil) }
	return cfg, nil
}
