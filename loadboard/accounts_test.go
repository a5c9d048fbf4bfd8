package loadboard_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/rhubarbsaddle/rhubarbsaddle/loadboard"
)

func accountLoad(account uint64, calls, refused uint32) loadboard.AccountLoad {
	return loadboard.AccountLoad{AccountKey: loadboard.AccountKey{Service: 1, Account: account}, Calls: calls, Refused: refused}
}

// A process gets the sums of all others, and those of an ended process expire.
func TestAccountsAreSummedOverOthers(t *testing.T) {
	b := loadboard.New()
	exchange := func(process string, now time.Time, own ...loadboard.AccountLoad) []loadboard.AccountLoad {
		return b.Exchange(process, loadboard.Report{Accounts: own}, now).Accounts
	}
	assert.Empty(t, exchange("a", start, accountLoad(1, 2, 0), accountLoad(2, 0, 3)))
	assert.ElementsMatch(t, []loadboard.AccountLoad{accountLoad(1, 2, 0), accountLoad(2, 0, 3)}, exchange("b", start, accountLoad(1, 5, 1)))
	assert.ElementsMatch(t, []loadboard.AccountLoad{accountLoad(1, 7, 1), accountLoad(2, 0, 3)}, exchange("c", start))
	assert.Equal(t, []loadboard.AccountLoad{accountLoad(1, 5, 1)}, exchange("a", start))
	assert.Empty(t, exchange("c", start.Add(2*time.Second)))
}

// A report of any size must not grow the board or the summaries without bound.
func TestAccountsOfASummaryAreBounded(t *testing.T) {
	b := loadboard.New()
	var own []loadboard.AccountLoad
	for i := range uint64(3 * loadboard.MaxAccounts) {
		own = append(own, accountLoad(i, 1, 0))
	}
	b.Exchange("a", loadboard.Report{Accounts: own}, start)
	b.Exchange("b", loadboard.Report{Accounts: own[loadboard.MaxAccounts:]}, start)
	assert.Len(t, b.Exchange("c", loadboard.Report{}, start).Accounts, loadboard.MaxAccounts)
}
