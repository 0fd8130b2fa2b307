package capacity

import (
	"fmt"
	"math"
	"time"
)

// Role is what a host does.
type Role string

// The roles.
const (
	EveryHost       Role = "every host"
	EntryHost       Role = "entry host"
	Owner           Role = "owner"
	ControlFollower Role = "control follower"
	ControlLeader   Role = "control leader"
)

// Row is what one mechanism costs a host in one role: bytes a second sent and
// received, percent of a core and bytes of memory.
type Row struct {
	Role      Role
	Mechanism string
	BytesPerSecond     float64
	Core      float64
	Memory    float64
	// Estimate is set for what follows the statements of callers: it does not
	// count as control.
	Work bool
}

const (
	day = 24 * 60 * 60 // seconds
	// headerBytes is the IP and TCP header of one packet.
	headerBytes = 52
	// exchangePackets is a question, its answer and an acknowledgement.
	exchangePackets = 3
	// tableChanges is how often one restart of a host changes the tables: it
	// drains, is gone, and is back.
	tableChanges = 3
	// ownerBatches is how many commands move the instances of a restarted
	// host: away from it, and to it again.
	ownerBatches = 2
	// ownersPerGroup is how many owners the statements on a group reach: that
	// of the primary and that of the nearest replica.
	ownersPerGroup = 2
	microsecond    = 1e-6
	percent        = 100
)

// Slopes are measured figures by name.
type Slopes map[string]float64

// Missing returns the names that the arithmetic needs and the slopes lack.
func (s Slopes) Missing() []string {
	seen := recorder{slopes: s}
	work(&seen, UsersSizes(), First())
	work(&seen, UsersSizes(), Today())
	work(&seen, UsersSizes(), Proposed())
	return seen.missing
}

// recorder looks slopes up and notes what is missing.
type recorder struct {
	slopes  Slopes
	missing []string
}

func (r *recorder) get(name string) float64 {
	v, ok := r.slopes[name]
	if !ok {
		r.missing = append(r.missing, name)
	}
	return v
}

// Design says which mechanisms carry the control traffic.
type Design struct {
	Heartbeat time.Duration
	Probe     time.Duration
	// Announce is how often hosts pass on what instances announce.
	Announce time.Duration
	// IdlePings is set where links without a waiting call are probed.
	IdlePings bool
	// Served is the share of all groups that the callers of one host use.
	Served float64
	// WholeTables hands all tables out at each change, and not what changed.
	WholeTables bool
	// AllGroups keeps all groups at every host, and not those that its callers
	// and instances use.
	AllGroups bool
	// DocumentVersions names every document in force in each heartbeat.
	DocumentVersions bool
	// Relays is how many control followers take the heartbeats of their
	// failure domains and pass them on together; zero is none.
	Relays int
}

// Estimate returns what each mechanism costs. Missing slopes count as zero.
func Estimate(s Slopes, z Sizes, d Design) []Row {
	return work(&recorder{slopes: s}, z, d)
}

func work(r *recorder, z Sizes, d Design) []Row {
	rows := []Row{
		heartbeats(r, z, d), tables(r, z, d), state(r, z, d), failureDetection(r),
		announcements(r, z, d), probes(r, z, d), positions(r, z, d),
	}
	rows = append(rows, links(r, z, d), callers(r, z), statements(r, z))
	rows = append(rows, followerRows(r, z, d)...)
	return append(rows, leaderRows(r, z, d)...)
}

func rate(interval time.Duration) float64 { return 1 / interval.Seconds() }

func core(usPerSecond float64) float64 { return usPerSecond * microsecond * percent }

func exchange(bytes float64) float64 { return bytes + exchangePackets*headerBytes }

func beatBytes(r *recorder, z Sizes, d Design) float64 {
	bytes := r.get("heartbeat_bytes") + r.get("heartbeat_reply_bytes") + r.get("call_bytes")
	if d.DocumentVersions {
		bytes += float64(z.Services) * r.get("heartbeat_document_bytes")
	}
	return exchange(bytes)
}

func heartbeats(r *recorder, z Sizes, d Design) Row {
	cpu := r.get("host_idle_second_cpu") * z.Heartbeat.Seconds()
	if d.DocumentVersions {
		cpu += float64(z.Services) * r.get("leader_heartbeat_document_cpu") / 2
	}
	return Row{
		Role: EveryHost, Mechanism: "heartbeat", BytesPerSecond: beatBytes(r, z, d) * rate(d.Heartbeat),
		Core: core(cpu * rate(d.Heartbeat)),
	}
}

// tableRate is the changes of the host table a second.
func tableRate(z Sizes) float64 { return float64(z.Restarts+z.Failures) * tableChanges / day }

func tablesBytes(r *recorder, z Sizes) float64 {
	return float64(z.Hosts)*r.get("tables_host_bytes") + float64(z.Instances())*r.get("tables_instance_bytes")
}

// served returns how many groups the callers of a host use.
func served(z Sizes, d Design) float64 {
	groups := float64(z.Groups) * d.Served
	return groups * (1 - math.Exp(-float64(z.Callers)/float64(z.Hosts)/groups))
}

