package loadboard

import (
	"cmp"
	"slices"
)

// MaxAccounts bounds the accounts in a report or summary. Beyond it, those with most calls and
// refusals are listed.
const MaxAccounts = 256

// AccountKey identifies the work of one client account at one service, by hashes of their
// names.
type AccountKey struct{ Service, Account uint64 }

// AccountLoad is the work of one client account at one service.
type AccountLoad struct {
	AccountKey
	// Calls are those in flight, Refused the programs refused in the last second.
	Calls, Refused uint32
}

func (l AccountLoad) wanted() uint32 { return l.Calls + l.Refused }

// BusiestAccounts returns at most MaxAccounts accounts, those with the most calls and refusals.
// It may reorder the list.
func BusiestAccounts(list []AccountLoad) []AccountLoad {
	if len(list) <= MaxAccounts {
		return list
	}
	slices.SortFunc(list, func(a, b AccountLoad) int {
		return cmp.Or(cmp.Compare(b.wanted(), a.wanted()), cmp.Compare(a.Account, b.Account), cmp.Compare(a.Service, b.Service))
	})
	return list[:MaxAccounts]
}

// accountSums are the sums over all reports by account.
type accountSums map[AccountKey]AccountLoad

func (s accountSums) add(list []AccountLoad) {
	for _, l := range list {
		sum := s[l.AccountKey]
		s[l.AccountKey] = AccountLoad{AccountKey: l.AccountKey, Calls: sum.Calls + l.Calls, Refused: sum.Refused + l.Refused}
	}
}

func (s accountSums) subtract(list []AccountLoad) {
	for _, l := range list {
		sum := s[l.AccountKey]
		sum.Calls, sum.Refused = sum.Calls-l.Calls, sum.Refused-l.Refused
		if sum.wanted() == 0 {
			delete(s, l.AccountKey)
			continue
		}
		s[l.AccountKey] = sum
	}
}

func (s accountSums) list() []AccountLoad {
	list := make([]AccountLoad, 0, len(s))
	for _, l := range s {
		list = append(list, l)
	}
	return BusiestAccounts(list)
}
