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

// A process that reports accounts gets the sums of all others. Those of a process that does not
// report them each time, or that has ended, are kept for as long as a report counts.
func TestAccountsAreSummedOverOthers(t *testing.T) {
	b := loadboard.New()
	exchange := func(process string, now time.Time, own ...loadboard.AccountLoad) []loadboard.AccountLoad {
		return b.Exchange(process, loadboard.Report{Accounts: own, HasAccounts: len(own) > 0}, now).Accounts
	}
	assert.Empty(t, exchange("a", start, accountLoad(1, 2, 0), accountLoad(2, 0, 3)))
	assert.ElementsMatch(t, []loadboard.AccountLoad{accountLoad(1, 2, 0), accountLoad(2, 0, 3)}, exchange("b", start, accountLoad(1, 5, 1)))
	assert.ElementsMatch(t, []loadboard.AccountLoad{accountLoad(1, 7, 1), accountLoad(2, 0, 3)}, exchange("c", start, accountLoad(3, 1, 0)))
	assert.Empty(t, exchange("a", start.Add(900*time.Millisecond)), "not asked for")
	kept := []loadboard.AccountLoad{accountLoad(1, 2, 0), accountLoad(2, 0, 3)}
	assert.Subset(t, exchange("d", start.Add(time.Second), accountLoad(4, 1, 0)), kept[1:])
	exchange("a", start.Add(1100*time.Millisecond))
	assert.Equal(t, []loadboard.AccountLoad{accountLoad(4, 1, 0)}, exchange("c", start.Add(1200*time.Millisecond), accountLoad(3, 1, 0)))
}

// A report of any size must not grow the board or the summaries without bound.
func TestAccountsOfASummaryAreBounded(t *testing.T) {
	b := loadboard.New()
	var own []loadboard.AccountLoad
	for i := range uint64(3 * loadboard.MaxAccounts) {
		own = append(own, accountLoad(i, 1, 0))
	}
	b.Exchange("a", loadboard.Report{Accounts: own, HasAccounts: true}, start)
	b.Exchange("b", loadboard.Report{Accounts: own[loadboard.MaxAccounts:], HasAccounts: true}, start)
	assert.Len(t, b.Exchange("c", loadboard.Report{HasAccounts: true}, start).Accounts, loadboard.MaxAccounts)
}
