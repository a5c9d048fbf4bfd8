// Package ca is a stand-in for the operators' certificate authority. Its
// certificates are valid for 127.0.0.1 and for one hour from their creation.
package ca

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/config"
)

// A certificate is valid from validity before its creation until validity after
// it.
const validity = time.Hour

// CA signs certificates and writes their files to a directory.
type CA struct {
	dir    string
	cert   *x509.Certificate
	key    *ecdsa.PrivateKey
	serial int64
}

// New returns a CA with a new key and writes its certificate to ca.pem in dir.
func New(dir string) (*CA, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	ca := &CA{dir: dir, key: key}
	template := ca.template("stand-in CA")
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, err
	}
	if ca.cert, err = x509.ParseCertificate(der); err != nil {
		return nil, err
	}
	return ca, writePEM(ca.path("ca"), "CERTIFICATE", der)
}

// template returns an unsigned certificate that is valid now, with the next
// serial number.
func (ca *CA) template(name string) *x509.Certificate {
	ca.serial++
	return &x509.Certificate{
		SerialNumber: big.NewInt(ca.serial),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    time.Now().Add(-validity),
		NotAfter:     time.Now().Add(validity),
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
	}
}

// path returns the path of a PEM file of the CA.
func (ca *CA) path(name string) string { return filepath.Join(ca.dir, name+".pem") }

// Issue writes a certificate and its key to files that are called after name,
// and returns the TLS settings that refer to these files. Another call with the
// same name replaces both files.
func (ca *CA) Issue(name string) (config.TLS, error) {
	settings := config.TLS{Cert: ca.path(name), Key: ca.path(name + "-key"), CA: ca.path("ca")}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return settings, err
	}
	template := ca.template(name)
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, ca.cert, &key.PublicKey, ca.key)
	if err != nil {
		return settings, err
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return settings, err
	}
	if err := writePEM(settings.Cert, "CERTIFICATE", der); err != nil {
		return settings, err
	}
	return settings, writePEM(settings.Key, "EC PRIVATE KEY", keyDER)
}

// writePEM writes one PEM block to a file.
func writePEM(path, kind string, der []byte) error {
	data := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	return os.WriteFile(path, data, 0o600)
}
