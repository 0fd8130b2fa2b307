package capacity

import (
	"fmt"
	"math"
	"time"
)

// Role is the role of a host in a deployment.
type Role string

// The roles of hosts. EveryHost covers what a host does in any role.
const (
	EveryHost       Role = "every host"
	EntryHost       Role = "entry host"
	Owner           Role = "owner"
	ControlFollower Role = "control follower"
	ControlLeader   Role = "control leader"
)

// Cost is what one mechanism costs a host in one role.
type Cost struct {
	Role           Role
	Mechanism      string
	BytesPerSecond float64 // sent and received
	CorePercent    float64 // share of one core
	MemoryBytes    float64
	// CallerLoad is set for a cost that callers and their statements cause. Such a
	// cost does not count as control.
	CallerLoad bool
}

const (
	secondsPerDay = 24 * 60 * 60
	// headerBytes is the size of the IP and TCP headers of one packet.
	headerBytes = 52
	// exchangePackets counts a request, its response and a TCP acknowledgement.
	exchangePackets = 3
	// tableChangesPerRestart is how often the restart of a host changes the tables:
	// the host drains, ends and returns.
	tableChangesPerRestart = 3
	// ownerCommandsPerRestart is the number of commands that move the instances of
	// a restarted host: one to other hosts, and one back.
	ownerCommandsPerRestart = 2
	// ownersPerGroup is the number of owners that an entry host uses for a group:
	// the owner of the primary and that of the nearest replica.
	ownersPerGroup = 2
	microsecond    = 1e-6
	percent        = 100
)

// Figures holds the values of measured figures by name.
type Figures map[string]float64

// Missing returns the names of the figures that the estimates of all designs need
// and that f lacks. A name may occur more than once.
func (f Figures) Missing() []string {
	r := recorder{figures: f}
	estimate(&r, ExpectedSizes(), InitialDesign())
	estimate(&r, ExpectedSizes(), CurrentDesign())
	estimate(&r, ExpectedSizes(), ProposedDesign())
	return r.missing
}

// recorder looks up figures and records the names of missing ones.
type recorder struct {
	figures Figures
	missing []string
}

// get returns the value of a figure, or zero if it is missing.
func (r *recorder) get(name string) float64 {
	v, ok := r.figures[name]
	if !ok {
		r.missing = append(r.missing, name)
	}
	return v
}

// Design states which mechanisms carry the control traffic.
type Design struct {
	HeartbeatInterval time.Duration
	ProbeInterval     time.Duration
	// AnnounceInterval is the interval at which hosts forward the announcements
	// of an instance.
	AnnounceInterval time.Duration
	// IdlePings pings the links that carry no call.
	IdlePings bool
	// UsedGroupShare is the share of all groups that the callers of one host use.
	UsedGroupShare float64
	// FullTables sends the full tables after each change instead of a delta.
	FullTables bool
	// AllGroups keeps all groups at every host, instead of only those that its
	// callers and instances use.
	AllGroups bool
	// DocumentVersions puts the version of every document in force in each
	// heartbeat.
	DocumentVersions bool
	// Relays is the number of control followers that batch the heartbeats of
	// their failure domains for the leader. With zero relays, hosts send their
	// heartbeats to the leader itself.
	Relays int
}

// Estimate returns the cost of each mechanism for a deployment of the sizes.
// Missing figures count as zero.
func Estimate(f Figures, s Sizes, d Design) []Cost {
	return estimate(&recorder{figures: f}, s, d)
}

// estimate implements Estimate with the figures of r.
func estimate(r *recorder, s Sizes, d Design) []Cost {
	costs := []Cost{
		heartbeats(r, s, d), tables(r, s, d), controlState(r, s, d), failureDetection(r),
		announcements(r, s, d), probes(r, s, d), positions(r, s, d),
	}
	costs = append(costs, links(r, s, d), callers(r, s), statements(r, s))
	costs = append(costs, followerCosts(r, s, d)...)
	return append(costs, leaderCosts(r, s, d)...)
}

// rate converts an interval to a rate per second.
func rate(interval time.Duration) float64 { return 1 / interval.Seconds() }

// corePercent converts microseconds of CPU time per second to percent of a core.
func corePercent(usPerSecond float64) float64 { return usPerSecond * microsecond * percent }

// exchangeBytes adds the packet headers of one exchange to its payload bytes.
func exchangeBytes(bytes float64) float64 { return bytes + exchangePackets*headerBytes }

