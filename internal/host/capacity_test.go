package host

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/amaranthweir/amaranthweir/internal/bootclock"
	"github.com/amaranthweir/amaranthweir/internal/capacity"
	"github.com/amaranthweir/amaranthweir/internal/capacity/capacitytest"
	"github.com/amaranthweir/amaranthweir/internal/config"
	"github.com/amaranthweir/amaranthweir/internal/control"
	"github.com/amaranthweir/amaranthweir/internal/dbedge"
	"github.com/amaranthweir/amaranthweir/internal/system/failover"
	"github.com/amaranthweir/amaranthweir/internal/system/lease"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

// large is a control leader before a deployment of full size. Its clock stands
// still but for advance.
type large struct {
	b     *testing.B
	sizes capacity.Sizes
	host  *Host
	now   time.Duration
	beats []heartbeat
}

func newLarge(b *testing.B) *large {
	log := logrus.New()
	log.SetOutput(io.Discard)
	h := &Host{
		settings: &config.Settings{
			Host: "control-1", Domain: "domain-0", PeerAddress: "127.0.0.1:1",
			Control: &config.ControlSettings{
				DataFolder: b.TempDir(),
				Voters:     []config.PeerSettings{{Host: "control-1", PeerAddress: "127.0.0.1:1"}},
			},
		},
		timing: failover.DefaultConfig(),
		log:    log,
	}
	h.dir = newDirectory("host-0000", h.clock, log)
	l, err := newLeader(h)
	assert.NilError(b, err)
	h.leader = l
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	l.ctx = ctx
	go func() { done <- l.server.Run(ctx) }()
	b.Cleanup(func() {
		stop()
		assert.NilError(b, <-done)
	})
	f := &large{b: b, sizes: capacity.UsersSizes(), host: h, now: time.Minute}
	f.advance(0)
	f.until(func() bool { _, _, leased := l.server.Leader(); return leased && l.server.CaughtUp() })
	return f
}

func (f *large) advance(d time.Duration) {
	f.now += d
	f.host.started = bootclock.Now() - f.now
}

func (f *large) until(ok func() bool) {
	for {
		changed := f.host.leader.server.Changed()
		if ok() {
			return
		}
		<-changed
	}
}

func (f *large) hostID(i int) table.HostID { return table.HostID(fmt.Sprintf("host-%04d", i)) }

func (f *large) groupName(g int) table.GroupName {
	return table.GroupName(fmt.Sprintf("group-%04d", g))
}

func (f *large) instance(g, n int) table.InstanceID {
	return table.InstanceID(fmt.Sprintf("group-%04d-%d", g, n))
}

// domain is where instance n of group g and its owner are.
func (f *large) domain(g, n int) int { return (g + n) % f.sizes.Domains }

func (f *large) owner(g, n int) int {
	perDomain := f.sizes.Hosts / f.sizes.Domains
	return f.domain(g, n) + f.sizes.Domains*((g*f.sizes.InstancesPerGroup+n)%perDomain)
}

// agree brings groups, owners and documents into the control state.
func (f *large) agree() {
	var owners []table.Ownership
	var work sync.WaitGroup
	turn := make(chan struct{}, 256)
	propose := func(c control.Command) {
		turn <- struct{}{}
		work.Add(1)
		go func() {
			defer work.Done()
			defer func() { <-turn }()
			res, err := f.host.leader.server.Propose(f.b.Context(), c)
			assert.Check(f.b, err)
			assert.Check(f.b, res.Err())
		}()
	}
	for g := range f.sizes.Groups {
		propose(control.Command{BeginTerm: &control.BeginTerm{Group: f.groupName(g), Term: 1, Candidate: f.instance(g, 0)}})
		for n := range f.sizes.InstancesPerGroup {
			owners = append(owners, table.Ownership{Instance: f.instance(g, n), Host: f.hostID(f.owner(g, n)), Epoch: 1})
		}
	}
	for s := range f.sizes.Services {
		propose(f.document(s, 1))
	}
	work.Wait()
	for g := range f.sizes.Groups {
		propose(control.Command{SetPrimary: &control.SetPrimary{Group: f.groupName(g), Term: 1, Primary: f.instance(g, 0), TermStart: 1}})
	}
	for len(owners) > 0 {
		n := min(len(owners), 1000)
		propose(control.Command{AssignOwners: &control.AssignOwners{Ownerships: owners[:n]}})
		owners = owners[n:]
	}
	work.Wait()
}

