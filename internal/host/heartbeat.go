package host

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/amaranthweir/amaranthweir/internal/compress"
	"github.com/amaranthweir/amaranthweir/internal/control"
	"github.com/amaranthweir/amaranthweir/internal/dbedge"
	"github.com/amaranthweir/amaranthweir/internal/peer"
	"github.com/amaranthweir/amaranthweir/internal/system/controlload"
	"github.com/amaranthweir/amaranthweir/internal/system/failover"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

const (
	// heartbeatSilence is how long a heartbeat waits without hearing from the leader.
	heartbeatSilence = 400 * time.Millisecond
	// heartbeatTimeout limits one heartbeat whose reply is arriving: a large control
	// state takes long over a slow link, and takes as long when it is asked for again.
	heartbeatTimeout = 4 * time.Second
	// fastHeartbeatDuration is how long heartbeats are sent at the short
	// interval after an order.
	fastHeartbeatDuration = time.Second
	// maxHeard is the maximum number of pending announcements, which wait for the
	// next heartbeat.
	maxHeard = 10000
	// maxControlHosts bounds the random position at which a host begins to ask for
	// the leader, so that hosts that start together ask different control hosts.
	maxControlHosts = 1 << 10
	// maxControlSearchDelay bounds the delay between the heartbeats of a control
	// host that knows no leader. Control hosts are few.
	maxControlSearchDelay = 100 * time.Millisecond
)

// What is done with the reply to a heartbeat.
const (
	replyApplied = "applied"
	// replyOvertaken: the control state of the host was later than that in the reply;
	// all else was applied.
	replyOvertaken = "overtaken"
	replyDropped   = "dropped"
)

// heartbeatSender sends the heartbeats of this host to the control leader and
// applies the replies: control state, tables, lease and orders.
type heartbeatSender struct {
	host    *Host
	log     logrus.FieldLogger
	conn    peer.ControlClient
	trigger chan struct{} // requests an immediate heartbeat

	mu                   sync.Mutex
	sequence             uint64
	stamp                failover.Stamp
	pendingAnnouncements map[table.InstanceID]dbedge.Announcement
	witnessReports       []failover.Report // for the next heartbeat
	sentReports          map[table.InstanceID]failover.Report
	reported             reportedVersions
	reportRequested      map[table.InstanceID]bool // send the next report even if unchanged
	fastUntil            time.Time
	// orderedUntil holds until when the report of an instance is sent with each
	// heartbeat, because the leader has ordered something for it.
	orderedUntil map[table.InstanceID]time.Time
	draining     bool
	everAnswered bool // a leader has answered since the start
	// lastAnswerAt is when the latest answer arrived, on the clock of the host.
	lastAnswerAt time.Duration
	// lastAnsweredSentAt is when the heartbeat with the latest answer was sent.
	lastAnsweredSentAt time.Duration
	leader             string // peer address
	nextJoin           int    // index into the result of hostsToAsk, modulo its length
	search             controlload.Search
	searchDelay        time.Duration // before the next heartbeat while no leader answers
}

func newHeartbeatSender(h *Host) *heartbeatSender {
	return &heartbeatSender{
		host:                 h,
		conn:                 peer.ControlClient{Dial: h.dir.dial, Silence: heartbeatSilence},
		log:                  h.log,
		trigger:              make(chan struct{}, 1),
		pendingAnnouncements: map[table.InstanceID]dbedge.Announcement{},
		sentReports:          map[table.InstanceID]failover.Report{},
		reportRequested:      map[table.InstanceID]bool{},
		orderedUntil:         map[table.InstanceID]time.Time{},
		nextJoin:             rand.IntN(maxControlHosts),
	}
}

// run sends heartbeats until ctx ends.
func (s *heartbeatSender) run(ctx context.Context) error {
	defer s.conn.Close()
	for {
		s.send(ctx, false)
		s.host.metrics.SetLeaseValid(s.host.dir.leaseValid())
		timer := time.NewTimer(s.interval())
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-s.trigger:
		case <-timer.C:
		}
		timer.Stop()
	}
}