// heartbeatBytes returns the bytes of one heartbeat and its reply.
func heartbeatBytes(r *recorder, s Sizes, d Design) float64 {
	bytes := r.get("heartbeat_bytes") + r.get("heartbeat_reply_bytes") + r.get("call_bytes")
	if d.DocumentVersions {
		bytes += float64(s.Services) * r.get("heartbeat_document_bytes")
	}
	return exchangeBytes(bytes)
}

func heartbeats(r *recorder, s Sizes, d Design) Cost {
	// The CPU time of an idle host is attributed to its heartbeats. It is measured
	// at the default interval, which is s.HeartbeatInterval.
	cpu := r.get("host_idle_second_cpu") * s.HeartbeatInterval.Seconds()
	if d.DocumentVersions {
		cpu += float64(s.Services) * r.get("leader_heartbeat_document_cpu") / 2
	}
	return Cost{
		Role: EveryHost, Mechanism: "heartbeat", BytesPerSecond: heartbeatBytes(r, s, d) * rate(d.HeartbeatInterval),
		CorePercent: corePercent(cpu * rate(d.HeartbeatInterval)),
	}
}

// tableRate returns the changes of the host table per second.
func tableRate(s Sizes) float64 {
	return float64(s.RestartsPerDay+s.FailuresPerDay) * tableChangesPerRestart / secondsPerDay
}

// tablesBytes returns the encoded size of the full tables.
func tablesBytes(r *recorder, s Sizes) float64 {
	return float64(s.Hosts)*r.get("tables_host_bytes") + float64(s.Instances())*r.get("tables_instance_bytes")
}

// usedGroups returns the expected number of groups that the callers of a host
// use, if each caller uses a random one of the groups that the host may serve.
func usedGroups(s Sizes, d Design) float64 {
	groups := float64(s.Groups) * d.UsedGroupShare
	return groups * (1 - math.Exp(-float64(s.Callers)/float64(s.Hosts)/groups))
}

// groupShare returns the share of all groups that a host keeps views of.
func groupShare(s Sizes, d Design) float64 {
	if d.AllGroups {
		return 1
	}
	return min(1, (usedGroups(s, d)+float64(s.Instances())/float64(s.Hosts))/float64(s.Groups))
}

func tables(r *recorder, s Sizes, d Design) Cost {
	cost := Cost{Role: EveryHost, Mechanism: "tables of hosts and instances", MemoryBytes: r.get("host_tables_memory") * groupShare(s, d)}
	cost.BytesPerSecond = tableRate(s) * r.get("tables_delta_bytes")
	cost.CorePercent = corePercent(tableRate(s) * r.get("host_tables_delta_cpu") * groupShare(s, d))
	if d.FullTables {
		cost.BytesPerSecond = tableRate(s) * tablesBytes(r, s)
		cost.CorePercent = corePercent(tableRate(s) * r.get("host_tables_cpu"))
	}
	return cost
}

// changeRates returns the changes of the control state per second, by kind.
func changeRates(s Sizes) (documents, owners, terms float64) {
	documents = float64(s.DocumentsPerDay) / secondsPerDay
	owners = float64(s.RestartsPerDay+s.FailuresPerDay) * ownerCommandsPerRestart / secondsPerDay
	// A change of primary takes two commands: BeginTerm and SetPrimary.
	terms = float64(s.PrimaryChangesPerDay) * 2 / secondsPerDay
	return documents, owners, terms
}

func controlState(r *recorder, s Sizes, d Design) Cost {
	documents, owners, terms := changeRates(s)
	instancesPerHost := float64(s.Instances()) / float64(s.Hosts)
	cpu := documents*r.get("host_delta_document_cpu") + owners*r.get("host_delta_owner_cpu") + terms*r.get("host_delta_term_cpu")
	return Cost{
		Role: EveryHost, Mechanism: "agreed state",
		BytesPerSecond: documents*r.get("delta_document_bytes") + owners*instancesPerHost*r.get("delta_owner_bytes") + terms*r.get("delta_term_bytes"),
		CorePercent:    corePercent(cpu * groupShare(s, d)), MemoryBytes: r.get("host_state_memory"),
	}
}

func failureDetection(r *recorder) Cost {
	messages := r.get("membership_second_messages")
	return Cost{
		Role: EveryHost, Mechanism: "failure detection",
		BytesPerSecond: 2 * (r.get("membership_second_bytes") + messages*headerBytes),
		CorePercent:    2 * corePercent(r.get("membership_second_cpu")), MemoryBytes: r.get("membership_memory"),
	}
}

