// Package quota accounts the resources in use per branch of the settings tree
// and checks them against the branch's quota.
package quota

import (
	"strings"

	"cairnbay"
)

// Verdict is the result of checking a charge against the quotas.
type Verdict uint8

// Verdicts.
const (
	// Within means that every branch on the path stays within its quota.
	Within Verdict = iota
	// Borrows means that a branch on the path would exceed its quota and is
	// allowed to, until another branch needs the capacity.
	Borrows
	// Refused means that a branch on the path would exceed its quota and is not
	// allowed to.
	Refused
)

// Account holds the quota and the resources in use of one branch. A charge to a
// branch also counts for all its parents.
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

// SetSettings applies the quotas of a settings version to all accounts.
func (l *Ledger) SetSettings(settings *cairnbay.Settings) {
	l.settings = settings
	for _, account := range l.accounts {
		l.configure(account)
	}
}

// SetQuota sets the quota of an account that no settings configure.
func (l *Ledger) SetQuota(path string, quota cairnbay.Resources) {
	l.Account(path).Quota = quota
}

// Account returns the account of a path and creates it if it does not exist. The
// pointer stays valid as long as the ledger.
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
	separator := strings.LastIndexByte(path, '/')
	return path[:max(separator, 0)]
}

// Evaluate reports whether need may be charged. It also returns the limiting
// account: the one that refuses, or else the first that borrows; nil for Within.
func (a *Account) Evaluate(need cairnbay.Resources) (Verdict, *Account) {
	verdict, limiting := Within, (*Account)(nil)
	for account := a; account != nil; account = account.parent {
		if !account.exceededBy(need) {
			continue
		}
		if !account.Borrow {
			return Refused, account
		}
		if verdict == Within {
			verdict, limiting = Borrows, account
		}
	}
	return verdict, limiting
}

// TooSmallFor returns the first account on the path that cannot borrow and whose
// quota is below need even with nothing charged; nil if there is none. mayBorrow
// is false for work that cannot be preempted and therefore must not borrow.
func (a *Account) TooSmallFor(need cairnbay.Resources, mayBorrow bool) *Account {
	for account := a; account != nil; account = account.parent {
		if account.Borrow && mayBorrow {
			continue
		}
		if exceeds(account.Quota, cairnbay.Resources{}, need) {
			return account
		}
	}
	return nil
}

// OverQuota reports whether a branch on the path exceeds its quota in a dimension
// in which charged, an amount that is already part of its use, is positive.
func (a *Account) OverQuota(charged cairnbay.Resources) bool {
	for account := a; account != nil; account = account.parent {
		if exceeds(account.Quota, account.Used.Sub(charged), charged) {
			return true
		}
	}
	return false
}

// Charge adds size to the use of the branch and its parents; a negative size
// releases resources.
func (a *Account) Charge(size cairnbay.Resources) {
	for account := a; account != nil; account = account.parent {
		account.Used = account.Used.Add(size)
	}
}

// Each calls visit for the account and each of its parents, from the account to
// the root.
func (a *Account) Each(visit func(*Account)) {
	for account := a; account != nil; account = account.parent {
		visit(account)
	}
}

func (a *Account) exceededBy(need cairnbay.Resources) bool {
	return exceeds(a.Quota, a.Used, need)
}

// exceeds reports whether used plus need is above quota in a dimension in which
// both quota and need are positive.
func exceeds(quota, used, need cairnbay.Resources) bool {
	limits, usage, demand := quota.Values(), used.Values(), need.Values()
	for i, limit := range limits {
		if limit > 0 && demand[i] > 0 && usage[i]+demand[i] > limit {
			return true
		}
	}
	return false
}