// groupShare is the share of all groups that a host keeps views of.
func groupShare(z Sizes, d Design) float64 {
	if d.AllGroups {
		return 1
	}
	return min(1, (served(z, d)+float64(z.Instances())/float64(z.Hosts))/float64(z.Groups))
}

func tables(r *recorder, z Sizes, d Design) Row {
	row := Row{Role: EveryHost, Mechanism: "tables of hosts and instances", Memory: r.get("host_tables_memory") * groupShare(z, d)}
	row.BytesPerSecond = tableRate(z) * r.get("tables_delta_bytes")
	row.Core = core(tableRate(z) * r.get("host_tables_delta_cpu") * groupShare(z, d))
	if d.WholeTables {
		row.BytesPerSecond = tableRate(z) * tablesBytes(r, z)
		row.Core = core(tableRate(z) * r.get("host_tables_cpu"))
	}
	return row
}

func stateRates(z Sizes) (documents, owners, terms float64) {
	documents = float64(z.Documents) / day
	owners = float64(z.Restarts+z.Failures) * ownerBatches / day
	terms = float64(z.PrimaryChanges) * 2 / day
	return documents, owners, terms
}

func state(r *recorder, z Sizes, d Design) Row {
	documents, owners, terms := stateRates(z)
	batch := float64(z.Instances()) / float64(z.Hosts)
	cpu := documents*r.get("host_delta_document_cpu") + owners*r.get("host_delta_owner_cpu") + terms*r.get("host_delta_term_cpu")
	return Row{
		Role: EveryHost, Mechanism: "agreed state",
		BytesPerSecond: documents*r.get("delta_document_bytes") + owners*batch*r.get("delta_owner_bytes") + terms*r.get("delta_term_bytes"),
		Core:  core(cpu * groupShare(z, d)), Memory: r.get("host_state_memory"),
	}
}

func failureDetection(r *recorder) Row {
	messages := r.get("membership_second_messages")
	return Row{
		Role: EveryHost, Mechanism: "failure detection",
		BytesPerSecond: 2 * (r.get("membership_second_bytes") + messages*headerBytes),
		Core:  2 * core(r.get("membership_second_cpu")), Memory: r.get("membership_memory"),
	}
}

func announcements(r *recorder, z Sizes, d Design) Row {
	n := float64(z.Instances()) / float64(z.Hosts) * rate(d.Announce)
	return Row{
		Role: EveryHost, Mechanism: "announcements passed on", BytesPerSecond: n * r.get("announcement_bytes"),
		Core: core(n * r.get("leader_announcement_cpu")),
	}
}

func probes(r *recorder, z Sizes, d Design) Row {
	n := float64(z.Instances()) / float64(z.Hosts) * rate(d.Probe)
	return Row{
		Role: Owner, Mechanism: "probes of instances", BytesPerSecond: n * exchange(r.get("probe_bytes")),
		Core: core(n * r.get("probe_cpu_both_ends") / 2),
	}
}

// positions are asked of the owner of the primary by the owner of each replica
// that is read; both ends are counted.
func positions(r *recorder, z Sizes, d Design) Row {
	replicas := float64(z.Groups*(z.InstancesPerGroup-1)) / float64(z.Hosts)
	n := 2 * replicas * rate(d.Probe)
	return Row{
		Role: Owner, Mechanism: "positions for replicas that are read", BytesPerSecond: n * exchange(r.get("position_bytes")),
		Core: core(n * r.get("position_cpu_both_ends") / 2),
	}
}

// Links returns how many links a host has open to owners; as many others lead
// to it.
func Links(z Sizes, d Design) float64 {
	uses := served(z, d) * ownersPerGroup
	return float64(z.Hosts) * (1 - math.Exp(-uses/float64(z.Hosts)))
}

func links(r *recorder, z Sizes, d Design) Row {
	ends := 2 * Links(z, d)
	row := Row{Role: EntryHost, Mechanism: "links to other hosts", Memory: ends * r.get("link_memory_both_ends") / 2}
	if d.IdlePings {
		row.BytesPerSecond = ends * (r.get("link_idle_bytes") + rate(z.Ping)*exchangePackets*headerBytes)
		row.Core = core(ends * r.get("link_idle_cpu_both_ends") / 2)
	}
	return row
}

func callers(r *recorder, z Sizes) Row {
	return Row{
		Role: EntryHost, Mechanism: "caller connections", Work: true,
		Memory: float64(z.Callers) / float64(z.Hosts) * r.get("caller_memory"),
	}
}

func statements(r *recorder, z Sizes) Row {
	n := float64(z.Statements) / float64(z.Hosts)
	cpu := r.get("statement_forwarded_entry_cpu") + r.get("statement_forwarded_owner_cpu")
	return Row{
		Role: EntryHost, Mechanism: "statements, all forwarded", Work: true,
		BytesPerSecond: 2 * n * exchange(r.get("forward_bytes")), Core: core(n * cpu),
	}
}

