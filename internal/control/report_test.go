package control

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/amaranthweir/amaranthweir/internal/logtest"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

// logsOf makes every host of n log to a buffer of its own.
func (n *network) logsOf() map[table.HostID]*logtest.Buffer {
	logs := map[table.HostID]*logtest.Buffer{}
	configure := n.configure
	n.configure = func(c *ServerConfig) {
		configure(c)
		if logs[c.Host] == nil {
			logs[c.Host] = &logtest.Buffer{}
		}
		log := logrus.New()
		log.SetOutput(logs[c.Host])
		c.Log = log
	}
	return logs
}

// The log of a host without a leader tells which voters it hears, and after a
// restart which membership it has. Otherwise a majority that is gone looks like
// one that cannot be reached.
func TestHostWithoutLeaderReportsTheVotersItHears(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(5)
		logs := n.logsOf()
		n.startAll(t)
		defer n.crashAll(t)
		n.leader(t)
		n.crashAll(t)
		n.start(t, "h1")
		n.start(t, "h2")
		time.Sleep(3 * time.Second)
		log := logs["h1"].String()
		assert.Assert(t, strings.Contains(log, "control membership restored"), log)
		assert.Assert(t, strings.Contains(log, "no control leader: hears 1 of 4 other voters"), log)
	})
}

// The log of a host that is no member tells whom it asks to join and who answers.
func TestBlankHostReportsWhomItAsks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newOpenNetworkOf(3)
		logs := n.logsOf()
		n.startAll(t)
		defer n.crashAll(t)
		heard := n.leader(t).cfg.Host
		for _, host := range n.voters {
			if host != heard {
				n.crash(t, host)
			}
		}
		time.Sleep(time.Second) // no leader is left that could add the host
		n.add(t, "h4", []table.HostID{heard, "h9"})
		time.Sleep(1500 * time.Millisecond)
		log := logs["h4"].String()
		assert.Assert(t, strings.Contains(log, "this control host has no log"), log)
		assert.Assert(t, strings.Contains(log, fmt.Sprintf(`asks="[h1 h2 h3 h9]" component=control hears="[%s]"`, heard)), log)
		assert.Equal(t, strings.Count(log, "this control host is no member and waits to join"), 1, log)
	})
}
