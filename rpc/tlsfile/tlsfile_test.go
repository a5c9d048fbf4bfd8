package tlsfile

import (
	"crypto/tls"
	"net"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/config"
	"github.com/rhubarbsaddle/rhubarbsaddle/standin/ca"
)

// testTimeout bounds waits that normally end much sooner.
const testTimeout = 30 * time.Second

// listen accepts TLS connections, writes one byte to each and closes it.
func listen(t *testing.T, c *tls.Config) string {
	l, err := tls.Listen("tcp", "127.0.0.1:0", c)
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func(conn net.Conn) {
				_, _ = conn.Write([]byte{1})
				_ = conn.Close()
			}(conn)
		}
	}()
	return l.Addr().String()
}

// dial reads one byte over TLS and returns the serial of the server's
// certificate.
func dial(addr string, c *tls.Config) (string, error) {
	conn, err := tls.DialWithDialer(&net.Dialer{Timeout: testTimeout}, "tcp", addr, c)
	if err != nil {
		return "", err
	}
	defer conn.Close()
	if _, err := conn.Read(make([]byte, 1)); err != nil {
		return "", err
	}
	return conn.ConnectionState().PeerCertificates[0].SerialNumber.String(), nil
}

func load(t *testing.T, settings config.TLS) *Files {
	files, err := Load(settings)
	require.NoError(t, err)
	return files
}

func newCA(t *testing.T) *ca.CA {
	authority, err := ca.New(t.TempDir())
	require.NoError(t, err)
	return authority
}

func issue(t *testing.T, authority *ca.CA, name string) config.TLS {
	files, err := authority.Issue(name)
	require.NoError(t, err)
	return files
}

func TestCertificateVerification(t *testing.T) {
	trustedCA, untrustedCA := newCA(t), newCA(t)
	server := load(t, issue(t, trustedCA, "server"))
	validClient := load(t, issue(t, trustedCA, "client")).Client()
	noCert := validClient.Clone()
	noCert.Certificates = nil
	untrustedCert := validClient.Clone()
	untrustedCert.Certificates = load(t, issue(t, untrustedCA, "client")).Client().Certificates
	otherRoots := load(t, issue(t, untrustedCA, "other")).Client()
	tests := []struct {
		name   string
		mutual bool
		client *tls.Config
		ok     bool
	}{
		{"mutual TLS, valid client certificate", true, validClient, true},
		{"mutual TLS, no client certificate", true, noCert, false},
		{"mutual TLS, client certificate of another CA", true, untrustedCert, false},
		{"server-only TLS, no client certificate", false, noCert, true},
		{"server certificate of another CA", false, otherRoots, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := dial(listen(t, server.Server(tt.mutual)), tt.client)
			require.Equal(t, tt.ok, err == nil, "%v", err)
		})
	}
}

func TestReloadKeepsCertificateUntilNewOneIsValid(t *testing.T) {
	own := newCA(t)
	settings := issue(t, own, "server")
	client := load(t, issue(t, own, "client")).Client()
	addr := listen(t, load(t, settings).Server(true))
	before, err := dial(addr, client)
	require.NoError(t, err)
	// After an invalid file is written, the loaded certificate stays in use.
	require.NoError(t, os.WriteFile(settings.Cert, []byte("broken"), 0o600))
	again, err := dial(addr, client)
	require.NoError(t, err)
	require.Equal(t, before, again)
	issue(t, own, "server")
	require.Eventually(t, func() bool {
		now, err := dial(addr, client)
		return err == nil && now != before
	}, testTimeout, 50*time.Millisecond)
}

func TestLoadErrors(t *testing.T) {
	files, err := Load(config.TLS{})
	require.NoError(t, err)
	require.Nil(t, files, "empty settings must mean plain text")
	good := issue(t, newCA(t), "server")
	for _, bad := range []config.TLS{
		{Cert: good.Cert},
		{CA: good.CA},
		{Cert: good.Cert, Key: good.Key, CA: good.Key},
		{Cert: good.Cert, Key: good.Key, CA: "no-such-file"},
	} {
		_, err := Load(bad)
		var e *FileError
		require.ErrorAs(t, err, &e)
	}
}