func (s *heartbeatSender) interval() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.searchDelay > 0 && s.host.control != nil:
		return min(s.searchDelay, maxControlSearchDelay)
	case s.searchDelay > 0:
		return s.searchDelay
	case time.Now().Before(s.fastUntil) || s.leader == "":
		return s.host.timing.FastHeartbeatInterval
	}
	return s.host.timing.Lease.Heartbeat
}

// requestHeartbeat requests an immediate heartbeat.
func (s *heartbeatSender) requestHeartbeat() {
	select {
	case s.trigger <- struct{}{}:
	default:
	}
}

// requestHeartbeatTo requests an immediate heartbeat to the given leader. A host
// that no longer leads replies with the address of the leader.
func (s *heartbeatSender) requestHeartbeatTo(leader string) {
	s.mu.Lock()
	if leader != "" {
		s.leader = leader
	}
	s.mu.Unlock()
	s.requestHeartbeat()
}

// queueAnnouncement queues an announcement for the next heartbeat. While the
// queue is full, announcements of further instances are dropped.
func (s *heartbeatSender) queueAnnouncement(a dbedge.Announcement) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.pendingAnnouncements[a.Instance]; known || len(s.pendingAnnouncements) < maxHeard {
		s.pendingAnnouncements[a.Instance] = a
	}
}

// latestStamp returns the latest stamp of the control leader.
func (s *heartbeatSender) latestStamp() failover.Stamp {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stamp
}

// send sends one heartbeat and applies the reply. It reports whether the leader
// answered.
func (s *heartbeatSender) send(ctx context.Context, release bool) bool {
	timeout := heartbeatTimeout
	if release { // the last heartbeat of a shutdown, whose reply is not used
		timeout = heartbeatSilence
	}
	ctx, stop := context.WithTimeout(ctx, timeout)
	defer stop()
	known := s.leaderAddress()
	address := s.targetAddress()
	if address == "" {
		return false
	}
	hb := s.compose(release)
	sentAt := s.host.clock()
	var reply heartbeatReply
	err := s.conn.Call(ctx, address, methodHeartbeat, hb, &reply)
	if err != nil || !reply.Leads {
		s.handleFailure(hb, sentAt, &reply, err)
		s.replaceLeader(known, address, reply.Leader)
		return false
	}
	s.handleReply(ctx, sentAt, hb, &reply)
	return true
}

