// Package tlsfile creates TLS configurations from certificate files and reloads
// the files when they change.
package tlsfile

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/config"
)

// checkPeriod is the minimum time between two checks for changed files.
const checkPeriod = time.Second

// FileError reports a certificate file that cannot be loaded.
type FileError struct {
	// Step is the failed step, such as "load key pair".
	Step string
	File string
	Err  error
}

// Error returns the step, the file and the cause.
func (e *FileError) Error() string { return fmt.Sprintf("tls: %s %s: %v", e.Step, e.File, e.Err) }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Err }

// Files holds the loaded certificate files of a process. It is safe for
// concurrent use.
type Files struct {
	settings config.TLS

	mu        sync.Mutex
	lastCheck time.Time
	modTimes  [3]time.Time
	cert      *tls.Certificate
	pool      *x509.CertPool
}

// Load loads the files given in settings. It returns nil without an error if the
// settings contain none, which means plain text.
func Load(settings config.TLS) (*Files, error) {
	if settings.Cert == "" && settings.Key == "" && settings.CA == "" {
		return nil, nil
	}
	f := &Files{settings: settings}
	if err := f.reload(); err != nil {
		return nil, err
	}
	f.modTimes = f.currentModTimes()
	f.lastCheck = time.Now()
	return f, nil
}

// Mutual reports whether peers must present a certificate.
func (f *Files) Mutual() bool { return f != nil && f.settings.CA != "" }

// Server returns the TLS configuration for a listener. Each new connection uses the
// certificates that are current when it is accepted. If mutual is true and the
// settings contain a CA, clients must present a certificate signed by the CA.
func (f *Files) Server(mutual bool) *tls.Config {
	base := &tls.Config{MinVersion: tls.VersionTLS13, NextProtos: []string{"h2", "http/1.1"}}
	base.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) {
		cert, pool := f.current()
		c := base.Clone()
		c.GetConfigForClient = nil
		c.Certificates = []tls.Certificate{*cert}
		if mutual && f.Mutual() {
			c.ClientAuth = tls.RequireAndVerifyClientCert
			c.ClientCAs = pool
		}
		return c, nil
	}
	return base
}

// Client returns the TLS configuration for a client, with the certificates that are
// current when Client is called.
func (f *Files) Client() *tls.Config {
	cert, pool := f.current()
	c := &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: pool, NextProtos: []string{"h2"}}
	if cert != nil {
		c.Certificates = []tls.Certificate{*cert}
	}
	return c
}

// current returns the certificate and the CA pool. It reloads the files if they
// have changed. If reloading fails, the certificates loaded before stay in use.
func (f *Files) current() (*tls.Certificate, *x509.CertPool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if time.Since(f.lastCheck) < checkPeriod {
		return f.cert, f.pool
	}
	f.lastCheck = time.Now()
	if now := f.currentModTimes(); now != f.modTimes && f.reload() == nil {
		f.modTimes = now
	}
	return f.cert, f.pool
}

func (f *Files) currentModTimes() [3]time.Time {
	var modTimes [3]time.Time
	for i, name := range []string{f.settings.Cert, f.settings.Key, f.settings.CA} {
		if info, err := os.Stat(name); err == nil {
			modTimes[i] = info.ModTime()
		}
	}
	return modTimes
}

// reload loads all files and replaces the loaded ones only if all are valid.
func (f *Files) reload() error {
	cert, err := tls.LoadX509KeyPair(f.settings.Cert, f.settings.Key)
	if err != nil {
		return &FileError{Step: "load key pair", File: f.settings.Cert, Err: err}
	}
	var pool *x509.CertPool
	if f.settings.CA != "" {
		raw, err := os.ReadFile(f.settings.CA)
		if err != nil {
			return &FileError{Step: "read CA", File: f.settings.CA, Err: err}
		}
		pool = x509.NewCertPool()
		if !pool.AppendCertsFromPEM(raw) {
			return &FileError{Step: "parse CA", File: f.settings.CA, Err: x509.ErrUnsupportedAlgorithm}
		}
	}
	f.cert = &cert
	f.pool = pool
	return nil
}
