package shed

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

func TestAdmitByShare(t *testing.T) {
	shares := []AccountShare{
		{Account: "small", Weight: 1, Programs: 1},
		{Account: "equal", Weight: 1, Programs: 10},
		{Account: "large", Weight: 1, Programs: 19},
		{Account: "heavy", Weight: 3, Programs: 20},
	}
	tests := []struct {
		name    string
		pool    Pool
		account string
		want    bool
	}{
		{"no load", Pool{Waiting: 0, Limit: 10}, "large", true},
		{"fewer calls wait than the limit", Pool{Waiting: 9, Limit: 10}, "large", true},
		{"as many calls wait as the limit: above fair share", Pool{Waiting: 10, Limit: 10}, "large", false},
		{"as many calls wait as the limit: below fair share", Pool{Waiting: 10, Limit: 10}, "small", true},
		{"weight counts", Pool{Waiting: 10, Limit: 10}, "heavy", true},
		{"more load shrinks the share", Pool{Waiting: 30, Limit: 10}, "heavy", false},
		{"more load, small account", Pool{Waiting: 30, Limit: 10}, "small", true},
		{"an account without programs", Pool{Waiting: 30, Limit: 10}, "new", true},
		{"overload refuses all", Pool{Waiting: 40, Limit: 10}, "small", false},
		{"unknown capacity", Pool{Waiting: 40}, "small", true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := Admit(tt.pool, core.Account(tt.account), shares)
			require.Equal(t, tt.want, got)
		})
	}
}
