package host

import (
	"maps"
	"slices"

	"github.com/amaranthweir/amaranthweir/internal/table"
)

// tableChangesKept is how many changes of the tables a leader remembers for
// hosts that have all but the latest ones.
const tableChangesKept = 4096

// tableLog remembers which entries of the tables changed lately.
type tableLog struct {
	changes []tableChange // in the order of their numbers
	// forgotten is the latest number that changes does not reach back to.
	forgotten uint64
}

// tableChange names the entry that a version changed; one name is empty.
type tableChange struct {
	number   uint64
	host     table.HostID
	instance table.InstanceID
}

func (g *tableLog) add(c tableChange) {
	if len(g.changes) >= 2*tableChangesKept {
		g.forgotten = g.changes[tableChangesKept-1].number
		g.changes = slices.Clone(g.changes[tableChangesKept:])
	}
	g.changes = append(g.changes, c)
}

// after returns the changes after a number, and false if it does not remember
// them all.
func (g *tableLog) after(number uint64) ([]tableChange, bool) {
	if number < g.forgotten {
		return nil, false
	}
	at, _ := slices.BinarySearchFunc(g.changes, number+1, func(c tableChange, n uint64) int {
		return int(c.number) - int(n)
	})
	return g.changes[at:], true
}

// hostChanged makes an entry go out with the next answers to heartbeats.
func (l *leader) hostChanged(id table.HostID) {
	l.version.Number++
	l.recent.add(tableChange{number: l.version.Number, host: id})
}

// instanceChanged makes an entry go out with the next answers to heartbeats.
func (l *leader) instanceChanged(id table.InstanceID) {
	l.version.Number++
	l.recent.add(tableChange{number: l.version.Number, instance: id})
}

// tables returns what a host lacks that has the tables of version since.
func (l *leader) tables(since tablesVersion) *tables {
	changes, remembered := l.recent.after(since.Number)
	if since.Leadership != l.version.Leadership || !remembered {
		return l.wholeTables()
	}
	t := &tables{Version: l.version, Since: since}
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
		t.Instances = append(t.Instances, l.instances[id])
	}
	return t
}

// wholeTables returns all entries. They are gathered once for all hosts that
// ask before the next change, and must not be changed.
func (l *leader) wholeTables() *tables {
	if l.whole == nil || l.whole.Version != l.version {
		l.whole = &tables{
			Version:   l.version,
			Hosts:     slices.Collect(maps.Values(l.hosts)),
			Instances: slices.Collect(maps.Values(l.instances)),
		}
	}
	return l.whole
}

// with returns the tables that follow from t by what a leader handed out, and
// false if that does not build on t.
func (t tables) with(next tables) (tables, bool) {
	if next.Since == (tablesVersion{}) {
		return next, true
	}
	if next.Since != t.Version {
		return t, false
	}
	return tables{
		Version:   next.Version,
		Hosts:     replaced(t.Hosts, next.Hosts, func(h table.Host) table.HostID { return h.ID }),
		Instances: replaced(t.Instances, next.Instances, func(in table.Instance) table.InstanceID { return in.ID }),
	}, true
}

// replaced returns all with the entries of changed in place of those of the
// same name.
func replaced[T any, K comparable](all, changed []T, name func(T) K) []T {
	if len(changed) == 0 {
		return all
	}
	all = slices.Clone(all)
	at := make(map[K]int, len(changed))
	for _, c := range changed {
		at[name(c)] = -1
	}
	for i := range all {
		if _, ok := at[name(all[i])]; ok {
			at[name(all[i])] = i
		}
	}
	for _, c := range changed {
		if i := at[name(c)]; i >= 0 {
			all[i] = c
		} else {
			all = append(all, c)
		}
	}
	return all
}
