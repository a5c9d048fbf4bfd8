package fault

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// startServer serves a handler that counts its executions.
func startServer(t *testing.T) (*Server, string, *atomic.Int64) {
	var executions atomic.Int64
	s := NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		executions.Add(1)
		_, _ = io.WriteString(w, "ok")
	}))
	addr, err := s.Start("127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = s.Close() })
	return s, "http://" + addr, &executions
}

// get requests a URL and returns the status and the body, or the client's error.
func get(client *http.Client, url string, timeout time.Duration) (int, string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, "", err
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body), err
}

const (
	requestTimeout = 20 * time.Second
	hangTimeout    = 200 * time.Millisecond
)

func TestFaultsApplyToMatchingPathUpToTimes(t *testing.T) {
	s, url, executions := startServer(t)
	client := &http.Client{Transport: &http.Transport{}}
	resp, err := client.Post(url+"/fault", "", strings.NewReader(`{"path":"/a","times":1,"status":503}`))
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	status, _, err := get(client, url+"/b", requestTimeout)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	status, _, err = get(client, url+"/a", requestTimeout)
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, status)
	status, body, err := get(client, url+"/a", requestTimeout)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, "ok", body)
	require.Equal(t, 1, s.Injected())
	require.EqualValues(t, 2, executions.Load())
}

func TestRequestWithLostResponseIsExecuted(t *testing.T) {
	s, url, executions := startServer(t)
	s.SetFaults(Faults{LoseResponse: true, Times: 1})
	_, _, err := get(&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, url, requestTimeout)
	require.ErrorIs(t, err, io.EOF)
	require.EqualValues(t, 1, executions.Load())
}

func TestHangDoesNotExecute(t *testing.T) {
	s, url, executions := startServer(t)
	s.SetFaults(Faults{Hang: true})
	_, _, err := get(http.DefaultClient, url, hangTimeout)
	require.ErrorIs(t, err, context.DeadlineExceeded)
	require.Zero(t, executions.Load())
}

func TestMakeUnresponsiveAffectsOnlyOpenConnections(t *testing.T) {
	s, url, _ := startServer(t)
	oldClient := &http.Client{Transport: &http.Transport{}}
	_, _, err := get(oldClient, url, requestTimeout)
	require.NoError(t, err)
	s.MakeUnresponsive()
	_, _, err = get(oldClient, url, hangTimeout)
	require.ErrorIs(t, err, context.DeadlineExceeded)
	_, body, err := get(&http.Client{Transport: &http.Transport{}}, url, requestTimeout)
	require.NoError(t, err)
	require.Equal(t, "ok", body)
}

func TestDieClosesListenerAndConnections(t *testing.T) {
	_, url, _ := startServer(t)
	resp, err := http.Post(url+"/fault/die", "", nil)
	if err == nil {
		require.NoError(t, resp.Body.Close())
	}
	require.Eventually(t, func() bool {
		_, _, err := get(&http.Client{Transport: &http.Transport{}}, url, requestTimeout)
		return err != nil
	}, requestTimeout, 5*time.Millisecond)
}
