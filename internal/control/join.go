package control

import (
	"fmt"
	"maps"
	"slices"

	"github.com/amaranthweir/amaranthweir/internal/consensus"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

// foundingIndex is the index of the founding snapshot, with which every log
// starts.
const foundingIndex = 1

// stampTimeouts is the number of election timeouts for which an echoed stamp
// stays fresh. A join request expires after the same time, and a member without
// contact to a leader for that time asks to join again.
const stampTimeouts = 4

// isBlank reports whether this host has no log.
func (r *replica) isBlank() bool { return r.node.LastIndex() == 0 }

// shouldAskAgain reports whether this host must ask to join although its log
// lists it as a member. If it has had no contact with a leader for stampTimeouts
// election timeouts, or for one since its start, it may have been removed without
// receiving the entry of its removal. It then asks once per election timeout.
func (r *replica) shouldAskAgain() bool {
	election, silence := uint64(r.cfg.ElectionTicks), r.node.TicksSinceLeaderContact()
	patience := stampTimeouts * election
	if silence == r.node.Now() { // no contact since the start
		patience = election
	}
	return silence >= patience && r.node.Now()%election < uint64(r.cfg.HeartbeatTicks)
}

// hostsToAsk returns the other hosts that may be members: the voters of the
// settings, the contacts, the members in this host's log and the members that
// other hosts named recently.
func (r *replica) hostsToAsk() []table.HostID {
	hosts := slices.Clone(r.cfg.Voters)
	if r.cfg.Contacts != nil {
		hosts = append(hosts, r.cfg.Contacts()...)
	}
	hosts = append(hosts, memberHosts(r.node.Members())...)
	hosts = append(hosts, r.recentReferrals()...)
	slices.Sort(hosts)
	return slices.DeleteFunc(slices.Compact(hosts), func(h table.HostID) bool { return h == r.id.Host })
}

// memberHosts returns the hosts of all members.
func memberHosts(m consensus.Members) []table.HostID {
	var hosts []table.HostID
	for _, id := range m.All() {
		hosts = append(hosts, id.Host)
	}
	return hosts
}

// maxReferrals is the largest number of hosts that a host remembers because
// others named them as members. The present members and as many former ones fit.
const maxReferrals = 2 * consensus.MaxMembers

// recordReferrals remembers the members that the answer h names.
func (r *replica) recordReferrals(h hello) {
	for _, host := range h.Members {
		_, known := r.referrals[host]
		if r.cfg.isPossibleMember(host) && (known || len(r.referrals) < maxReferrals) {
			r.referrals[host] = r.node.Now()
		}
	}
}

// recentReferrals returns the hosts that were named as members within the last
// stampTimeouts election timeouts, and forgets the others.
func (r *replica) recentReferrals() []table.HostID {
	maps.DeleteFunc(r.referrals, func(_ table.HostID, at uint64) bool {
		return r.node.Now()-at > uint64(stampTimeouts*r.cfg.ElectionTicks)
	})
	return slices.Collect(maps.Keys(r.referrals))
}

// askHosts sends a question to each of hosts.
func (r *replica) askHosts(hosts []table.HostID) {
	for _, host := range hosts {
		h := r.newHello(host)
		h.Ask = true
		r.sendHello(h)
	}
}

// answerHello answers the question h.
func (r *replica) answerHello(h hello) {
	answer := r.newHello(h.From.Host)
	answer.Members = memberHosts(r.node.Members())
	if h.Leave {
		answer.LeaveAnswer = r.answerLeave(h.From)
	}
	r.sendHello(answer)
}

func (r *replica) newHello(to table.HostID) hello {
	return hello{
		From: r.id, To: to, Blank: r.isBlank(), Leave: r.leave != nil,
		Pinned: r.founding.pinned,
		Stamp:  r.stampBase + r.node.Now(),
		Echo:   r.echoes[to],
	}
}

func (r *replica) sendHello(h hello) { r.cfg.Transport.Send(h.To, encodeHello(h)) }

func (r *replica) handleHello(h hello) error {
	if h.To != r.id.Host || h.From.Host == r.id.Host || !r.cfg.isPossibleMember(h.From.Host) {
		return nil
	}
	r.echoes[h.From.Host] = h.Stamp
	r.recordReferrals(h)
	r.recordLeave(h)
	r.handleLeaveAnswer(h)
	if r.isBlank() {
		if r.founding.record(h) {
			r.log.WithField("from", h.From.String()).
				Error("the host has pinned another founding membership: empty the data folders of hosts that were never in use")
		}
		return r.continueFounding()
	}
	if h.Ask {
		r.answerHello(h)
	}
	current, isMember := r.node.Members().OnHost(h.From.Host)
	mayJoin := !h.Leave && (!isMember || h.Blank && current != h.From)
	if h.Ask && mayJoin && r.isFreshEcho(h.Echo) {
		r.joinRequests[h.From.Host] = joinRequest{id: h.From, tick: r.node.Now()}
	}
	return nil
}

// isFreshEcho reports whether this process sent stamp within the last
// stampTimeouts election timeouts.
func (r *replica) isFreshEcho(stamp uint64) bool {
	return r.stampBase+r.node.Now()-stamp < uint64(stampTimeouts*r.cfg.ElectionTicks)
}

// continueFounding pins the founding membership once the identities of all
// voters are known, and starts the log once all voters have pinned it. It does
// nothing on a host that has a log.
func (r *replica) continueFounding() error {
	f := r.founding
	if !r.isBlank() {
		return nil
	}
	if len(f.pinned) == 0 {
		if !r.cfg.mayFound() {
			return nil
		}
		members, ok := f.membership(r.cfg.Voters)
		if !ok {
			return nil
		}
		if err := r.wal.SaveFounding(members); err != nil {
			return err
		}
		f.pinned = members.Voters
		r.log.WithField("voters", fmt.Sprint(members.Voters)).Info("founding membership pinned")
	}
	if !f.isPinnedByAll(r.id.Host, r.cfg.Voters) {
		return nil
	}
	return r.initializeLog(consensus.Members{Voters: f.pinned})
}

// initializeLog starts the log with a snapshot of the initial state and the
// founding membership.
func (r *replica) initializeLog(members consensus.Members) error {
	data, err := r.state.Snapshot()
	if err != nil {
		return err
	}
	s := consensus.Snapshot{Index: foundingIndex, Term: 1, Members: members, Data: data}
	if err := r.node.Initialize(s); err != nil {
		return err
	}
	r.log.WithField("voters", fmt.Sprint(members.Voters)).Info("deployment founded")
	return nil
}
