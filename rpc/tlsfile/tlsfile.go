// Package tlsfile builds TLS configurations from certificate files and reloads
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

// checkPeriod is the shortest time between two looks at the files.
const checkPeriod = time.Second

// FileError reports a certificate file that cannot be used.
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

// Files holds the loaded certificate files of one process.
type Files struct {
	settings config.TLS

	mu      sync.Mutex
	checked time.Time
	stamps  [3]time.Time
	cert    *tls.Certificate
	pool    *x509.CertPool
}

// Load reads the files that settings name. It returns nil if settings name
// none, which means plain text.
func Load(settings config.TLS) (*Files, error) {
	if settings.Cert == "" && settings.Key == "" && settings.CA == "" {
		return nil, nil
	}
	f := &Files{settings: settings}
	if err := f.read(); err != nil {
		return nil, err
	}
	f.stamps = f.stampsNow()
	f.checked = time.Now()
	return f, nil
}

// Mutual reports whether peers have to show a certificate.
func (f *Files) Mutual() bool { return f != nil && f.settings.CA != "" }

// Server returns the configuration of a listener. With mutual set and a CA in
// the settings, clients must show a certificate that the CA signed.
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

// Client returns the configuration of a dialler; it uses the files as they are
// at the time of the call.
func (f *Files) Client() *tls.Config {
	cert, pool := f.current()
	c := &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: pool, NextProtos: []string{"h2"}}
	if cert != nil {
		c.Certificates = []tls.Certificate{*cert}
	}
	return c
}

// current returns the certificate and the CA pool, after a reload if the files
// have changed. Files that cannot be read leave the loaded ones in use.
func (f *Files) current() (*tls.Certificate, *x509.CertPool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if time.Since(f.checked) < checkPeriod {
		return f.cert, f.pool
	}
	f.checked = time.Now()
	if now := f.stampsNow(); now != f.stamps && f.read() == nil {
		f.stamps = now
	}
	return f.cert, f.pool
}

func (f *Files) stampsNow() [3]time.Time {
	var stamps [3]time.Time
	for i, name := range []string{f.settings.Cert, f.settings.Key, f.settings.CA} {
		if info, err := os.Stat(name); err == nil {
			stamps[i] = info.ModTime()
		}
	}
	return stamps
}

// read loads all files and replaces the loaded ones only if all are good.
func (f *Files) read() error {
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