func commitRate(z Sizes) float64 {
	documents, owners, terms := stateRates(z)
	return documents + owners + terms
}

func followerRows(r *recorder, z Sizes, d Design) []Row {
	others := float64(z.ControlHosts - 1)
	commit := r.get(fmt.Sprintf("commit_%d_hosts_bytes", z.ControlHosts)) / others
	messages := r.get(fmt.Sprintf("control_idle_leader_%d_hosts_messages", z.ControlHosts)) / others
	idle := r.get(fmt.Sprintf("control_idle_leader_%d_hosts_bytes", z.ControlHosts)) / others
	rows := []Row{{
		Role: ControlFollower, Mechanism: "replicated log",
		BytesPerSecond:  2*(idle+messages*headerBytes) + commitRate(z)*commit,
		Core:   core(r.get("control_idle_cpu")*1000 + commitRate(z)*(r.get("log_document_cpu")+r.get("state_change_cpu"))),
		Memory: 2*r.get("state_memory") + 2*r.get("snapshot_bytes"),
	}}
	if d.Relays > 0 {
		beats := float64(z.Hosts) / float64(d.Relays) * rate(d.Heartbeat)
		rows = append(rows, Row{
			Role: ControlFollower, Mechanism: "relay for a failure domain", BytesPerSecond: beats * beatBytes(r, z, d),
			Core: core(beats * (r.get("call_cpu_both_ends")/2 + r.get("leader_heartbeat_cpu")/2)),
		})
	}
	return rows
}

func leaderRows(r *recorder, z Sizes, d Design) []Row {
	beats := float64(z.Hosts) * rate(d.Heartbeat)
	cpu := r.get("leader_heartbeat_cpu") + r.get("call_cpu_both_ends")/2
	bytes := beatBytes(r, z, d)
	if d.DocumentVersions {
		cpu += float64(z.Services) * r.get("leader_heartbeat_document_cpu")
	}
	if d.Relays > 0 { // what relays pass on is one call for many heartbeats
		cpu -= r.get("call_cpu_both_ends") / 2
		bytes -= exchangePackets * headerBytes
	}
	heartbeats := Row{Role: ControlLeader, Mechanism: "heartbeats", BytesPerSecond: beats * bytes, Core: core(beats * cpu), Memory: r.get("leader_memory")}
	out := Row{Role: ControlLeader, Mechanism: "tables to all hosts"}
	receivers := float64(z.Hosts)
	if d.Relays > 0 {
		receivers = float64(d.Relays)
	}
	out.BytesPerSecond = tableRate(z) * receivers * r.get("tables_delta_bytes")
	out.Core = core(tableRate(z) * receivers * r.get("tables_delta_encode_cpu"))
	if d.WholeTables {
		out.BytesPerSecond = tableRate(z) * receivers * tablesBytes(r, z)
		out.Core = core(tableRate(z) * receivers * r.get("tables_encode_cpu"))
	}
	agreed := state(r, z, d)
	changes := Row{Role: ControlLeader, Mechanism: "agreed state to all hosts", BytesPerSecond: receivers * agreed.BytesPerSecond}
	log := Row{
		Role: ControlLeader, Mechanism: "replicated log",
		BytesPerSecond: 2*r.get(fmt.Sprintf("control_idle_leader_%d_hosts_bytes", z.ControlHosts)) + commitRate(z)*r.get(fmt.Sprintf("commit_%d_hosts_bytes", z.ControlHosts)),
		Core:  core(r.get("control_idle_cpu")*1000 + commitRate(z)*r.get("leader_command_cpu")),
	}
	announced := announcements(r, z, d)
	passed := Row{
		Role: ControlLeader, Mechanism: announced.Mechanism,
		BytesPerSecond: float64(z.Hosts) * announced.BytesPerSecond, Core: float64(z.Hosts) * announced.Core,
	}
	return []Row{heartbeats, passed, out, changes, log}
}

// First is the design before tables went out as deltas and versions only when
// they changed.
func First() Design {
	d := Today()
	d.WholeTables, d.DocumentVersions = true, true
	return d
}

// Today is the design as the code has it.
func Today() Design {
	z := UsersSizes()
	return Design{
		Heartbeat: z.Heartbeat, Probe: z.Probe, Announce: z.Announce, IdlePings: true, Served: 1, AllGroups: true,
	}
}

// Proposed is the design that the capacity page proposes for the full size.
func Proposed() Design {
	return Design{
		Heartbeat: 2 * time.Second, Probe: time.Second, Announce: 5 * time.Second, Served: 0.05, Relays: 10,
	}
}

// ControlTotal sums what a host that serves callers, owns instances and is no
// control host spends on control.
func ControlTotal(rows []Row) Row {
	var sum Row
	for _, r := range rows {
		if r.Work || r.Role == ControlFollower || r.Role == ControlLeader {
			continue
		}
		sum.BytesPerSecond += r.BytesPerSecond
		sum.Core += r.Core
		sum.Memory += r.Memory
	}
	return sum
}