// targetAddress returns the peer address for the next heartbeat: the leader or,
// while no leader is known, the next of the hosts to ask.
func (s *heartbeatSender) targetAddress() string {
	if l := s.host.control; l != nil {
		if id, self, _ := l.server.Leader(); self {
			return s.host.settings.PeerAddress
		} else if id != "" {
			return l.peerAddress(id)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leader != "" {
		return s.leader
	}
	join := s.host.hostsToAsk()
	if len(join) == 0 {
		return ""
	}
	s.nextJoin++
	return join[s.nextJoin%len(join)]
}

// compose builds the next heartbeat and empties the queues of announcements and
// witness reports. It leaves out unchanged reports, except after an order.
func (s *heartbeatSender) compose(release bool) *heartbeat {
	reports := s.host.owner.Reports(time.Now())
	view := s.host.dir.view.Load()
	t := s.host.dir.currentTables()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	hb := &heartbeat{
		Host:        s.host.settings.Host,
		Domain:      s.host.settings.Domain,
		PeerAddress: s.host.settings.PeerAddress,
		Incarnation: s.host.incarnation,
		Sequence:    s.sequence,
		Control:     s.host.control != nil,
		Draining:    s.draining,
		NoInstances: s.host.settings.CallerAddress == "",
		Release:     release,
		Revision:    view.Revision,
		Documents:   s.reported.unreported(view),
		Released:    s.host.owner.Released(),
		Tables:      t.Version,
		Unpacks:     true,
		Reports:     s.witnessReports,

		UnpacksControl: true,
	}
	s.witnessReports = nil
	now := time.Now()
	maps.DeleteFunc(s.orderedUntil, func(_ table.InstanceID, until time.Time) bool { return now.After(until) })
	for _, r := range reports {
		_, ordered := s.orderedUntil[r.Instance]
		if old, ok := s.sentReports[r.Instance]; ok && !ordered && !s.reportRequested[r.Instance] && !reportChanged(old, r) {
			continue
		}
		s.sentReports[r.Instance] = r
		hb.Reports = append(hb.Reports, r)
	}
	clear(s.reportRequested)
	for _, a := range s.pendingAnnouncements {
		hb.Announcements = append(hb.Announcements, a)
	}
	clear(s.pendingAnnouncements)
	return hb
}

// reportChanged reports whether r differs from old in a field that the leader
// must learn at once. The position alone does not count.
func reportChanged(old, r failover.Report) bool {
	return old.Reachable != r.Reachable || old.Role != r.Role || old.Leaving != r.Leaving ||
		old.Mark.Term != r.Mark.Term || old.LogTerm != r.LogTerm || old.SeenTerm != r.SeenTerm || old.Quiesced != r.Quiesced || old.Held != r.Held
}

// handleFailure handles a heartbeat that the leader did not process: the next
// heartbeat reports all owned instances and document versions again and repeats
// the announcements.
func (s *heartbeatSender) handleFailure(hb *heartbeat, sentAt time.Duration, reply *heartbeatReply, err error) {
	hosts := len(s.host.hostsToAsk())
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.searchDelay = s.search.Unanswered(hosts, rand.Float64())
	} else {
		s.searchDelay = s.search.NoLeader(hosts, min(reply.RetryAfter, maxRetryAfter), rand.Float64())
	}
	if err != nil && s.leader != "" {
		s.log.WithError(err).WithFields(logrus.Fields{
			"leader": s.leader, "sent_revision": hb.Revision, "took_ms": (s.host.clock() - sentAt).Milliseconds(),
		}).Info("heartbeat failed")
	}
	s.reported = reportedVersions{}
	clear(s.sentReports)
	for _, a := range hb.Announcements {
		if _, newer := s.pendingAnnouncements[a.Instance]; !newer {
			s.pendingAnnouncements[a.Instance] = a
		}
	}
}

// replaceLeader records the leader that the host at the address asked has named, unless
// a new leader has called since the heartbeat, when the known leader was another one. A
// host that names itself, but does not lead, knows none: its lease ended while its disk
// hung, for example.
func (s *heartbeatSender) replaceLeader(known, asked, named string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leader != known {
		return
	}
	if named == asked {
		named = ""
	}
	s.leader = named
}

// handleReply applies the reply to a heartbeat: the control state first, then
// the lease, so that the lease never covers an older state.
func (s *heartbeatSender) handleReply(ctx context.Context, sentAt time.Duration, hb *heartbeat, reply *heartbeatReply) {
	outcome, err := s.applyControl(reply)
	s.host.metrics.CountHeartbeatReply(outcome)
	if err != nil {
		s.log.WithError(err).WithFields(logrus.Fields{
			"sent_revision": hb.Revision, "revision": s.host.dir.view.Load().Revision, "lease": reply.Lease > 0,
			"orders": len(reply.Orders), "took_ms": (s.host.clock() - sentAt).Milliseconds(), "reply": replyDropped,
		}).Error("applying the control state delta failed")
		return
	}
	if t, err := reply.receivedTables(); err != nil {
		s.log.WithError(err).Error("decoding the tables failed")
	} else if t != nil {
		s.host.dir.setTables(*t)
	}
	if reply.Lease > 0 {
		s.host.dir.renewLease(sentAt, reply.Lease)
	}
	s.mu.Lock()
	if reply.Stamp.Leadership != s.stamp.Leadership {
		clear(s.sentReports)
	}
	s.stamp = reply.Stamp
	s.reported.acknowledge(reply.Stamp.Leadership, hb.Documents)
	s.everAnswered = true
	s.search.Found()
	s.searchDelay = 0
	s.lastAnswerAt = s.host.clock()
	s.lastAnsweredSentAt = sentAt
	if len(reply.Orders) > 0 {
		s.fastUntil = time.Now().Add(fastHeartbeatDuration)
	}
	s.mu.Unlock()
	s.host.reconcile(ctx)
	for _, o := range reply.Orders {
		s.executeOrder(ctx, o)
	}
	for _, o := range reply.HandOvers {
		s.host.owner.HandOver(o.Instance, o.Epoch)
	}
}

// applyControl applies the delta of the control state in the reply, if it has one,
// and returns what is done with the reply. A control host also follows its own
// replica, which may be ahead of the reply: the control state of the host then
// includes all that the reply has.
func (s *heartbeatSender) applyControl(reply *heartbeatReply) (outcome string, err error) {
	delta := reply.Control
	if len(reply.PackedControl) > 0 {
		if delta, err = compress.Unpack(reply.PackedControl); err != nil {
			return replyDropped, err
		}
	}
	if len(delta) == 0 {
		return replyApplied, nil
	}
	v, err := s.host.dir.view.Load().ApplyDelta(delta)
	if errors.Is(err, control.ErrLowerRevision) {
		return replyOvertaken, nil
	}
	if err != nil {
		return replyDropped, err
	}
	s.host.dir.setView(v)
	return replyApplied, nil
}

// executeOrder executes one order of the leader.
func (s *heartbeatSender) executeOrder(ctx context.Context, o failover.Order) {
	if o.Kind == failover.OrderCheck {
		go s.probeAsWitness(context.WithoutCancel(ctx), o)
		return
	}
	s.mu.Lock()
	s.reportRequested[o.Instance] = true
	s.orderedUntil[o.Instance] = time.Now().Add(fastHeartbeatDuration)
	s.mu.Unlock()
	s.host.owner.ApplyOrder(o)
}

// probeAsWitness probes an instance that this host does not own and queues a
// witness report for the leader.
func (s *heartbeatSender) probeAsWitness(ctx context.Context, o failover.Order) {
	stamp := s.latestStamp()
	ctx, stop := context.WithTimeout(ctx, s.host.timing.ProbeTimeout)
	defer stop()
	st, err := s.host.edge.Probe(ctx, dbedge.Target{Group: o.Group, Instance: o.Instance, Address: o.Address})
	r := failover.Report{
		Group:     o.Group,
		Instance:  o.Instance,
		Witness:   true,
		Reachable: err == nil || errors.Is(err, dbedge.ErrBusy),
		Role:      st.Role,
		Mark:      st.Mark,
		TermStart: st.TermStart,
		After:     stamp,
	}
	s.mu.Lock()
	s.witnessReports = append(s.witnessReports, r)
	s.mu.Unlock()
	s.requestHeartbeat()
}

// startDraining tells the leader to move the ownerships of this host to others.
func (s *heartbeatSender) startDraining() {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	s.requestHeartbeat()
}

// followControl applies each new state of the control server on this host until
// ctx ends.
func (h *Host) followControl(ctx context.Context, s *control.Server) error {
	for {
		changed := s.Changed()
		h.metrics.SetControlLogWritable(!s.Suspended())
		if s.CaughtUp() {
			h.dir.setView(s.View())
			h.reconcile(ctx)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

// handleHeartbeat handles methodHeartbeat calls.
func (h *Host) handleHeartbeat(ctx context.Context, body []byte) (any, error) {
	var hb heartbeat
	if err := json.Unmarshal(body, &hb); err != nil {
		return nil, badMessage(err)
	}
	if err := peer.VerifyHost(ctx, hb.Host); err != nil {
		h.log.WithError(err).WithField("host", hb.Host).Warn("heartbeat refused")
		return nil, err
	}
	if h.control == nil {
		return heartbeatReply{Leader: h.heartbeats.leaderAddress()}, nil
	}
	return h.control.answerHeartbeat(ctx, &hb)
}

// sinceLastAnswer returns the time since a leader last answered.
func (s *heartbeatSender) sinceLastAnswer() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.host.clock() - s.lastAnswerAt
}

// caughtUp reports whether this host has applied the control state of a leader
// since it started.
func (s *heartbeatSender) caughtUp() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.everAnswered
}

func (s *heartbeatSender) leaderAddress() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leader
}
