package blackboard

import (
	"time"

	"doorstack.dev/core/admission"
	"doorstack.dev/core/settings"
)

// AccountTable holds what each client account uses at this daemon.
type AccountTable struct {
	mu       Mutex
	accounts map[string]*accountState
	shareOf  ShareFunc
}

// ShareFunc says which part of an account's limits this daemon may use. It is
// called without the table's lock.
type ShareFunc func(account string, rules *settings.Rules) admission.Share

type accountState struct {
	usage       *admission.Usage
	retryBudget *admission.RetryBudget
	lastUsed    time.Time
}

func newAccountTable() *AccountTable {
	return &AccountTable{mu: NewMutex(RankAccounts), accounts: map[string]*accountState{}, shareOf: fullShare}
}

// fullShare is the share of a daemon that is alone.
func fullShare(_ string, r *settings.Rules) admission.Share {
	return admission.Share{
		RequestsPerSecond:     r.RequestsPerSecond,
		PromptTokensPerSecond: r.PromptTokensPerSecond,
		Concurrent:            r.Concurrent,
	}
}

// SetShares sets where shares come from. It is called before requests are taken.
func (t *AccountTable) SetShareFunc(f ShareFunc) { t.shareOf = f }

// Admit takes a request into the limits of its account.
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

// Retry takes a retry out of the account's budget.
func (t *AccountTable) TakeRetry(account string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.accounts[account]
	return a != nil && a.retryBudget.TakeRetry()
}

// AccountDemand is the demand of an account at this daemon since the last look.
type AccountDemand struct {
	Account string
	Demand  admission.Demand
	Running int
}

// idleRetention is how long an unused account keeps its state.
const idleRetention = 10 * time.Minute

// TakeDemand returns the demand of all accounts in use and forgets idle ones.
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

// AccountStatus is an account's use, for operators.
type AccountStatus struct {
	Account string          `json:"account"`
	Running int             `json:"running"`
	Share   admission.Share `json:"share"`
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
