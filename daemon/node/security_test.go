package node

import (
	"context"
	"crypto/tls"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/adapter/etcdjson"
	"github.com/rhubarbsaddle/rhubarbsaddle/config"
	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/invariant"
	"github.com/rhubarbsaddle/rhubarbsaddle/rpc/tlsfile"
	"github.com/rhubarbsaddle/rhubarbsaddle/standin/ca"
	"github.com/rhubarbsaddle/rhubarbsaddle/standin/kv"
)

// noopReducer ignores every event.
type noopReducer struct{}

func (noopReducer) Step(core.Event, core.Instant) []core.Effect { return nil }

type emptyVMList struct{}

func (emptyVMList) Read(context.Context) ([]core.VMInfo, error) { return nil, nil }

// startNode starts an entry node on loopback ports with the given TLS files.
func startNode(t *testing.T, files config.TLS) *Node {
	platform := kv.NewServer(kv.Options{})
	addr, err := platform.Start("127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = platform.Close() })
	client, err := etcdjson.New(etcdjson.Options{Endpoints: []string{addr}})
	require.NoError(t, err)
	n, err := New(Options{
		Settings: config.Node{
			VM: "e1", Domain: "d", Role: "entry", TLS: files,
			Listen: config.Listen{Peers: "127.0.0.1:0", Operators: "127.0.0.1:0"},
		},
		Store:     client,
		VMs:       emptyVMList{},
		Reducer:   func(core.Node, *invariant.Recorder) core.Reducer { return noopReducer{} },
		RunEffect: func(core.Effect) {},
		Status:    func() any { return nil },
	})
	require.NoError(t, err)
	require.NoError(t, n.Start())
	t.Cleanup(n.Close)
	return n
}

func TestPortsRequireClientCertificates(t *testing.T) {
	issue := func(authority *ca.CA, name string) config.TLS {
		settings, err := authority.Issue(name)
		require.NoError(t, err)
		return settings
	}
	own, err := ca.New(t.TempDir())
	require.NoError(t, err)
	foreign, err := ca.New(t.TempDir())
	require.NoError(t, err)
	n := startNode(t, issue(own, "server"))
	load := func(authority *ca.CA) *tls.Config {
		files, err := tlsfile.Load(issue(authority, "client"))
		require.NoError(t, err)
		return files.Client()
	}
	validClient := load(own)
	noCert := validClient.Clone()
	noCert.Certificates = nil
	untrustedCert := validClient.Clone()
	untrustedCert.Certificates = load(foreign).Certificates
	get := func(addr string, c *tls.Config) (int, error) {
		client := &http.Client{Transport: &http.Transport{TLSClientConfig: c, ForceAttemptHTTP2: true}}
		resp, err := client.Get("https://" + addr + "/healthz")
		if err != nil {
			return 0, err
		}
		return resp.StatusCode, resp.Body.Close()
	}
	for _, addr := range []string{n.OperatorAddr(), n.PeerAddr()} {
		_, err := get(addr, validClient)
		require.NoError(t, err)
		for _, c := range []*tls.Config{noCert, untrustedCert} {
			_, err := get(addr, c)
			require.Error(t, err)
		}
		resp, err := http.Get("http://" + addr + "/healthz")
		if err == nil {
			require.Equal(t, http.StatusBadRequest, resp.StatusCode, "plain text")
			require.NoError(t, resp.Body.Close())
		}
	}
	status, err := get(n.OperatorAddr(), validClient)
	require.NoError(t, err)
	require.NotEqual(t, http.StatusNotFound, status)
}