func announcements(r *recorder, s Sizes, d Design) Cost {
	n := float64(s.Instances()) / float64(s.Hosts) * rate(d.AnnounceInterval)
	return Cost{
		Role: EveryHost, Mechanism: "announcements passed on", BytesPerSecond: n * r.get("announcement_bytes"),
		CorePercent: corePercent(n * r.get("leader_announcement_cpu")),
	}
}

func probes(r *recorder, s Sizes, d Design) Cost {
	n := float64(s.Instances()) / float64(s.Hosts) * rate(d.ProbeInterval)
	return Cost{
		Role: Owner, Mechanism: "probes of instances", BytesPerSecond: n * exchangeBytes(r.get("probe_bytes")),
		CorePercent: corePercent(n * r.get("probe_cpu_both_ends") / 2),
	}
}

// positions returns the cost of the requests that the owner of a replica sends to
// the owner of the primary while the replica is read. It counts both ends of a
// request.
func positions(r *recorder, s Sizes, d Design) Cost {
	replicas := float64(s.Groups*(s.InstancesPerGroup-1)) / float64(s.Hosts)
	n := 2 * replicas * rate(d.ProbeInterval)
	return Cost{
		Role: Owner, Mechanism: "positions for replicas that are read", BytesPerSecond: n * exchangeBytes(r.get("position_bytes")),
		CorePercent: corePercent(n * r.get("position_cpu_both_ends") / 2),
	}
}

// Links returns the expected number of links that a host opens to owners. As many
// links lead from other hosts to this host.
func Links(s Sizes, d Design) float64 {
	owners := usedGroups(s, d) * ownersPerGroup
	return float64(s.Hosts) * (1 - math.Exp(-owners/float64(s.Hosts)))
}

func links(r *recorder, s Sizes, d Design) Cost {
	ends := 2 * Links(s, d)
	cost := Cost{Role: EntryHost, Mechanism: "links to other hosts", MemoryBytes: ends * r.get("link_memory_both_ends") / 2}
	if d.IdlePings {
		cost.BytesPerSecond = ends * (r.get("link_idle_bytes") + rate(s.PingInterval)*exchangePackets*headerBytes)
		cost.CorePercent = corePercent(ends * r.get("link_idle_cpu_both_ends") / 2)
	}
	return cost
}

func callers(r *recorder, s Sizes) Cost {
	return Cost{
		Role: EntryHost, Mechanism: "caller connections", CallerLoad: true,
		MemoryBytes: float64(s.Callers) / float64(s.Hosts) * r.get("caller_memory"),
	}
}

func statements(r *recorder, s Sizes) Cost {
	n := float64(s.StatementsPerSecond) / float64(s.Hosts)
	cpu := r.get("statement_forwarded_entry_cpu") + r.get("statement_forwarded_owner_cpu")
	return Cost{
		Role: EntryHost, Mechanism: "statements, all forwarded", CallerLoad: true,
		BytesPerSecond: 2 * n * exchangeBytes(r.get("forward_bytes")), CorePercent: corePercent(n * cpu),
	}
}

// commitRate returns the commands that are committed per second.
func commitRate(s Sizes) float64 {
	documents, owners, terms := changeRates(s)
	return documents + owners + terms
}

func followerCosts(r *recorder, s Sizes, d Design) []Cost {
	// The unit of control_idle_cpu is milliseconds per second, hence the factor 1000.
	others := float64(s.ControlHosts - 1)
	commit := r.get(fmt.Sprintf("commit_%d_hosts_bytes", s.ControlHosts)) / others
	messages := r.get(fmt.Sprintf("control_idle_leader_%d_hosts_messages", s.ControlHosts)) / others
	idle := r.get(fmt.Sprintf("control_idle_leader_%d_hosts_bytes", s.ControlHosts)) / others
	costs := []Cost{{
		Role: ControlFollower, Mechanism: "replicated log",
		BytesPerSecond: 2*(idle+messages*headerBytes) + commitRate(s)*commit,
		CorePercent:    corePercent(r.get("control_idle_cpu")*1000 + commitRate(s)*(r.get("log_document_cpu")+r.get("state_change_cpu"))),
		MemoryBytes:    2*r.get("state_memory") + 2*r.get("snapshot_bytes"),
	}}
	if d.Relays > 0 {
		heartbeatRate := float64(s.Hosts) / float64(d.Relays) * rate(d.HeartbeatInterval)
		costs = append(costs, Cost{
			Role: ControlFollower, Mechanism: "relay for a failure domain", BytesPerSecond: heartbeatRate * heartbeatBytes(r, s, d),
			CorePercent: corePercent(heartbeatRate * (r.get("call_cpu_both_ends")/2 + r.get("leader_heartbeat_cpu")/2)),
		})
	}
	return costs
}

