package consensus

import "slices"

// memberRecord is a membership and the entry that brought it.
type memberRecord struct {
	index   uint64
	members Members
}

// entryLog is the log in memory: the latest snapshot and the entries after a
// base, which lies at or before the snapshot.
type entryLog struct {
	snapshot  Snapshot
	baseIndex uint64
	baseTerm  uint64
	entries   []Entry
	// records has the membership at the base first, then one for each
	// EntryMembers after it.
	records []memberRecord
	// restored is the last index that was there at the start and that no
	// leader has replaced since: all that was applied before lies below it.
	restored uint64
	stable   uint64 // last durable index
	commit   uint64
	applied  uint64
}

func newEntryLog(snapshot Snapshot, entries []Entry, commit uint64) (*entryLog, error) {
	l := &entryLog{}
	l.reset(snapshot)
	if err := l.extend(entries); err != nil {
		return nil, err
	}
	l.stable = l.lastIndex()
	l.restored = l.lastIndex()
	l.commit = max(snapshot.Index, min(commit, l.lastIndex()))
	return l, nil
}

func (l *entryLog) reset(s Snapshot) {
	l.snapshot = s
	l.baseIndex, l.baseTerm = s.Index, s.Term
	l.entries = nil
	l.records = []memberRecord{{index: s.Index, members: s.Members}}
	l.stable, l.commit, l.applied = s.Index, s.Index, s.Index
	l.restored = min(l.restored, s.Index)
}

func (l *entryLog) lastIndex() uint64 { return l.baseIndex + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	term, _ := l.term(l.lastIndex())
	return term
}

// term returns the term of the entry at index, if the log still knows it.
func (l *entryLog) term(index uint64) (uint64, bool) {
	if index == l.baseIndex {
		return l.baseTerm, true
	}
	if index < l.baseIndex || index > l.lastIndex() {
		return 0, false
	}
	return l.entries[index-l.baseIndex-1].Term, true
}

func (l *entryLog) matches(index, term uint64) bool {
	have, ok := l.term(index)
	return ok && have == term
}

// upToDate reports whether a log that ends in (index, term) holds at least
// what this one may have committed.
func (l *entryLog) upToDate(index, term uint64) bool {
	if term != l.lastTerm() {
		return term > l.lastTerm()
	}
	return index >= l.lastIndex()
}

func (l *entryLog) members() Members { return l.records[len(l.records)-1].members }

func (l *entryLog) membersIndex() uint64 { return l.records[len(l.records)-1].index }

func (l *entryLog) membersAt(index uint64) Members {
	members := l.records[0].members
	for _, r := range l.records {
		if r.index <= index {
			members = r.members
		}
	}
	return members
}

// extend appends entries that follow the last one.
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
			l.records = append(l.records, memberRecord{index: e.Index, members: m})
		}
		l.entries = append(l.entries, e)
	}
	return nil
}

// truncate removes the entries after index.
func (l *entryLog) truncate(index uint64) {
	l.entries = slices.Clone(l.entries[:index-l.baseIndex])
	l.stable = min(l.stable, index)
	l.restored = min(l.restored, index)
	for len(l.records) > 1 && l.membersIndex() > index {
		l.records = l.records[:len(l.records)-1]
	}
}

// merge takes in entries that follow a known one, replacing what conflicts.
func (l *entryLog) merge(entries []Entry) error {
	for i, e := range entries {
		if l.matches(e.Index, e.Term) {
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

func (l *entryLog) commitTo(index uint64) {
	l.commit = max(l.commit, min(index, l.lastIndex()))
}

// conflictHint returns the highest index at or below index at which a leader
// may agree: it skips the whole term of a conflicting entry.
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

// slice returns entries from index from on, at least one if there is one, of
// at most maxBytes of data.
func (l *entryLog) slice(from uint64, maxBytes int) []Entry {
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

// between returns the entries with from < index <= to.
func (l *entryLog) between(from, to uint64) []Entry {
	if to <= from {
		return nil
	}
	return slices.Clone(l.entries[from-l.baseIndex : to-l.baseIndex])
}

// compact makes s the snapshot and drops entries so that keep entries before
// it stay.
func (l *entryLog) compact(s Snapshot, keep uint64) {
	l.snapshot = s
	if s.Index < l.baseIndex+keep {
		return
	}
	base := s.Index - keep
	term, _ := l.term(base)
	members := l.membersAt(base)
	l.entries = slices.Clone(l.entries[base-l.baseIndex:])
	l.records = slices.DeleteFunc(l.records, func(r memberRecord) bool { return r.index <= base })
	l.records = slices.Insert(l.records, 0, memberRecord{index: base, members: members})
	l.baseIndex, l.baseTerm = base, term
}
