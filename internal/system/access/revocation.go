package access

import (
	"time"

	"github.com/amaranthweir/amaranthweir/internal/config"
)

// defaultTransactionGrace is the grace of open transactions where the settings state
// no time-out.
const defaultTransactionGrace = 2500 * time.Millisecond

// TransactionGrace returns how long a transaction may go on after this host learned
// that the key of its caller was withdrawn. It is half of the stated time-out: the
// other half is left for the withdrawal to reach the host.
func TransactionGrace(s config.RevocationSettings) time.Duration {
	if s.Timeout <= 0 {
		return defaultTransactionGrace
	}
	return s.Timeout / 2
}

// IsOutdated reports whether a host must not rely on the keys that it knows. age is
// the time since it sent the latest heartbeat that a control leader answered: every
// key that was withdrawn before then is known to be withdrawn.
func IsOutdated(s config.RevocationSettings, age time.Duration) bool {
	return s.Strict && age > s.Timeout
}
