// Package api is the HTTP/JSON interface of a host: announcements of upstream
// instances, and what operators apply and ask. It holds the types, the handler
// and a client; the host behind it implements Backend.
package api

import (
	"github.com/amaranthweir/amaranthweir/internal/config"
	"github.com/amaranthweir/amaranthweir/internal/dbedge"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

// The paths of the interface.
const (
	PathAnnounce  = "/v1/announce"
	PathDocuments = "/v1/documents"
	PathStatus    = "/v1/status"
	PathExplain   = "/v1/explain"
	PathHealth    = "/healthz"
	PathReady     = "/readyz"
	PathMetrics   = "/metrics"
)

// ApplyResult says what applying a document did.
type ApplyResult string

// The results of applying a document.
const (
	// Accepted means that the document is now agreed.
	Accepted ApplyResult = "accepted"
	// Unchanged means that a document with this version and content was
	// agreed before, for example by the first of two sends.
	Unchanged ApplyResult = "unchanged"
)

// DocumentVersion names one agreed document of a service.
type DocumentVersion struct {
	Version uint64 `json:"version"`
	Digest  string `json:"digest"` // hexadecimal, see config.DocumentDigest
}

// ApplyReply answers an applied document.
type ApplyReply struct {
	Service string `json:"service"`
	DocumentVersion
	Result ApplyResult `json:"result"`
}

// ErrorReply is the body of every answer that is not 2xx.
type ErrorReply struct {
	Error ErrorBody `json:"error"`
}

// ErrorBody describes an error of one kind.
type ErrorBody struct {
	Kind    string `json:"kind"` // name of the errkind
	Message string `json:"message"`
	Detail  string `json:"detail,omitempty"`
	Effect  string `json:"effect"` // "not run", "ran" or "unknown"
	Repeat  bool   `json:"repeat"` // whether repeating later may succeed
	// InForce is set on a conflict: the document that is agreed instead.
	InForce *DocumentVersion `json:"in_force,omitempty"`
	// Problems is set for a document that is not valid.
	Problems []config.Problem `json:"problems,omitempty"`
}

// Status is what a host knows of the system.
type Status struct {
	Host   table.HostID `json:"host"`
	Domain table.Domain `json:"failure_domain"`
	Ready  bool         `json:"ready"`
	// Leader is the control host that leads, or empty while none is known.
	Leader table.HostID `json:"leader"`
	// ControlRevision counts the agreed changes that this host has applied.
	ControlRevision uint64           `json:"control_revision"`
	Documents       []DocumentStatus `json:"documents"`
	Hosts           []HostStatus     `json:"hosts"`
	Groups          []GroupStatus    `json:"groups"`
	Instances       []InstanceStatus `json:"instances"`
}

// DocumentStatus is the agreed document of a service and where it is in force.
type DocumentStatus struct {
	Service string `json:"service"`
	DocumentVersion
	InForce []HostVersion `json:"in_force"`
}

// HostVersion is the version of a document that a host has in force.
type HostVersion struct {
	Host    table.HostID `json:"host"`
	Version uint64       `json:"version"`
}

// HostStatus is one host of the system.
type HostStatus struct {
	Host        table.HostID `json:"host"`
	Domain      table.Domain `json:"failure_domain"`
	PeerAddress string       `json:"peer_address"`
	State       string       `json:"state"` // see StateName
	Control     bool         `json:"control"`
	Draining    bool         `json:"draining"`
}

// GroupStatus is one group and its change of primary, if any.
type GroupStatus struct {
	Group     table.GroupName  `json:"group"`
	Term      table.Term       `json:"term"`
	Phase     string           `json:"phase"` // see PhaseName
	Primary   table.InstanceID `json:"primary"`
	Candidate table.InstanceID `json:"candidate,omitempty"`
	// WaitsFor says what a change of primary waits for, in words.
	WaitsFor string `json:"waits_for,omitempty"`
}

// InstanceStatus is one upstream instance.
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
	// AgeMillis is the time since the latest announcement.
	AgeMillis int64 `json:"age_ms"`
}

// ExplainQuery asks what the host would do with a request now.
type ExplainQuery struct {
	Service string
	Class   string // empty: the default class of the document
	Key     string // selects the group where the class has more than one
}

// Explanation is what a host would do with a request now, and why.
type Explanation struct {
	Service string           `json:"service"`
	Class   string           `json:"class"`
	Key     string           `json:"key,omitempty"`
	Rank    string           `json:"rank"`
	Access  string           `json:"access"`
	Group   table.GroupName  `json:"group"`
	Chosen  table.InstanceID `json:"chosen"` // empty when the request would be refused
	Owner   table.HostID     `json:"owner"`
	Reason  string           `json:"reason"`
	// Refusal is the name of the error kind when nothing is chosen.
	Refusal    string      `json:"refusal,omitempty"`
	Candidates []Candidate `json:"candidates"`
}

// Candidate is one instance that was considered.
type Candidate struct {
	Instance table.InstanceID `json:"instance"`
	Owner    table.HostID     `json:"owner"`
	Role     string           `json:"role"`
	Term     table.Term       `json:"term"`
	Position table.Position   `json:"position"`
	// ProvenAgeMillis is the age that can be proven, or nil.
	ProvenAgeMillis *int64 `json:"proven_age_ms,omitempty"`
	Usable          bool   `json:"usable"`
	Reason          string `json:"reason"`
}

// Health answers the liveness and readiness paths.
type Health struct {
	OK bool `json:"ok"`
}

// StateName returns the name of a host state as it stands in a status.
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

// PhaseName returns the name of a group phase as it stands in a status.
func PhaseName(p table.GroupPhase) string {
	if p == table.PhasePromoting {
		return "promoting"
	}
	return "stable"
}

var _ dbedge.Announcer = (*Client)(nil)
