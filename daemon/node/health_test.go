package node

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/config"
)

func TestHealthCheckFailsWhileReducerIsUnhealthy(t *testing.T) {
	n := startNode(t, config.TLS{})
	n.options.UnhealthyReason = func() string { return "isolated" }
	w := httptest.NewRecorder()
	n.ServeHealth(w, httptest.NewRequest(http.MethodGet, "/healthz", nil))
	require.Equal(t, http.StatusServiceUnavailable, w.Code)
	require.Contains(t, w.Body.String(), "isolated")
}
