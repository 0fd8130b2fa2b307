package host

import (
	"time"

	"github.com/amaranthweir/amaranthweir/internal/dbedge"
	"github.com/amaranthweir/amaranthweir/internal/system/failover"
	"github.com/amaranthweir/amaranthweir/internal/system/ownership"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

// The methods of control calls between hosts.
const (
	methodHeartbeat  = "heartbeat"
	methodApply      = "apply"
	methodNudge      = "nudge"
	methodSwitchOver = "switchover"
)

// heartbeat is the message that each host sends to the control leader at
// intervals. Zero values are not encoded: most heartbeats only renew a lease, and
// all hosts send several a second to another failure domain.
type heartbeat struct {
	Host        table.HostID `json:",omitzero"`
	Domain      table.Domain `json:",omitzero"`
	PeerAddress string       `json:",omitzero"`
	Incarnation uint64       `json:",omitzero"`
	Sequence    uint64       `json:",omitzero"`
	Control     bool         `json:",omitzero"`
	Draining    bool         `json:",omitzero"`
	// NoInstances is set by a host that takes no ownerships.
	NoInstances bool `json:",omitzero"`
	// Release releases the lease of the host.
	Release bool `json:",omitzero"`
	// Revision is the control revision that the host has applied.
	Revision uint64 `json:",omitzero"`
	// Documents holds the version in force at the host, by service. Nil means
	// unchanged since the last report.
	Documents map[string]uint64 `json:",omitzero"`
	// Tables is the version of the host and instance tables that the host has.
	Tables tablesVersion `json:",omitzero"`
	// Unpacks is set by a host that understands heartbeatReply.PackedTables.
	Unpacks bool `json:",omitzero"`
	// UnpacksControl is set by a host that understands heartbeatReply.PackedControl.
	UnpacksControl bool `json:",omitzero"`
	// Reports holds the results of probes of owned instances, and of other
	// instances that the leader asked the host to check.
	Reports []failover.Report `json:",omitzero"`
	// Announcements holds the announcements that arrived since the last heartbeat.
	Announcements []dbedge.Announcement `json:",omitzero"`
	// Released holds the ownerships that the host has handed over.
	Released []table.Ownership `json:",omitzero"`
}

// nudge asks a host for an immediate heartbeat.
type nudge struct {
	// Leader is the peer address of the leader that asks for the heartbeat.
	Leader string
}

// tablesVersion identifies a version of the tables. Each leadership numbers its
// versions from one; the zero value means no tables.
type tablesVersion struct {
	Leadership uint64
	Number     uint64
}

// heartbeatReply answers a heartbeat.
type heartbeatReply struct {
	// Leads is set by the leader. Another host sets only Leader.
	Leads bool `json:",omitzero"`
	// Leader is the peer address of the leader, set by a host that does not lead.
	// It is empty if that host knows no leader.
	Leader string `json:",omitzero"`
	// RetryAfter is how long the host should wait before it asks for the leader
	// again, set by a control host that knows no leader and is asked by many.
	RetryAfter time.Duration `json:",omitzero"`
	// Lease is the duration of the granted lease, counted from the time the
	// heartbeat was sent. Zero means that no lease is granted.
	Lease time.Duration  `json:",omitzero"`
	Stamp failover.Stamp `json:",omitzero"`
	// Control is a delta of the control state. The host must apply it before it
	// renews its lease.
	Control []byte `json:",omitzero"`
	// PackedControl holds the same, compressed, in place of Control.
	PackedControl []byte `json:",omitzero"`
	// Tables is nil when the host has the latest tables.
	Tables *tables `json:",omitzero"`
	// PackedTables holds full tables, encoded and compressed, in place of Tables.
	PackedTables []byte           `json:",omitempty"`
	Orders       []failover.Order `json:",omitzero"`
	// HandOvers holds the ownerships that the host must hand over.
	HandOvers []ownership.HandOver `json:",omitzero"`
}

// tables holds the host and instance tables: soft state that the leader collects
// from heartbeats and distributes in the replies.
type tables struct {
	Version tablesVersion `json:",omitzero"`
	// Since is the version that the entries are merged into. Zero means that the
	// entries are the full tables.
	Since     tablesVersion    `json:",omitzero"`
	Hosts     []table.Host     `json:",omitzero"`
	Instances []table.Instance `json:",omitzero"`
}

// applyRequest asks the leader to put a document in force.
type applyRequest struct {
	Service string
	Version uint64
	Digest  string
	Body    []byte
	// Operator is the name of the operator who applied the document. It is empty
	// if the settings name no operators.
	Operator string
}

// applyReply reports whether the document was accepted and which version is in
// force.
type applyReply struct {
	Accepted bool
	Revision uint64
	Version  uint64
	Digest   string
}
