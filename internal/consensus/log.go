package consensus

import "slices"

// membershipRecord is a membership and the index from which it applies.
type membershipRecord struct {
	index   uint64
	members Members
}

// entryLog is the in-memory log: the latest snapshot and the entries after
// baseIndex, which is at or before the index of the snapshot.
type entryLog struct {
	snapshot  Snapshot
	baseIndex uint64
	baseTerm  uint64
	entries   []Entry
	// ends[i] is the total size of the data up to entries[i], counted from an
	// arbitrary start, and baseEnd that up to baseIndex.
	ends    []uint64
	baseEnd uint64
	// memberships holds the membership at baseIndex, followed by that of each
	// later EntryMembers.
	memberships []membershipRecord
	// restoredIndex is the last index that was restored at the start. It
	// decreases when a leader replaces restored entries. Entries up to it may
	// have been applied before the start; later entries were not.
	restoredIndex uint64
	stable        uint64 // last durable index
	commit        uint64
	applied       uint64
}

func newEntryLog(snapshot Snapshot, entries []Entry, commit uint64) (*entryLog, error) {
	l := &entryLog{}
	l.reset(snapshot)
	if err := l.extend(entries); err != nil {
		return nil, err
	}
	l.stable = l.lastIndex()
	l.restoredIndex = l.lastIndex()
	l.commit = max(snapshot.Index, min(commit, l.lastIndex()))
	return l, nil
}

// reset replaces the whole log by s.
func (l *entryLog) reset(s Snapshot) {
	l.snapshot = s
	l.baseIndex, l.baseTerm = s.Index, s.Term
	l.entries = nil
	l.ends = nil
	l.memberships = []membershipRecord{{index: s.Index, members: s.Members}}
	l.stable, l.commit, l.applied = s.Index, s.Index, s.Index
	l.restoredIndex = min(l.restoredIndex, s.Index)
}

func (l *entryLog) lastIndex() uint64 { return l.baseIndex + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	term, _ := l.term(l.lastIndex())
	return term
}

// firstOfLastTerm returns the first entry of the last term, or false if the log
// does not hold it.
func (l *entryLog) firstOfLastTerm() (Entry, bool) {
	at := len(l.entries)
	for at > 0 && l.entries[at-1].Term == l.lastTerm() {
		at--
	}
	if at == len(l.entries) || at == 0 && l.baseTerm == l.lastTerm() {
		return Entry{}, false
	}
	return l.entries[at], true
}

// term returns the term of the entry at index, and false if that entry was
// compacted or does not exist.
func (l *entryLog) term(index uint64) (uint64, bool) {
	if index == l.baseIndex {
		return l.baseTerm, true
	}
	if index < l.baseIndex || index > l.lastIndex() {
		return 0, false
	}
	return l.entries[index-l.baseIndex-1].Term, true
}

func (l *entryLog) matchesTerm(index, term uint64) bool {
	got, ok := l.term(index)
	return ok && got == term
}

// isUpToDate reports whether a log that ends in an entry with this index and
// term is at least as up to date as l: it has a higher last term, or the same
// last term and at least the same last index.
func (l *entryLog) isUpToDate(index, term uint64) bool {
	if term != l.lastTerm() {
		return term > l.lastTerm()
	}
	return index >= l.lastIndex()
}

func (l *entryLog) members() Members { return l.memberships[len(l.memberships)-1].members }

func (l *entryLog) membersIndex() uint64 { return l.memberships[len(l.memberships)-1].index }

// membersAt returns the membership that applies at index, which must not be
// below baseIndex.
func (l *entryLog) membersAt(index uint64) Members {
	members := l.memberships[0].members
	for _, r := range l.memberships {
		if r.index <= index {
			members = r.members
		}
	}
	return members
}

// extend appends entries, which must follow the last entry without a gap.
func (l *entryLog) extend(entries []Entry) error {
	for _, e := range entries {
		if e.Index != l.lastIndex()+1 {
			return ErrMalformed
		}
		if e.Type == EntryMembers {
			var m Members
			if err := m.UnmarshalBinary(e.Data); err != nil {
				return err
			}
			l.memberships = append(l.memberships, membershipRecord{index: e.Index, members: m})
		}
		l.ends = append(l.ends, l.end(l.lastIndex())+uint64(len(e.Data)))
		l.entries = append(l.entries, e)
	}
	return nil
}

