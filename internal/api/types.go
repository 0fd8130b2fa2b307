// Package api implements the HTTP/JSON interface of a host: announcements of
// upstream instances, and the changes and queries of operators. It contains the
// message types, the handler and a client. The host implements Backend.
package api

import (
	"github.com/amaranthweir/amaranthweir/internal/config"
	"github.com/amaranthweir/amaranthweir/internal/dbedge"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

// The paths of the HTTP interface.
const (
	PathAnnounce  = "/v1/announce"
	PathDocuments = "/v1/documents"
	PathStatus    = "/v1/status"
	PathExplain   = "/v1/explain"
	PathHealth    = "/healthz"
	PathReady     = "/readyz"
	PathMetrics   = "/metrics"
)

// ApplyResult is the result of applying a document.
type ApplyResult string

// The results of applying a document.
const (
	// Accepted means that the control hosts have committed the document.
	Accepted ApplyResult = "accepted"
	// Unchanged means that a document with this version and content was already
	// committed, for example because a request is retried.
	Unchanged ApplyResult = "unchanged"
)

// DocumentVersion identifies one committed document of a service.
type DocumentVersion struct {
	Version uint64 `json:"version"`
	Digest  string `json:"digest"` // hexadecimal, see config.DocumentDigest
}

// ApplyReply is the reply to an applied document.
type ApplyReply struct {
	Service string `json:"service"`
	DocumentVersion
	Result ApplyResult `json:"result"`
}

// ErrorReply is the body of every reply whose status is not 2xx.
type ErrorReply struct {
	Error ErrorBody `json:"error"`
}

// ErrorBody describes an error.
type ErrorBody struct {
	Kind    string `json:"kind"` // name of the errkind
	Message string `json:"message"`
	Detail  string `json:"detail,omitempty"`
	Effect  string `json:"effect"` // "not run", "ran" or "unknown"
	Repeat  bool   `json:"repeat"` // whether a later retry may succeed
	// InForce is the document in force. It is set only on a conflict.
	InForce *DocumentVersion `json:"in_force,omitempty"`
	// Problems lists the problems of an invalid document.
	Problems []config.Problem `json:"problems,omitempty"`
}

// Status is a host's view of the system.
type Status struct {
	Host   table.HostID `json:"host"`
	Domain table.Domain `json:"failure_domain"`
	Ready  bool         `json:"ready"`
	// Leader is the control host that is the leader, or empty if none is known.
	Leader table.HostID `json:"leader"`
	// ControlRevision is the number of committed changes that this host has applied.
	ControlRevision uint64           `json:"control_revision"`
	Documents       []DocumentStatus `json:"documents"`
	Hosts           []HostStatus     `json:"hosts"`
	Groups          []GroupStatus    `json:"groups"`
	Instances       []InstanceStatus `json:"instances"`
	// Workspaces holds the workspaces with a rate limit, sorted by name.
	Workspaces []WorkspaceStatus `json:"workspaces,omitempty"`
}

// WorkspaceStatus is the rate limit of one workspace and its use over all hosts.
type WorkspaceStatus struct {
	Workspace     string  `json:"workspace"`
	RatePerSecond float64 `json:"rate_per_second"`
	Burst         float64 `json:"burst"`
	// UsedInWindow is the approximate number of operations in the latest window.
	UsedInWindow int `json:"used_in_window"`
	// Available is the number of operations that can be granted at once, and
	// AtHosts the number of those that entry hosts hold.
	Available int `json:"available"`
	AtHosts   int `json:"at_hosts"`
	// Limited is set while operations of the workspace are refused.
	Limited bool `json:"limited"`
}

// DocumentStatus is the committed document of a service, with the version that is
// in force on each host.
type DocumentStatus struct {
	Service string `json:"service"`
	DocumentVersion
	InForce []HostVersion `json:"in_force"`
}

// HostVersion is the version of a document that is in force on a host.
type HostVersion struct {
	Host    table.HostID `json:"host"`
	Version uint64       `json:"version"`
}

// HostStatus is the status of one host.
type HostStatus struct {
	Host        table.HostID `json:"host"`
	Domain      table.Domain `json:"failure_domain"`
	PeerAddress string       `json:"peer_address"`
	State       string       `json:"state"` // see StateName
	Control     bool         `json:"control"`
	Draining    bool         `json:"draining"`
}

// GroupStatus is the status of one group and of its change of primary, if one is
// in progress.
type GroupStatus struct {
	Group     table.GroupName  `json:"group"`
	Term      table.Term       `json:"term"`
	Phase     string           `json:"phase"` // see PhaseName
	Primary   table.InstanceID `json:"primary"`
	Candidate table.InstanceID `json:"candidate,omitempty"`
	// WaitsFor describes the condition that a change of primary waits for.
	WaitsFor string `json:"waits_for,omitempty"`
}

// InstanceStatus is the status of one upstream instance.
type InstanceStatus struct {
	Instance    table.InstanceID `json:"instance"`
	Group       table.GroupName  `json:"group"`
	Domain      table.Domain     `json:"failure_domain"`
	Address     string           `json:"address"`
	Role        string           `json:"role"`
	Term        table.Term       `json:"term"`
	Position    table.Position   `json:"position"`
	Slots       int              `json:"slots"`
	Connections int              `json:"connections"`
	Leaving     bool             `json:"leaving"`
	Owner       table.HostID     `json:"owner"`
	Epoch       table.Epoch      `json:"epoch"`
	// AgeMillis is the time since the latest announcement, in milliseconds.
	AgeMillis int64 `json:"age_ms"`
}

// ExplainQuery asks how the host would route a request now.
type ExplainQuery struct {
	Service string
	Class   string // empty: the default class of the document
	Key     string // selects the group if the class has more than one
}

// Explanation describes how a host would route a request now, and why.
type Explanation struct {
	Service string           `json:"service"`
	Class   string           `json:"class"`
	Key     string           `json:"key,omitempty"`
	Rank    string           `json:"rank"`
	Access  string           `json:"access"`
	Group   table.GroupName  `json:"group"`
	Chosen  table.InstanceID `json:"chosen"` // empty if the request would be rejected
	Owner   table.HostID     `json:"owner"`
	Reason  string           `json:"reason"`
	// Refusal is the name of the error kind if no instance is chosen.
	Refusal    string      `json:"refusal,omitempty"`
	Candidates []Candidate `json:"candidates"`
}

// Candidate is an instance that was considered for a request.
type Candidate struct {
	Instance table.InstanceID `json:"instance"`
	Owner    table.HostID     `json:"owner"`
	Role     string           `json:"role"`
	Term     table.Term       `json:"term"`
	Position table.Position   `json:"position"`
	// ProvenAgeMillis is the proven age of the data in milliseconds, or nil if no
	// age can be proven.
	ProvenAgeMillis *int64 `json:"proven_age_ms,omitempty"`
	// QueueWaitMillis is how long work of the class would wait for a slot of the
	// instance, by the hint that is HintAgeMillis old. Both are nil without a hint.
	QueueWaitMillis *float64 `json:"queue_wait_ms,omitempty"`
	HintAgeMillis   *int64   `json:"hint_age_ms,omitempty"`
	// Avoided is set after a rejection by the instance whose cause is not known to
	// have gone.
	Avoided bool   `json:"avoided,omitempty"`
	Usable  bool   `json:"usable"`
	Reason  string `json:"reason"`
}

// Health is the reply of the liveness and readiness paths.
type Health struct {
	OK bool `json:"ok"`
}

// StateName returns the name of a host state as used in a status.
func StateName(s table.HostState) string {
	switch s {
	case table.HostAlive:
		return "alive"
	case table.HostSuspect:
		return "suspect"
	case table.HostDead:
		return "dead"
	case table.HostLeft:
		return "left"
	default:
		return "unknown"
	}
}

// PhaseName returns the name of a group phase as used in a status.
func PhaseName(p table.GroupPhase) string {
	if p == table.PhasePromoting {
		return "promoting"
	}
	return "stable"
}

var _ dbedge.Announcer = (*Client)(nil)
