package host

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/amaranthweir/amaranthweir/internal/compress"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

// tableChangesKept is the number of latest changes that remain when a tableLog is
// truncated. A host that lacks only these changes needs no full tables.
const tableChangesKept = 4096

// tableLog records which entries of the tables changed recently.
type tableLog struct {
	changes []tableChange // in ascending order of number
	// truncatedThrough is the number of the last change removed from changes.
	truncatedThrough uint64
}

// tableChange names the entry that changed with a version of the tables. Either
// host or instance is empty.
type tableChange struct {
	number   uint64
	host     table.HostID
	instance table.InstanceID
}

// add appends a change and truncates the log when it is full.
func (t *tableLog) add(c tableChange) {
	if len(t.changes) >= 2*tableChangesKept {
		t.truncatedThrough = t.changes[tableChangesKept-1].number
		t.changes = slices.Clone(t.changes[tableChangesKept:])
	}
	t.changes = append(t.changes, c)
}

// after returns the changes after a number, and false if some of them have been
// truncated.
func (t *tableLog) after(number uint64) ([]tableChange, bool) {
	if number < t.truncatedThrough {
		return nil, false
	}
	first, _ := slices.BinarySearchFunc(t.changes, number+1, func(c tableChange, n uint64) int {
		return int(c.number) - int(n)
	})
	return t.changes[first:], true
}

// recordHostChange starts a new version of the tables in which the entry of a
// host changed. Heartbeat replies distribute it.
func (l *leader) recordHostChange(id table.HostID) {
	l.tablesVersion.Number++
	l.changeLog.add(tableChange{number: l.tablesVersion.Number, host: id})
}

// recordInstanceChange starts a new version of the tables in which the entry of
// an instance changed. Heartbeat replies distribute it.
func (l *leader) recordInstanceChange(id table.InstanceID) {
	l.tablesVersion.Number++
	l.changeLog.add(tableChange{number: l.tablesVersion.Number, instance: id})
}

// tablesSince returns the entries that changed after version since, or the full
// tables if those changes are not known.
func (l *leader) tablesSince(since tablesVersion) *tables {
	changes, complete := l.changeLog.after(since.Number)
	if since.Leadership != l.tablesVersion.Leadership || !complete {
		return l.fullTables()
	}
	t := &tables{Version: l.tablesVersion, Since: since}
	hosts, instances := map[table.HostID]struct{}{}, map[table.InstanceID]struct{}{}
	for _, c := range changes {
		if c.host != "" {
			hosts[c.host] = struct{}{}
		} else {
			instances[c.instance] = struct{}{}
		}
	}
	for id := range hosts {
		t.Hosts = append(t.Hosts, l.hosts[id])
	}
	for id := range instances {
		if !l.uncommitted[id] {
			t.Instances = append(t.Instances, l.instances[id])
		}
	}
	return t
}

// fullTables returns all entries.
func (l *leader) fullTables() *tables {
	t := &tables{Version: l.tablesVersion, Hosts: slices.Collect(maps.Values(l.hosts))}
	for id, in := range l.instances {
		if !l.uncommitted[id] {
			t.Instances = append(t.Instances, in)
		}
	}
	return t
}

const (
	// tablesIntervalPerHost is the least time, for each host, between two versions
	// of the tables that are handed out. Changes in between are handed out together,
	// encoded once for all hosts that have the same version.
	tablesIntervalPerHost = 250 * time.Microsecond
	// maxTablesInterval bounds that time.
	maxTablesInterval = 200 * time.Millisecond
	// maxPlainEntries is the number of entries up to which changes are not packed.
	maxPlainEntries = 4
)

// tablesReply holds what the tables of a host lack, in one of two forms.
type tablesReply struct {
	plain  *tables
	packed []byte
}

// publishedTables holds the version of the tables that hosts are given now, and the
// replies that lead to it. The replies may contain later entries too.
type publishedTables struct {
	version tablesVersion
	at      time.Time
	replies map[tablesVersion]tablesReply // by the version that the host has
}