// document is a service document with six classes.
func (f *large) document(s int, version uint64) control.Command {
	var groups, classes []string
	service := fmt.Sprintf("service-%03d", s)
	for g := s; g < f.sizes.Groups; g += f.sizes.Services {
		groups = append(groups, fmt.Sprintf(`{"name": "%s", "instances": %d}`, f.groupName(g), f.sizes.InstancesPerGroup))
	}
	for c := range 6 {
		classes = append(classes, fmt.Sprintf(`{"name": "class-%d", "rank": "normal", "access": "write", "group": "%s", `+
			`"deadline": "8s", "worth": 10, "repeatable": true}`, c, f.groupName(s)))
	}
	body := []byte(fmt.Sprintf(`{"service": %q, "version": %d, "groups": [%s], "classes": [%s], "default_class": "class-0"}`,
		service, version, strings.Join(groups, ",\n"), strings.Join(classes, ",\n")))
	_, err := config.ParseDocument(service, body)
	assert.NilError(f.b, err)
	return control.Command{PutDocument: &control.PutDocument{
		Service: service, Version: version, Digest: config.DocumentDigest(body), Body: body,
	}}
}

func (f *large) announcement(g, n int) dbedge.Announcement {
	a := dbedge.Announcement{
		Instance: f.instance(g, n), Group: f.groupName(g), Address: fmt.Sprintf("127.2.%d.%d:1", g/250, g%250),
		Domain: table.Domain(fmt.Sprint("domain-", f.domain(g, n))), Role: "replica", Term: 1, Position: 123456789,
		Slots: 3, Connections: 45,
	}
	if n == 0 {
		a.Role = "primary"
	}
	return a
}

func (f *large) report(g, n int, stamp failover.Stamp) failover.Report {
	r := failover.Report{
		Group: f.groupName(g), Instance: f.instance(g, n), Reachable: true, Mark: table.Mark{Term: 1, Position: 123456789},
		TermStart: 1, After: stamp, SeenTerm: 1,
	}
	if n == 0 {
		r.Role, r.Acked, r.AckedKnown = table.RolePrimary, r.Mark, true
	}
	return r
}

// join brings all hosts, instances and reports to the leader. Nothing that the
// systems order on the way is carried out.
func (f *large) join() {
	l := f.host.leader
	l.mu.Lock()
	defer l.mu.Unlock()
	f.advance(0)
	capacitytest.Report(f.b, "leader_take_office_cpu", capacitytest.PerRun(1, func(int) {
		assert.Assert(f.b, l.refresh(f.now))
	}), capacity.Microsecond)
	f.beats = make([]heartbeat, f.sizes.Hosts)
	for i := range f.beats {
		f.beats[i] = heartbeat{
			Host: f.hostID(i), Domain: table.Domain(fmt.Sprint("domain-", i%f.sizes.Domains)),
			PeerAddress: fmt.Sprintf("127.1.%d.%d:1", i/250, i%250), Incarnation: 1_700_000_000_000_000_000, Sequence: 1,
		}
		f.renew(i)
	}
	for g := range f.sizes.Groups {
		for n := range f.sizes.InstancesPerGroup {
			l.announced(f.now, f.announcement(g, n))
		}
	}
	f.steps("joining")
	for _, name := range []string{"first_reports", "second_reports"} {
		f.advance(time.Millisecond)
		f.reportAll()
		f.steps(name)
	}
	assert.Assert(f.b, l.refresh(f.now))
	for i := range f.beats {
		f.beats[i].Revision, f.beats[i].Tables = l.fed.Revision, l.version
		f.renew(i)
	}
}

func (f *large) renew(i int) {
	hb := &f.beats[i]
	l := f.host.leader
	hb.Sequence++
	_, ok := l.grantor.Grant(f.now, hb.Host, lease.HeartbeatID{Incarnation: hb.Incarnation, Sequence: hb.Sequence})
	assert.Assert(f.b, ok)
	l.hostSeen(f.now, hb)
}

func (f *large) reportAll() {
	l := f.host.leader
	stamp := l.failover.Stamp(f.now)
	for g := range f.sizes.Groups {
		for n := range f.sizes.InstancesPerGroup {
			l.failover.HandleReports(f.now, f.hostID(f.owner(g, n)), []failover.Report{f.report(g, n, stamp)})
		}
	}
}

// steps measures a step of both systems and drops its actions.
func (f *large) steps(name string) {
	l := f.host.leader
	active := float64(l.failover.ActiveGroups())
	capacitytest.Report(f.b, "leader_active_groups_"+name, active, capacity.Count)
	capacitytest.Report(f.b, "leader_step_cpu_"+name, capacitytest.PerRun(1, func(int) {
		l.failover.Step(f.now)
		l.ownership.Step(f.now)
	}), capacity.Microsecond)
	capacitytest.Report(f.b, "leader_step_again_cpu_"+name, capacitytest.PerRun(1, func(int) {
		l.failover.Step(f.now)
		l.ownership.Step(f.now)
	}), capacity.Microsecond)
}

