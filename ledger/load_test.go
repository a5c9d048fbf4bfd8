package ledger_test

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/rhubarbsaddle/rhubarbsaddle/ledger"
	"github.com/rhubarbsaddle/rhubarbsaddle/loadboard"
)

// The work of accounts must arrive at the board, and from there at other entries.
func TestAccountsAreEncoded(t *testing.T) {
	accounts := []loadboard.AccountLoad{{AccountKey: loadboard.AccountKey{Service: 1, Account: 2}, Calls: 3, Refused: 4}}
	report := ledger.DecodeLoadReport(ledger.EncodeLoadReport(loadboard.Report{Accounts: accounts, HasAccounts: true}))
	assert.Equal(t, accounts, report.Accounts)
	assert.True(t, report.HasAccounts)
	summary := ledger.DecodeLoadSummary(ledger.EncodeLoadSummary(loadboard.Summary{Accounts: accounts, HasAccounts: true}))
	assert.Equal(t, accounts, summary.Accounts)
	assert.True(t, summary.HasAccounts)
}
