package gateway

import "sync/atomic"

const (
	// retryCost is how many deposits pay for one retry of a request that may
	// have run: retries are at most a tenth of the requests.
	retryCost = 10
	// retryCredit bounds what is saved up, in deposits.
	retryCredit = 1000
)

// retryBudget limits retries to a share of the requests, so that retries do
// not multiply the load when many requests fail.
type retryBudget struct {
	credit atomic.Int64
}

// deposit counts one request.
func (b *retryBudget) deposit() {
	if b.credit.Load() < retryCredit {
		b.credit.Add(1)
	}
}

// withdraw pays for one retry and reports whether the budget allowed it.
func (b *retryBudget) withdraw() bool {
	if b.credit.Add(-retryCost) >= 0 {
		return true
	}
	b.credit.Add(retryCost)
	return false
}
