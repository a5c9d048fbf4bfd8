package local

import (
	"context"
	"net/http"
	"strings"
	"testing"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/front"
)

// countExecutions returns the number of calls that all engines have started.
func countExecutions(d *Deployment) int {
	n := 0
	for _, m := range d.Models() {
		n += m.Server.TotalExecutions()
	}
	return n
}

// TestAccountsCannotReachEachOthersPrograms uses the same program name with the
// API keys of two accounts.
func TestAccountsCannotReachEachOthersPrograms(t *testing.T) {
	d := start(t, smallOptions(t))
	ctx, cancel := context.WithTimeout(context.Background(), eventuallyTimeout)
	defer cancel()
	named := func(name string) option.RequestOption { return option.WithHeader(front.HeaderProgram, name) }
	owner := newClient(d.Entries()[0], named("p1"))
	first, err := owner.Chat.Completions.New(ctx, chatParams("hello"))
	require.NoError(t, err)
	answer := first.Choices[0].Message.Content

	other := newClient(d.Entries()[1], option.WithAPIKey(walkInKey))
	require.NoError(t, other.Delete(ctx, "programs/p1", nil, nil), "must end only the account's own program")
	before := countExecutions(d)
	var apiErr *openai.Error
	_, err = other.Chat.Completions.New(ctx, chatParams("hello", answer, "more"), named("circuit:p1"))
	require.ErrorAs(t, err, &apiErr)
	require.Equal(t, http.StatusBadRequest, apiErr.StatusCode)
	require.Contains(t, apiErr.RawJSON(), `"outcome":"not_run"`)
	require.Equal(t, before, countExecutions(d), "a call refused as not run was executed")

	_, err = owner.Chat.Completions.New(ctx, chatParams("hello", answer, "more"))
	require.NoError(t, err, "the owner's program must continue")
}

// TestInvalidRequestsExecuteNothing sends a wrong API key and an oversized body.
func TestInvalidRequestsExecuteNothing(t *testing.T) {
	d := start(t, smallOptions(t))
	ctx, cancel := context.WithTimeout(context.Background(), eventuallyTimeout)
	defer cancel()
	tests := []struct {
		name   string
		key    string
		text   string
		status int
	}{
		{"wrong key", "guess", "hello", http.StatusUnauthorized},
		{"oversized body", circuitKey, strings.Repeat("x", front.DefaultMaxBodyBytes), http.StatusRequestEntityTooLarge},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var apiErr *openai.Error
			c := newClient(d.Entries()[0], option.WithAPIKey(tt.key), option.WithMaxRetries(0))
			_, err := c.Chat.Completions.New(ctx, chatParams(tt.text))
			require.ErrorAs(t, err, &apiErr)
			require.Equal(t, tt.status, apiErr.StatusCode)
			require.Contains(t, apiErr.RawJSON(), `"outcome":"not_run"`)
		})
	}
	require.Zero(t, countExecutions(d))
}
