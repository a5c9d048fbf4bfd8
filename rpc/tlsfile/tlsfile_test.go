package tlsfile

import (
	"crypto/tls"
	"net"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/config"
	"github.com/rhubarbsaddle/rhubarbsaddle/rpc/tlsfile/tlstest"
)

// listen accepts TLS connections, answers each with a byte and closes it.
func listen(t *testing.T, server *tls.Config) string {
	l, err := tls.Listen("tcp", "127.0.0.1:0", server)
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go answer(conn)
		}
	}()
	return l.Addr().String()
}

func answer(conn net.Conn) {
	defer conn.Close()
	_, _ = conn.Write([]byte("x"))
}

// serial dials and returns the serial number of the server's certificate.
func serial(addr string, client *tls.Config) (int64, error) {
	conn, err := tls.Dial("tcp", addr, client)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	// The server checks the client's certificate after the client's handshake,
	// so that only a read tells.
	if _, err := conn.Read(make([]byte, 1)); err != nil {
		return 0, err
	}
	return conn.ConnectionState().PeerCertificates[0].SerialNumber.Int64(), nil
}

func load(t *testing.T, settings config.TLS) *Files {
	f, err := Load(settings)
	require.NoError(t, err)
	return f
}

func TestMutualTLSRefusesStrangers(t *testing.T) {
	ours, others := tlstest.NewAuthority(t), tlstest.NewAuthority(t)
	server := load(t, ours.Issue(t, t.TempDir(), 1))
	friend := load(t, ours.Issue(t, t.TempDir(), 2))
	stranger := load(t, others.Issue(t, t.TempDir(), 3))
	addr := listen(t, server.Server(true))
	got, err := serial(addr, friend.Client())
	require.NoError(t, err)
	require.EqualValues(t, 1, got)
	_, err = serial(addr, stranger.Client())
	require.Error(t, err, "a server of another CA is not trusted")
	unknown := stranger.Client()
	unknown.RootCAs = friend.Client().RootCAs
	_, err = serial(addr, unknown)
	require.Error(t, err, "a client of another CA is refused")
	unknown.Certificates = nil
	_, err = serial(addr, unknown)
	require.Error(t, err, "a client without a certificate is refused")
	_, err = serial(listen(t, server.Server(false)), unknown)
	require.NoError(t, err, "callers need no certificate")
}

func TestChangedFilesAreReloaded(t *testing.T) {
	ca := tlstest.NewAuthority(t)
	folder := t.TempDir()
	settings := ca.Issue(t, folder, 1)
	files := load(t, settings)
	addr := listen(t, files.Server(true))
	ca.Issue(t, folder, 2)
	later := time.Now().Add(time.Minute)
	require.NoError(t, os.Chtimes(settings.Cert, later, later))
	require.Eventually(t, func() bool {
		got, err := serial(addr, files.Client())
		return err == nil && got == 2
	}, 20*time.Second, 50*time.Millisecond)

	// Broken files leave the loaded ones in use.
	require.NoError(t, os.WriteFile(settings.Key, []byte("broken"), 0o600))
	files.mu.Lock()
	files.checked = time.Time{}
	files.mu.Unlock()
	got, err := serial(addr, files.Client())
	require.NoError(t, err)
	require.EqualValues(t, 2, got)
}

func TestLoadNamesTheFaultyFile(t *testing.T) {
	f, err := Load(config.TLS{})
	require.NoError(t, err)
	require.Nil(t, f, "no files mean plain text")
	require.False(t, f.Mutual())
	settings := tlstest.NewAuthority(t).Issue(t, t.TempDir(), 1)
	settings.CA += ".missing"
	_, err = Load(settings)
	var fault *FileError
	require.ErrorAs(t, err, &fault)
	require.Equal(t, settings.CA, fault.File)
}
