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

// executions returns the number of answers that all engines have begun.
func executions(d *Deployment) int {
	n := 0
	for _, m := range d.Models() {
		n += m.Server.TotalExecutions()
	}
	return n
}

// TestAccountsCannotReachEachOthersPrograms uses one program name with the keys
// of two accounts.
func TestAccountsCannotReachEachOthersPrograms(t *testing.T) {
	d := start(t, smallOptions(t))
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	named := func(name string) option.RequestOption { return option.WithHeader(front.HeaderProgram, name) }
	owner := clientOf(d.Entries()[0], named("p1"))
	first, err := owner.Chat.Completions.New(ctx, ask("hello"))
	require.NoError(t, err)
	said := first.Choices[0].Message.Content

	other := clientOf(d.Entries()[1], option.WithAPIKey(walkInKey))
	require.NoError(t, other.Delete(ctx, "programs/p1", nil, nil), "ends nothing but a program of its own")
	before := executions(d)
	var refused *openai.Error
	_, err = other.Chat.Completions.New(ctx, ask("hello", said, "more"), named("circuit:p1"))
	require.ErrorAs(t, err, &refused)
	require.Equal(t, http.StatusBadRequest, refused.StatusCode)
	require.Contains(t, refused.RawJSON(), `"outcome":"not_run"`)
	require.Equal(t, before, executions(d), "a refusal as not run executes nothing")

	_, err = owner.Chat.Completions.New(ctx, ask("hello", said, "more"))
	require.NoError(t, err, "the owner's program goes on")
}

// TestUnfitRequestsRunNothing sends a wrong key and an oversized body.
func TestUnfitRequestsRunNothing(t *testing.T) {
	d := start(t, smallOptions(t))
	ctx, cancel := context.WithTimeout(context.Background(), patience)
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
			var refused *openai.Error
			c := clientOf(d.Entries()[0], option.WithAPIKey(tt.key), option.WithMaxRetries(0))
			_, err := c.Chat.Completions.New(ctx, ask(tt.text))
			require.ErrorAs(t, err, &refused)
			require.Equal(t, tt.status, refused.StatusCode)
			require.Contains(t, refused.RawJSON(), `"outcome":"not_run"`)
		})
	}
	require.Zero(t, executions(d))
}
