package blackboard

import (
	"time"

	"doorstack.dev/core/admission"
	"doorstack.dev/core/settings"
)

// AccountTable holds the usage of each client account at this daemon.
type AccountTable struct {
	mu       Mutex
	accounts map[string]*accountState
	shareOf  ShareFunc
}

// ShareFunc returns the part of an account's limits that this daemon may use. It is
// called without the table's lock.
type ShareFunc func(account string, rules *settings.Rules) admission.Share

// accountState is the usage and the retry budget of one account.
type accountState struct {
	usage       *admission.Usage
	retryBudget *admission.RetryBudget
	lastUsed    time.Time
}

func newAccountTable() *AccountTable {
	return &AccountTable{mu: NewMutex(RankAccounts), accounts: map[string]*accountState{}, shareOf: fullShare}
}

// fullShare returns an account's whole limits, for a daemon that is alone.
func fullShare(_ string, r *settings.Rules) admission.Share {
	return admission.Share{
		RequestsPerSecond:     r.RequestsPerSecond,
		PromptTokensPerSecond: r.PromptTokensPerSecond,
		Concurrent:            r.Concurrent,
	}
}

// SetShareFunc sets the source of shares. It is called before requests are accepted.
func (t *AccountTable) SetShareFunc(f ShareFunc) { t.shareOf = f }

// Admit checks a request against the limits of its account and counts it if they allow it.
func (t *AccountTable) Admit(account string, rules *settings.Rules, promptTokens int64, at time.Time) admission.Verdict {
	share := t.shareOf(account, rules)
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.state(account, share, at)
	a.usage.SetShare(share, at)
	a.lastUsed = at
	v := a.usage.Admit(promptTokens, at)
	if v.Limit == admission.LimitNone {
		a.retryBudget.CountRequest(rules.RetryShare)
	}
	return v
}

// state returns the state of an account and creates it if needed; the lock is held.
func (t *AccountTable) state(account string, share admission.Share, at time.Time) *accountState {
	a := t.accounts[account]
	if a == nil {
		a = &accountState{usage: admission.NewUsage(share, at), retryBudget: admission.NewRetryBudget()}
		t.accounts[account] = a
	}
	return a
}

// Done ends an admitted request.
func (t *AccountTable) Done(account string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if a := t.accounts[account]; a != nil {
		a.usage.Done()
	}
}

// TakeRetry takes a retry from the account's retry budget and reports whether one was left.
func (t *AccountTable) TakeRetry(account string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.accounts[account]
	return a != nil && a.retryBudget.TakeRetry()
}

// AccountDemand is the demand of an account at this daemon since the last TakeDemand.
type AccountDemand struct {
	Account string
	Demand  admission.Demand
	Running int
}

// idleRetention is how long an unused account keeps its state.
const idleRetention = 10 * time.Minute

// TakeDemand returns the demand of all accounts in use and removes the idle ones.
func (t *AccountTable) TakeDemand(at time.Time) []AccountDemand {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []AccountDemand
	for name, a := range t.accounts {
		if a.usage.Running == 0 && at.Sub(a.lastUsed) > idleRetention {
			delete(t.accounts, name)
			continue
		}
		list = append(list, AccountDemand{Account: name, Demand: a.usage.TakeDemand(), Running: a.usage.Running})
	}
	return list
}

// AccountStatus is an account's usage as shown to operators.
type AccountStatus struct {
	Account string          `json:"account"`
	Running int             `json:"running"`
	Share   admission.Share `json:"share"`
	// Largest is the account's largest part of what this daemon dispatched lately to a pool, if any.
	Largest *PoolShare `json:"largest,omitempty"`
}

// Status lists the accounts in use.
func (t *AccountTable) Status() []AccountStatus {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]AccountStatus, 0, len(t.accounts))
	for name, a := range t.accounts {
		list = append(list, AccountStatus{Account: name, Running: a.usage.Running, Share: a.usage.Share()})
	}
	return list
}
