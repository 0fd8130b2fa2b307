package host

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"github.com/amaranthweir/amaranthweir/internal/api"
	"github.com/amaranthweir/amaranthweir/internal/control"
	"github.com/amaranthweir/amaranthweir/internal/errkind"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

const methodStatus = "status"

// leaderReport is the part of the status that only the leader knows.
type leaderReport struct {
	Leader table.HostID
	// Versions holds the version of each service's document in force, by host.
	Versions map[table.HostID]map[string]uint64
	// Waits holds what each waiting group waits for.
	Waits map[table.GroupName]string
	// Ages holds the time since the latest announcement of each instance, and
	// Marks the mark in that announcement.
	Ages  map[table.InstanceID]time.Duration
	Marks map[table.InstanceID]table.Mark
	// Workspaces holds the workspaces with a rate limit, sorted by name.
	Workspaces []api.WorkspaceStatus `json:",omitempty"`
}

// handleStatus handles methodStatus calls.
func (h *Host) handleStatus(context.Context, []byte) (any, error) {
	l, err := h.controlLeader()
	if err != nil {
		return nil, err
	}
	return l.statusReport()
}

// statusReport returns the leader's part of the status, or an error if this host
// does not lead.
func (l *leader) statusReport() (*leaderReport, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.host.clock()
	if !l.refresh(now) {
		return nil, errkind.New(errkind.NotLeader, "")
	}
	r := &leaderReport{
		Leader:   l.host.settings.Host,
		Versions: maps.Clone(l.documentVersions.byHost),
		Waits:    maps.Clone(l.waits),
		Ages:     map[table.InstanceID]time.Duration{},
		Marks:    map[table.InstanceID]table.Mark{},
		// The granter has its own lock, which it never holds while it waits for l.
		Workspaces: l.host.granter.statuses(),
	}
	for id, in := range l.instances {
		r.Ages[id] = now - in.SeenAt
		r.Marks[id] = in.Mark
	}
	return r, nil
}

// documentStatus returns the status of each document with the versions in force
// at the hosts, sorted by service and by host.
func documentStatus(documents map[string]control.Document, versions map[table.HostID]map[string]uint64) []api.DocumentStatus {
	var out []api.DocumentStatus
	for service, doc := range documents {
		st := api.DocumentStatus{
			Service:         service,
			DocumentVersion: api.DocumentVersion{Version: doc.Version, Digest: doc.Digest},
		}
		for id, inForce := range versions {
			st.InForce = append(st.InForce, api.HostVersion{Host: id, Version: inForce[service]})
		}
		slices.SortFunc(st.InForce, func(a, b api.HostVersion) int { return cmp.Compare(a.Host, b.Host) })
		out = append(out, st)
	}
	slices.SortFunc(out, func(a, b api.DocumentStatus) int { return cmp.Compare(a.Service, b.Service) })
	return out
}
