package gateway

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/amaranthweir/amaranthweir/internal/errkind"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

// A host in a failure domain that is cut off reaches only the instances inside
// it. A read that any of them may serve must be tried there instead of being
// refused after its first attempt went to the other side. What needs the other
// side is refused at once, so that the caller still has time for another host.
func TestIsolatedHost(t *testing.T) {
	unreachable := unknownError(errkind.OutcomeUnknown)
	for _, c := range []struct {
		name         string
		sql          string
		script       []error
		unresponsive []table.HostID
		sent         []table.InstanceID
		kind         errkind.Kind // Internal: success
	}{
		{"a bounded read after its replica was lost", "/* class=report */ select", []error{unreachable}, nil, []table.InstanceID{"g1-2", "g1-1"}, errkind.Internal},
		{"a bounded read whose replica is known to be silent", "/* class=report */ select", nil, []table.HostID{"h2"}, []table.InstanceID{"g1-1"}, errkind.Internal},
		{"a bounded read that no host answers", "/* class=report */ select", nil, []table.HostID{"h1", "h2"}, nil, errkind.StalenessUnprovable},
		{"a write without a primary", "insert", []error{notRunError(errkind.NoPrimary)}, nil, []table.InstanceID{"g1-1"}, errkind.NoPrimary},
		{"a current read without a primary", "/* class=look */ select", []error{notRunError(errkind.NoPrimary)}, nil, []table.InstanceID{"g1-1"}, errkind.NoPrimary},
		{"a write whose owner is silent", "insert", nil, []table.HostID{"h1"}, nil, errkind.NoOwner},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, d := newSession(t)
			s.gateway.cfg.Isolated = func() bool { return true }
			s.gateway.cfg.UpstreamFloors = true
			s.gateway.budget.credit.Store(maxRetryCredit)
			d.upstream.mark = table.Mark{Term: 1, Position: 9}
			d.upstream.errs = c.script
			d.unresponsive = map[table.HostID]bool{}
			for _, h := range c.unresponsive {
				d.unresponsive[h] = true
			}
			_, err := execSQL(t, s, c.sql)
			if c.kind == errkind.Internal {
				assert.NilError(t, err)
			} else {
				assert.Assert(t, errkind.Is(err, c.kind), "%v", err)
				assert.Equal(t, errkind.Of(err).Effect, errkind.NotRun)
			}
			var sent []table.InstanceID
			for _, r := range d.upstream.received {
				sent = append(sent, r.Instance)
			}
			assert.DeepEqual(t, sent, c.sent)
		})
	}
}
