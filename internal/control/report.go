package control

import (
	"fmt"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/amaranthweir/amaranthweir/internal/table"
)

// reportInterval is the interval at which a host logs why it takes no part in the
// agreement.
const reportInterval = time.Second

// logRestored logs the membership that the log of this host holds after a start.
func (r *replica) logRestored() {
	if r.isBlank() {
		r.log.WithField("asks", r.hostsToAsk()).Info("this control host has no log")
		return
	}
	m := r.node.Members()
	r.log.WithFields(logrus.Fields{
		"voters": fmt.Sprint(m.Voters), "learners": fmt.Sprint(m.Learners),
		"term": r.node.Term(), "index": r.node.LastIndex(),
	}).Info("control membership restored")
}

// reportAbsence logs, once per reportInterval, that this host is no member or
// knows no leader, and which hosts it has heard since the last report.
func (r *replica) reportAbsence() {
	ticks := uint64(max(1, reportInterval/r.cfg.TickInterval))
	if r.node.Now()%ticks != 0 {
		return
	}
	members := r.node.Members()
	if !members.Contains(r.id) {
		asked := r.hostsToAsk()
		r.log.WithFields(logrus.Fields{
			"asks": asked, "hears": r.heardWithin(ticks, asked), "voters": fmt.Sprint(members.Voters),
		}).Warn("this control host is no member and waits to join")
		return
	}
	if !r.node.Leader().IsZero() {
		return
	}
	var others []table.HostID
	for _, id := range members.Voters {
		if id != r.id {
			others = append(others, id.Host)
		}
	}
	heard := r.heardWithin(ticks, others)
	r.log.WithFields(logrus.Fields{
		"hears": heard, "voters": fmt.Sprint(members.Voters), "term": r.node.Term(),
	}).Warnf("no control leader: hears %d of %d other voters", len(heard), len(others))
}

// heardWithin returns those of hosts from which a message has arrived within the
// last ticks.
func (r *replica) heardWithin(ticks uint64, hosts []table.HostID) []table.HostID {
	return slices.DeleteFunc(slices.Clone(hosts), func(h table.HostID) bool {
		at, ok := r.heard[h]
		return !ok || r.node.Now()-at > ticks
	})
}