// end returns the total size of the data up to index, which must be in the log or
// baseIndex.
func (l *entryLog) end(index uint64) uint64 {
	if index == l.baseIndex {
		return l.baseEnd
	}
	return l.ends[index-l.baseIndex-1]
}

// bytesBetween returns the size in bytes of the data of the entries with
// from < index <= to that are in memory.
func (l *entryLog) bytesBetween(from, to uint64) uint64 {
	from = max(from, l.baseIndex)
	if to <= from {
		return 0
	}
	return l.end(to) - l.end(from)
}

// countWithin returns how many of the last entries up to index have at most
// maxBytes of data, and at most count.
func (l *entryLog) countWithin(index, count, maxBytes uint64) uint64 {
	first := max(l.baseIndex, index-min(count, index))
	for l.bytesBetween(first, index) > maxBytes {
		first++
	}
	return index - first
}

// truncate removes the entries after index.
func (l *entryLog) truncate(index uint64) {
	l.entries = slices.Clone(l.entries[:index-l.baseIndex])
	l.ends = l.ends[:index-l.baseIndex]
	l.stable = min(l.stable, index)
	l.restoredIndex = min(l.restoredIndex, index)
	for len(l.memberships) > 1 && l.membersIndex() > index {
		l.memberships = l.memberships[:len(l.memberships)-1]
	}
}

// merge appends entries that a leader sent. It skips those that the log already
// holds and truncates the log at the first conflict. It returns
// ErrCommittedConflict instead of replacing a committed entry.
func (l *entryLog) merge(entries []Entry) error {
	for i, e := range entries {
		if l.matchesTerm(e.Index, e.Term) {
			continue
		}
		if e.Index <= l.commit {
			return ErrCommittedConflict
		}
		if e.Index <= l.lastIndex() {
			l.truncate(e.Index - 1)
		}
		return l.extend(entries[i:])
	}
	return nil
}

// commitTo raises the commit index to index, but not beyond the last entry.
func (l *entryLog) commitTo(index uint64) {
	l.commit = max(l.commit, min(index, l.lastIndex()))
}

// conflictHint returns the highest index, at or below index, at which the
// leader's log may match this one. It skips all entries of the conflicting
// term, so that the leader needs one round trip per term and not per entry.
func (l *entryLog) conflictHint(index uint64) uint64 {
	if index > l.lastIndex() {
		return l.lastIndex()
	}
	conflict, ok := l.term(index)
	for ok && index > l.commit {
		index--
		term, known := l.term(index)
		if !known || term != conflict {
			break
		}
	}
	return max(index, l.commit)
}

// entriesFrom returns entries starting at index from, with at most maxBytes of
// data in total. It returns at least one entry if there is one.
func (l *entryLog) entriesFrom(from uint64, maxBytes int) []Entry {
	if from > l.lastIndex() {
		return nil
	}
	rest := l.entries[from-l.baseIndex-1:]
	size := 0
	for i, e := range rest {
		size += len(e.Data)
		if i > 0 && size > maxBytes {
			return slices.Clone(rest[:i])
		}
	}
	return slices.Clone(rest)
}

// entriesBetween returns the entries with from < index <= to.
func (l *entryLog) entriesBetween(from, to uint64) []Entry {
	if to <= from {
		return nil
	}
	return slices.Clone(l.entries[from-l.baseIndex : to-l.baseIndex])
}

// compact makes s the latest snapshot. It drops the entries up to s.Index, except
// the last keep of them.
func (l *entryLog) compact(s Snapshot, keep uint64) {
	l.snapshot = s
	if s.Index < l.baseIndex+keep {
		return
	}
	base := s.Index - keep
	term, _ := l.term(base)
	members := l.membersAt(base)
	l.baseEnd = l.end(base)
	l.entries = slices.Clone(l.entries[base-l.baseIndex:])
	l.ends = slices.Clone(l.ends[base-l.baseIndex:])
	l.memberships = slices.DeleteFunc(l.memberships, func(r membershipRecord) bool { return r.index <= base })
	l.memberships = slices.Insert(l.memberships, 0, membershipRecord{index: base, members: members})
	l.baseIndex, l.baseTerm = base, term
}