func leaderCosts(r *recorder, s Sizes, d Design) []Cost {
	heartbeatRate := float64(s.Hosts) * rate(d.HeartbeatInterval)
	cpu := r.get("leader_heartbeat_cpu") + r.get("call_cpu_both_ends")/2
	bytes := heartbeatBytes(r, s, d)
	if d.DocumentVersions {
		cpu += float64(s.Services) * r.get("leader_heartbeat_document_cpu")
	}
	if d.Relays > 0 { // a relay forwards many heartbeats in one call
		cpu -= r.get("call_cpu_both_ends") / 2
		bytes -= exchangePackets * headerBytes
	}
	heartbeats := Cost{Role: ControlLeader, Mechanism: "heartbeats", BytesPerSecond: heartbeatRate * bytes, CorePercent: corePercent(heartbeatRate * cpu), MemoryBytes: r.get("leader_memory")}
	tables := Cost{Role: ControlLeader, Mechanism: "tables to all hosts"}
	receivers := float64(s.Hosts)
	if d.Relays > 0 {
		receivers = float64(d.Relays)
	}
	tables.BytesPerSecond = tableRate(s) * receivers * r.get("tables_delta_bytes")
	tables.CorePercent = corePercent(tableRate(s) * receivers * r.get("tables_delta_encode_cpu"))
	if d.FullTables {
		tables.BytesPerSecond = tableRate(s) * receivers * tablesBytes(r, s)
		tables.CorePercent = corePercent(tableRate(s) * receivers * r.get("tables_encode_cpu"))
	}
	received := controlState(r, s, d)
	changes := Cost{Role: ControlLeader, Mechanism: "agreed state to all hosts", BytesPerSecond: receivers * received.BytesPerSecond}
	log := Cost{
		Role: ControlLeader, Mechanism: "replicated log",
		BytesPerSecond: 2*r.get(fmt.Sprintf("control_idle_leader_%d_hosts_bytes", s.ControlHosts)) + commitRate(s)*r.get(fmt.Sprintf("commit_%d_hosts_bytes", s.ControlHosts)),
		CorePercent:    corePercent(r.get("control_idle_cpu")*1000 + commitRate(s)*r.get("leader_command_cpu")),
	}
	announced := announcements(r, s, d)
	forwarded := Cost{
		Role: ControlLeader, Mechanism: announced.Mechanism,
		BytesPerSecond: float64(s.Hosts) * announced.BytesPerSecond, CorePercent: float64(s.Hosts) * announced.CorePercent,
	}
	return []Cost{heartbeats, forwarded, tables, changes, log}
}

// InitialDesign returns the first design, which sent full tables instead of deltas
// and the versions of all documents in every heartbeat.
func InitialDesign() Design {
	d := CurrentDesign()
	d.FullTables, d.DocumentVersions = true, true
	return d
}

// CurrentDesign returns the design that the code implements.
func CurrentDesign() Design {
	s := ExpectedSizes()
	return Design{
		HeartbeatInterval: s.HeartbeatInterval, ProbeInterval: s.ProbeInterval, AnnounceInterval: s.AnnounceInterval,
		IdlePings: true, UsedGroupShare: 1, AllGroups: true,
	}
}

// ProposedDesign returns the design that the capacity page proposes for the
// expected sizes.
func ProposedDesign() Design {
	return Design{
		HeartbeatInterval: 2 * time.Second, ProbeInterval: time.Second, AnnounceInterval: 5 * time.Second,
		UsedGroupShare: 0.05, Relays: 10,
	}
}

// ControlTotal sums the control costs of a host that serves callers and owns
// instances, but is not a control host.
func ControlTotal(costs []Cost) Cost {
	var sum Cost
	for _, c := range costs {
		if c.CallerLoad || c.Role == ControlFollower || c.Role == ControlLeader {
			continue
		}
		sum.BytesPerSecond += c.BytesPerSecond
		sum.CorePercent += c.CorePercent
		sum.MemoryBytes += c.MemoryBytes
	}
	return sum
}
