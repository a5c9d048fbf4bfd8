// Package ca is a stand-in for the certificate authority of the operators. Its
// certificates are valid for 127.0.0.1 and an hour.
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

// validity is how long certificates are valid.
const validity = time.Hour

// CA signs certificates and writes their files into a folder.
type CA struct {
	folder string
	cert   *x509.Certificate
	key    *ecdsa.PrivateKey
	serial int64
}

// New returns a CA with a new key.
func New(folder string) (*CA, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	ca := &CA{folder: folder, key: key}
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

// template returns a certificate that is valid now.
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

// path returns the path of a file of the CA.
func (ca *CA) path(name string) string { return filepath.Join(ca.folder, name+".pem") }

// Issue writes a certificate and its key under a name and returns the settings
// that use them. A second call with the name replaces the files.
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

// writePEM writes one block.
func writePEM(path, kind string, der []byte) error {
	data := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	return os.WriteFile(path, data, 0o600)
}
