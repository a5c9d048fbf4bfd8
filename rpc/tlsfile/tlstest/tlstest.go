// Package tlstest makes certificate authorities and certificates for tests.
package tlstest

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
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/config"
)

// Authority is a certificate authority.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	raw  []byte
}

// NewAuthority returns an authority with a key of its own.
func NewAuthority(t *testing.T) *Authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "test CA"},
		NotAfter:              time.Now().Add(time.Hour),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	require.NoError(t, err)
	cert, err := x509.ParseCertificate(raw)
	require.NoError(t, err)
	return &Authority{cert: cert, key: key, raw: raw}
}

// Issue writes a certificate for 127.0.0.1 with a serial number into a folder.
func (a *Authority) Issue(t *testing.T, folder string, serial int64) config.TLS {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial),
		NotAfter:     time.Now().Add(time.Hour),
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	require.NoError(t, err)
	keyRaw, err := x509.MarshalPKCS8PrivateKey(key)
	require.NoError(t, err)
	settings := config.TLS{
		Cert: filepath.Join(folder, "cert.pem"),
		Key:  filepath.Join(folder, "key.pem"),
		CA:   filepath.Join(folder, "ca.pem"),
	}
	writePEM(t, settings.Cert, "CERTIFICATE", raw)
	writePEM(t, settings.Key, "PRIVATE KEY", keyRaw)
	writePEM(t, settings.CA, "CERTIFICATE", a.raw)
	return settings
}

func writePEM(t *testing.T, file, kind string, raw []byte) {
	text := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: raw})
	require.NoError(t, os.WriteFile(file, text, 0o600))
}
