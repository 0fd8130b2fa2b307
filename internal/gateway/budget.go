package gateway

import "sync/atomic"

const (
	// retryCost is the number of deposits that pay for one retry of a request
	// that may have run. Such retries are therefore at most a tenth of all
	// requests.
	retryCost = 10
	// maxRetryCredit is the most credit that can be saved up, in deposits.
	maxRetryCredit = 1000
)

// retryBudget limits retries to a share of all requests, so that retries do not
// multiply the load when many requests fail.
type retryBudget struct {
	credit atomic.Int64
}

// deposit adds the credit of one request.
func (b *retryBudget) deposit() {
	if b.credit.Load() < maxRetryCredit {
		b.credit.Add(1)
	}
}

// withdraw takes the credit for one retry and reports whether the budget allows
// it.
func (b *retryBudget) withdraw() bool {
	if b.credit.Add(-retryCost) >= 0 {
		return true
	}
	b.credit.Add(retryCost)
	return false
}