// has reports whether a host with the tables of version have lacks nothing that is
// published.
func (p *publishedTables) has(have tablesVersion) bool {
	return have.Leadership == p.version.Leadership && have.Number >= p.version.Number
}

// publishTables publishes the latest version of the tables, unless another one was
// published a moment ago.
func (l *leader) publishTables() {
	p := &l.published
	if p.version == l.tablesVersion {
		return
	}
	interval := min(time.Duration(len(l.hosts))*l.tablesIntervalPerHost, maxTablesInterval)
	complete := p.version.Leadership == l.tablesVersion.Leadership && p.version.Number >= l.changeLog.truncatedThrough
	if complete && time.Since(p.at) < interval {
		return
	}
	*p = publishedTables{version: l.tablesVersion, at: time.Now(), replies: map[tablesVersion]tablesReply{}}
}

// addTables adds to the reply what the tables of the host lack. Many entries are
// packed if the host can read that: after a change of leader every host needs them
// at once, many over links of a few Mbit/s that callers wait for too.
func (l *leader) addTables(hb *heartbeat, reply *heartbeatReply) {
	if !hb.Unpacks {
		reply.Tables = l.tablesSince(hb.Tables)
		return
	}
	l.publishTables()
	if l.published.has(hb.Tables) {
		return
	}
	r := l.replyTo(hb.Tables)
	reply.Tables, reply.PackedTables = r.plain, r.packed
}

// replyTo returns what a host with the tables of version have lacks.
func (l *leader) replyTo(have tablesVersion) tablesReply {
	if _, complete := l.changeLog.after(have.Number); !complete || have.Leadership != l.tablesVersion.Leadership {
		have = tablesVersion{} // the host gets the full tables
	}
	r, known := l.published.replies[have]
	if !known {
		r = l.encodeTables(l.tablesSince(have))
		l.published.replies[have] = r
	}
	return r
}

// encodeTables returns t as a reply. Few entries stay plain.
func (l *leader) encodeTables(t *tables) tablesReply {
	if t.Since != (tablesVersion{}) && len(t.Hosts)+len(t.Instances) <= maxPlainEntries {
		return tablesReply{plain: t}
	}
	encoded, err := json.Marshal(t)
	if err == nil {
		var packed []byte
		if packed, err = compress.Pack(encoded); err == nil {
			return tablesReply{packed: packed}
		}
	}
	l.log.WithError(err).Error("packing the tables failed")
	return tablesReply{plain: t}
}

// receivedTables returns the tables in the reply, or nil if there are none.
func (r *heartbeatReply) receivedTables() (*tables, error) {
	if len(r.PackedTables) == 0 {
		return r.Tables, nil
	}
	encoded, err := compress.Unpack(r.PackedTables)
	if err != nil {
		return nil, err
	}
	t := &tables{}
	return t, json.Unmarshal(encoded, t)
}

// merge returns t with the tables received from a leader merged into it, or t
// and false if the received changes are not based on the version of t.
func (t tables) merge(next tables) (tables, bool) {
	if next.Since == (tablesVersion{}) {
		return next, true
	}
	if next.Since != t.Version {
		return t, false
	}
	return tables{
		Version:   next.Version,
		Hosts:     upsert(t.Hosts, next.Hosts, func(h table.Host) table.HostID { return h.ID }),
		Instances: upsert(t.Instances, next.Instances, func(in table.Instance) table.InstanceID { return in.ID }),
	}, true
}

// upsert returns the entries of all, with those of changed replacing entries of
// the same name or appended. It does not modify all.
func upsert[T any, K comparable](all, changed []T, name func(T) K) []T {
	if len(changed) == 0 {
		return all
	}
	all = slices.Clone(all)
	index := make(map[K]int, len(changed))
	for _, c := range changed {
		index[name(c)] = -1
	}
	for i := range all {
		if _, ok := index[name(all[i])]; ok {
			index[name(all[i])] = i
		}
	}
	for _, c := range changed {
		if i := index[name(c)]; i >= 0 {
			all[i] = c
		} else {
			all = append(all, c)
		}
	}
	return all
}
