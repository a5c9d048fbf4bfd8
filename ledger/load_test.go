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

// Processes of versions that know no work must understand the reports of those that do, and the
// other way round.
func TestWorkIsAnOptionalColumn(t *testing.T) {
	calls := []loadboard.Count{{Target: 7, Count: 3, WorkMS: 410}, {Target: 9, Count: 1}}
	load := ledger.EncodeLoadReport(loadboard.Report{Calls: calls})
	assert.Equal(t, calls, ledger.DecodeLoadReport(load).Calls)
	assert.Equal(t, calls, ledger.DecodeLoadSummary(ledger.EncodeLoadSummary(loadboard.Summary{Calls: calls})).Calls)

	load.Work = nil
	assert.Equal(t, []loadboard.Count{{Target: 7, Count: 3}, {Target: 9, Count: 1}}, ledger.DecodeLoadReport(load).Calls)
	load.Work = []uint32{410}
	assert.Equal(t, []loadboard.Count{{Target: 7, Count: 3}, {Target: 9, Count: 1}}, ledger.DecodeLoadReport(load).Calls, "a column of another length")
}
