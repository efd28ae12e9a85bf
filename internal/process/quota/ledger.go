// Package quota keeps what each branch of the settings tree holds against what
// it may hold.
package quota

import (
	"strings"

	"cairnbay"
)

// Verdict is what a ledger says of a charge.
type Verdict uint8

// Verdicts.
const (
	// Within says that every branch on the path stays within its quota.
	Within Verdict = iota
	// Borrows says that some branch would exceed its quota and may, until
	// another wants the capacity.
	Borrows
	// Refused says that some branch would exceed its quota and may not.
	Refused
)

// Account is one branch's quota and use. A charge to a branch also counts for
// all its parents.
type Account struct {
	Path   string
	Quota  cairnbay.Resources
	Borrow bool
	Used   cairnbay.Resources

	parent *Account
}

// Ledger holds the accounts by path.
type Ledger struct {
	accounts map[string]*Account
	settings *cairnbay.Settings
}

// New returns a ledger without quotas.
func New() *Ledger {
	return &Ledger{accounts: make(map[string]*Account)}
}

// SetSettings takes the quotas of a settings version.
func (l *Ledger) SetSettings(settings *cairnbay.Settings) {
	l.settings = settings
	for _, account := range l.accounts {
		l.configure(account)
	}
}

// Account returns the account of a path and makes it where it is missing. The
// pointer stays valid for the ledger's life.
func (l *Ledger) Account(path string) *Account {
	if account, ok := l.accounts[path]; ok {
		return account
	}
	account := &Account{Path: path}
	if path != "" {
		account.parent = l.Account(parentPath(path))
	}
	l.configure(account)
	l.accounts[path] = account
	return account
}

func (l *Ledger) configure(account *Account) {
	account.Quota, account.Borrow = cairnbay.Resources{}, false
	if l.settings == nil {
		return
	}
	if branch, ok := l.settings.Branches[account.Path]; ok {
		account.Quota = branch.Placing.Quota
		account.Borrow = branch.Placing.Borrow
	}
}

func parentPath(path string) string {
	cut := strings.LastIndexByte(path, '/')
	return path[:max(cut, 0)]
}

// Evaluate says whether need may be charged, and names the branch that decides: the
// one that refuses, or the first that borrows.
func (a *Account) Evaluate(need cairnbay.Resources) (Verdict, *Account) {
	verdict, decider := Within, (*Account)(nil)
	for account := a; account != nil; account = account.parent {
		if !account.exceededBy(need) {
			continue
		}
		if !account.Borrow {
			return Refused, account
		}
		if verdict == Within {
			verdict, decider = Borrows, account
		}
	}
	return verdict, decider
}

// TooSmallFor returns the branch on the path whose quota is below need even when
// nothing is charged and that may not borrow; nil when there is none.
func (a *Account) TooSmallFor(need cairnbay.Resources, mayBorrow bool) *Account {
	for account := a; account != nil; account = account.parent {
		if account.Borrow && mayBorrow {
			continue
		}
		if over(account.Quota, cairnbay.Resources{}, need) {
			return account
		}
	}
	return nil
}

// OverQuota says whether some branch on the path holds more than its quota of a
// dimension that size takes part in.
func (a *Account) OverQuota(size cairnbay.Resources) bool {
	for account := a; account != nil; account = account.parent {
		if over(account.Quota, account.Used.Sub(size), size) {
			return true
		}
	}
	return false
}

// Charge adds size to the branch and its parents; a negative size releases.
func (a *Account) Charge(size cairnbay.Resources) {
	for account := a; account != nil; account = account.parent {
		account.Used = account.Used.Add(size)
	}
}

// Each calls visit with the branch and its parents.
func (a *Account) Each(visit func(*Account)) {
	for account := a; account != nil; account = account.parent {
		visit(account)
	}
}

func (a *Account) exceededBy(need cairnbay.Resources) bool {
	return over(a.Quota, a.Used, need)
}

// over says whether used and need together exceed quota in a dimension that
// has a quota and that need takes part in.
func over(quota, used, need cairnbay.Resources) bool {
	limits, held, wanted := quota.Values(), used.Values(), need.Values()
	for i, limit := range limits {
		if limit > 0 && wanted[i] > 0 && held[i]+wanted[i] > limit {
			return true
		}
	}
	return false
}