// beat sends the next heartbeat of host i to the leader. The tables are
// not handed out unless the host's version says so.
func (f *large) beat(i int) heartbeatReply {
	f.advance(0)
	f.beats[i].Sequence++
	return f.host.leader.heartbeat(&f.beats[i])
}

// BenchmarkCapacityLeader measures the control leader, and what its tables and
// the agreed state cost a host, at full size.
func BenchmarkCapacityLeader(b *testing.B) {
	before := capacitytest.InUse()
	f := newLarge(b)
	begin := capacitytest.CPU()
	f.agree()
	commands := float64(2*f.sizes.Groups + f.sizes.Services)
	capacitytest.Report(b, "leader_command_cpu", (capacitytest.CPU()-begin).Seconds()*1e6/commands, capacity.Microsecond)
	f.join()
	l := f.host.leader
	capacitytest.Report(b, "leader_memory", capacitytest.InUse()-before, capacity.Bytes)
	assert.Equal(b, len(l.hosts), f.sizes.Hosts)
	assert.Equal(b, len(l.instances), f.sizes.Instances())
	capacitytest.Report(b, "leader_active_groups", float64(l.failover.ActiveGroups()), capacity.Count)
	l.mu.Lock()
	idle := capacitytest.PerRun(200, func(int) {
		f.advance(0)
		l.step(l.host.clock())
	})
	l.mu.Unlock()
	capacitytest.Report(b, "leader_step_cpu", idle, capacity.Microsecond)
	f.measureHeartbeats()
	f.measureReturn()
	f.measureTables()
	f.measureHost()
}

func size(b *testing.B, v any) float64 {
	body, err := json.Marshal(v)
	assert.NilError(b, err)
	return float64(len(body))
}

// measureHeartbeats measures one idle heartbeat and what it carries besides.
func (f *large) measureHeartbeats() {
	b := f.b
	hb := f.beats[7]
	capacitytest.Report(b, "heartbeat_bytes", size(b, hb), capacity.Bytes)
	reply := f.beat(7)
	assert.Assert(b, reply.Leads && reply.Lease > 0 && reply.Tables == nil && reply.Control == nil)
	capacitytest.Report(b, "heartbeat_reply_bytes", size(b, reply), capacity.Bytes)
	capacitytest.Report(b, "report_bytes", size(b, f.report(7, 1, reply.Stamp)), capacity.Bytes)
	capacitytest.Report(b, "announcement_bytes", size(b, f.announcement(7, 1)), capacity.Bytes)
	announcement, err := json.Marshal(f.announcement(7, 1))
	assert.NilError(b, err)
	capacitytest.Report(b, "leader_announcement_cpu", capacitytest.PerRun(20_000, func(int) {
		var a dbedge.Announcement
		assert.NilError(b, json.Unmarshal(announcement, &a))
		f.host.leader.announced(f.now, a)
	}), capacity.Microsecond)
	documents := map[string]uint64{}
	for s := range f.sizes.Services {
		documents[fmt.Sprintf("service-%03d", s)] = 1
	}
	capacitytest.Report(b, "heartbeat_document_bytes", size(b, documents)/float64(len(documents)), capacity.Bytes)
	take := func(i int) {
		f.advance(0)
		i %= f.sizes.Hosts
		f.beats[i].Sequence++
		body, err := json.Marshal(&f.beats[i])
		assert.NilError(b, err)
		var hb heartbeat
		assert.NilError(b, json.Unmarshal(body, &hb))
		_ = size(b, f.host.leader.heartbeat(&hb))
	}
	bare := capacitytest.PerRun(f.sizes.Hosts, take)
	capacitytest.Report(b, "leader_heartbeat_cpu", bare, capacity.Microsecond)
	for i := range f.beats {
		f.beats[i].Documents = documents
	}
	memory := capacitytest.InUse()
	full := capacitytest.PerRun(f.sizes.Hosts/4, take)
	capacitytest.Report(b, "leader_versions_memory", 4*(capacitytest.InUse()-memory), capacity.Bytes)
	capacitytest.Report(b, "leader_heartbeat_document_cpu", (full-bare)/float64(len(documents)), capacity.Microsecond)
	for i := range f.beats {
		f.beats[i].Documents = nil
	}
}

// measureReturn measures what a host costs the leader that comes back without
// any state, as many do at once.
func (f *large) measureReturn() {
	const hosts = 20
	capacitytest.Report(f.b, "leader_return_cpu", capacitytest.PerRun(hosts, func(i int) {
		hb := f.beats[i]
		hb.Revision, hb.Tables, hb.Sequence = 0, tablesVersion{}, hb.Sequence+1
		f.advance(0)
		reply := f.host.leader.heartbeat(&hb)
		assert.Assert(f.b, reply.Tables != nil && len(reply.Control) > 0)
		f.beats[i].Sequence = hb.Sequence
	}), capacity.Microsecond)
}

