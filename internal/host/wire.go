package host

import (
	"time"

	"github.com/amaranthweir/amaranthweir/internal/dbedge"
	"github.com/amaranthweir/amaranthweir/internal/system/failover"
	"github.com/amaranthweir/amaranthweir/internal/system/ownership"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

// The control calls between hosts.
const (
	methodHeartbeat  = "heartbeat"
	methodApply      = "apply"
	methodNudge      = "nudge"
	methodSwitchOver = "switchover"
)

// heartbeat is what each host sends to the control leader at intervals.
type heartbeat struct {
	Host        table.HostID
	Domain      table.Domain
	PeerAddress string
	Incarnation uint64
	Sequence    uint64
	Control     bool
	Draining    bool
	// NoInstances is set by a host that owns none.
	NoInstances bool
	// Release gives the lease up.
	Release bool
	// Revision is the control revision that the host has applied.
	Revision uint64
	// Documents is the version in force at the host, by service; nil says that
	// nothing changed since the leader was told.
	Documents map[string]uint64
	// Tables is the version of the host and instance tables that the host has.
	Tables tablesVersion
	// Reports are probes of owned instances, and of others where the leader
	// asked for them.
	Reports []failover.Report
	// Announcements arrived at the host since its last heartbeat.
	Announcements []dbedge.Announcement
	// Released names what the host handed over.
	Released []table.Ownership
}

// nudge asks a host to send its heartbeat at once.
type nudge struct {
	// Leader is where: the peer address of the host that asks for it.
	Leader string
}

// tablesVersion numbers the tables of one leadership.
type tablesVersion struct {
	Leadership uint64
	Number     uint64
}

// heartbeatReply answers a heartbeat.
type heartbeatReply struct {
	// Leads is set by the leader; another host fills in nothing but Leader.
	Leads bool
	// Leader is where heartbeats belong, when the host asked does not lead;
	// empty when it knows no leader.
	Leader string
	// Lease is how long the lease lasts, counted from the moment the heartbeat
	// was sent; zero grants nothing.
	Lease time.Duration
	Stamp failover.Stamp
	// Control is a delta of the control state, to be applied before the lease
	// counts.
	Control []byte
	// Tables is nil when the host has the latest tables.
	Tables *tables
	Orders []failover.Order
	// HandOvers names what the host shall hand over.
	HandOvers []ownership.HandOver
}

// tables are the soft state that the leader gathers and hands out.
type tables struct {
	Version tablesVersion
	// Since is the version that the entries are laid over; zero says that they
	// are all.
	Since     tablesVersion
	Hosts     []table.Host
	Instances []table.Instance
}

// applyRequest hands a document to the leader.
type applyRequest struct {
	Service string
	Version uint64
	Digest  string
	Body    []byte
	// Operator is who applied the document; empty without operators.
	Operator string
}

// applyReply says what is in force.
type applyReply struct {
	Accepted bool
	Revision uint64
	Version  uint64
	Digest   string
}
