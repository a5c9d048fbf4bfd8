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

// start serves a handler that counts its executions.
func start(t *testing.T) (*Server, string, *atomic.Int64) {
	var runs atomic.Int64
	s := NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		runs.Add(1)
		_, _ = io.WriteString(w, "ok")
	}))
	addr, err := s.Start("127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = s.Close() })
	return s, "http://" + addr, &runs
}

// get returns the status and the body, or the error of the client.
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
	generous = 20 * time.Second
	short    = 200 * time.Millisecond
)

func TestFaultsHitTheirPathAndNumber(t *testing.T) {
	s, url, runs := start(t)
	client := &http.Client{Transport: &http.Transport{}}
	resp, err := client.Post(url+"/fault", "", strings.NewReader(`{"path":"/a","times":1,"status":503}`))
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	status, _, err := get(client, url+"/b", generous)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	status, _, err = get(client, url+"/a", generous)
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, status)
	status, body, err := get(client, url+"/a", generous)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, "ok", body)
	require.Equal(t, 1, s.Injected())
	require.EqualValues(t, 2, runs.Load())
}

func TestLostAnswerTakesEffect(t *testing.T) {
	s, url, runs := start(t)
	s.SetFaults(Faults{LoseResponse: true, Times: 1})
	_, _, err := get(&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, url, generous)
	require.ErrorIs(t, err, io.EOF)
	require.EqualValues(t, 1, runs.Load())
}

func TestHangDoesNotExecute(t *testing.T) {
	s, url, runs := start(t)
	s.SetFaults(Faults{Hang: true})
	_, _, err := get(http.DefaultClient, url, short)
	require.ErrorIs(t, err, context.DeadlineExceeded)
	require.Zero(t, runs.Load())
}

func TestSilenceHitsOpenConnectionsOnly(t *testing.T) {
	s, url, _ := start(t)
	old := &http.Client{Transport: &http.Transport{}}
	_, _, err := get(old, url, generous)
	require.NoError(t, err)
	s.MakeUnresponsive()
	_, _, err = get(old, url, short)
	require.ErrorIs(t, err, context.DeadlineExceeded)
	_, body, err := get(&http.Client{Transport: &http.Transport{}}, url, generous)
	require.NoError(t, err)
	require.Equal(t, "ok", body)
}

func TestDieClosesConnections(t *testing.T) {
	_, url, _ := start(t)
	resp, err := http.Post(url+"/fault/die", "", nil)
	if err == nil {
		require.NoError(t, resp.Body.Close())
	}
	require.Eventually(t, func() bool {
		_, _, err := get(&http.Client{Transport: &http.Transport{}}, url, generous)
		return err != nil
	}, generous, 5*time.Millisecond)
}