// measureTables measures the whole tables as they go to a host.
func (f *large) measureTables() {
	b := f.b
	t := f.host.leader.tables(tablesVersion{})
	capacitytest.Report(b, "tables_host_bytes", size(b, t.Hosts)/float64(len(t.Hosts)), capacity.Bytes)
	capacitytest.Report(b, "tables_instance_bytes", size(b, t.Instances)/float64(len(t.Instances)), capacity.Bytes)
	capacitytest.Report(b, "tables_encode_cpu", capacitytest.PerRun(3, func(int) {
		_ = size(b, f.host.leader.tables(tablesVersion{}))
	}), capacity.Microsecond)
}

// measureHost measures what a host that is no control host makes of what the
// leader hands out.
func (f *large) measureHost() {
	b := f.b
	view := f.host.leader.server.View()
	whole, err := view.EncodeDelta(0)
	assert.NilError(b, err)
	capacitytest.Report(b, "state_bytes", float64(len(whole)), capacity.Bytes)
	body, err := json.Marshal(f.host.leader.tables(tablesVersion{}))
	assert.NilError(b, err)
	before := capacitytest.InUse()
	d := newDirectory("host-0000", f.host.clock, f.host.log)
	begin := capacitytest.CPU()
	first, err := d.view.Load().ApplyDelta(whole)
	assert.NilError(b, err)
	d.setView(first)
	capacitytest.Report(b, "host_state_cpu", (capacitytest.CPU()-begin).Seconds()*1e6, capacity.Microsecond)
	capacitytest.Report(b, "host_state_memory", capacitytest.InUse()-before, capacity.Bytes)
	before = capacitytest.InUse()
	take := func(int) {
		var t tables
		assert.NilError(b, json.Unmarshal(body, &t))
		d.setTables(t)
	}
	capacitytest.Report(b, "host_tables_cpu", capacitytest.PerRun(3, take), capacity.Microsecond)
	capacitytest.Report(b, "host_tables_memory", capacitytest.InUse()-before, capacity.Bytes)
	f.measureTableDelta(d)
	f.measureDelta(d, "document", f.document(3, 2))
	f.measureDelta(d, "owner", control.Command{AssignOwners: &control.AssignOwners{
		Ownerships: []table.Ownership{{Instance: f.instance(3, 1), Host: f.hostID(f.owner(3, 1)), Epoch: 2}},
	}})
	f.measureDelta(d, "term", control.Command{BeginTerm: &control.BeginTerm{
		Group: f.groupName(5), Term: 2, Candidate: f.instance(5, 1),
	}})
}

// measureTableDelta measures a change of one host.
func (f *large) measureTableDelta(d *directory) {
	b := f.b
	l := f.host.leader
	old := d.tables
	l.hostChanged(f.hostID(77))
	delta, err := json.Marshal(l.tables(old.Version))
	assert.NilError(b, err)
	capacitytest.Report(b, "tables_delta_bytes", float64(len(delta)), capacity.Bytes)
	capacitytest.Report(b, "tables_delta_encode_cpu", capacitytest.PerRun(1000, func(int) {
		_ = size(b, l.tables(old.Version))
	}), capacity.Microsecond)
	capacitytest.Report(b, "host_tables_delta_cpu", capacitytest.PerRun(3, func(int) {
		var t tables
		assert.NilError(b, json.Unmarshal(delta, &t))
		d.tables = old
		d.setTables(t)
		assert.Equal(b, d.tables.Version, l.version)
	}), capacity.Microsecond)
}

// measureDelta measures a change of the agreed state at a host.
func (f *large) measureDelta(d *directory, name string, c control.Command) {
	b := f.b
	server := f.host.leader.server
	since := server.Revision()
	res, err := server.Propose(b.Context(), c)
	assert.NilError(b, err)
	assert.NilError(b, res.Err())
	f.until(func() bool { return server.Revision() > since })
	delta, err := server.View().EncodeDelta(since)
	assert.NilError(b, err)
	capacitytest.Report(b, "delta_"+name+"_bytes", float64(len(delta)), capacity.Bytes)
	old := d.view.Load()
	capacitytest.Report(b, "host_delta_"+name+"_cpu", capacitytest.PerRun(3, func(int) {
		next, err := old.ApplyDelta(delta)
		assert.NilError(b, err)
		d.mu.Lock()
		d.view.Store(old)
		d.mu.Unlock()
		d.setView(next)
	}), capacity.Microsecond)
}
