package consensus

import (
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/amaranthweir/amaranthweir/internal/table"
)

// The limits of encoded messages.
const (
	// MaxMessageBytes bounds one encoded message.
	MaxMessageBytes = 64 << 20
	// MaxMembers bounds one membership.
	MaxMembers = 32

	// maxCounter bounds terms, indexes and ticks, so that none runs over.
	maxCounter   = 1 << 62
	maxHostBytes = 255
	codecVersion = 1
)

// ErrMalformed means that encoded bytes cannot be read.
var ErrMalformed = errors.New("malformed consensus message")

// AppendBinary appends the encoded message to b.
func (m *Message) AppendBinary(b []byte) ([]byte, error) {
	b = append(b, codecVersion, byte(m.Type))
	b = appendNode(b, m.From)
	b = appendNode(b, m.To)
	for _, v := range [...]uint64{m.Term, m.Index, m.LogTerm, m.Commit, m.Hint, m.Stamp} {
		b = binary.AppendUvarint(b, v)
	}
	b = append(b, flag(m.Reject), flag(m.Handover), flag(m.Snapshot != nil))
	b = binary.AppendUvarint(b, uint64(len(m.Entries)))
	for _, e := range m.Entries {
		b = appendEntry(b, e)
	}
	if m.Snapshot != nil {
		b = appendSnapshot(b, *m.Snapshot)
	}
	return b, nil
}

// UnmarshalBinary reads a message written by AppendBinary. Any other input
// gives ErrMalformed.
func (m *Message) UnmarshalBinary(b []byte) error {
	if len(b) > MaxMessageBytes {
		return fmt.Errorf("%w: %d bytes", ErrMalformed, len(b))
	}
	r := reader{b: b}
	version := r.byte()
	*m = Message{Type: MessageType(r.byte()), From: r.node(), To: r.node()}
	for _, v := range [...]*uint64{&m.Term, &m.Index, &m.LogTerm, &m.Commit, &m.Hint, &m.Stamp} {
		*v = r.uvarint()
		r.bad = r.bad || *v > maxCounter
	}
	m.Reject = r.flag()
	m.Handover = r.flag()
	hasSnapshot := r.flag()
	m.Entries = r.entries()
	if hasSnapshot {
		s := r.snapshot()
		m.Snapshot = &s
	}
	if version != codecVersion || m.Type >= messageTypeCount {
		r.bad = true
	}
	if m.Type == MsgSnapshot && m.Snapshot == nil {
		r.bad = true
	}
	for i, e := range m.Entries {
		if e.Index != m.Index+1+uint64(i) || e.Term > m.Term {
			r.bad = true
		}
	}
	return r.finish()
}

// AppendBinary appends the encoded entry to b.
func (e Entry) AppendBinary(b []byte) ([]byte, error) { return appendEntry(b, e), nil }

// UnmarshalBinary reads an entry written by AppendBinary.
func (e *Entry) UnmarshalBinary(b []byte) error {
	r := reader{b: b}
	*e = r.entry()
	return r.finish()
}

// AppendBinary appends the encoded state to b.
func (h HardState) AppendBinary(b []byte) ([]byte, error) {
	b = binary.AppendUvarint(b, h.Term)
	b = appendNode(b, h.Vote)
	return binary.AppendUvarint(b, h.Commit), nil
}

// UnmarshalBinary reads a state written by AppendBinary.
func (h *HardState) UnmarshalBinary(b []byte) error {
	r := reader{b: b}
	*h = HardState{Term: r.uvarint(), Vote: r.node(), Commit: r.uvarint()}
	return r.finish()
}

// AppendBinary appends the encoded snapshot to b.
func (s Snapshot) AppendBinary(b []byte) ([]byte, error) { return appendSnapshot(b, s), nil }

// UnmarshalBinary reads a snapshot written by AppendBinary.
func (s *Snapshot) UnmarshalBinary(b []byte) error {
	r := reader{b: b}
	*s = r.snapshot()
	return r.finish()
}

// AppendBinary appends the encoded membership to b.
func (m Members) AppendBinary(b []byte) ([]byte, error) { return appendMembers(b, m), nil }

// UnmarshalBinary reads a membership written by AppendBinary.
func (m *Members) UnmarshalBinary(b []byte) error {
	r := reader{b: b}
	*m = r.members()
	return r.finish()
}

func flag(v bool) byte {
	if v {
		return 1
	}
	return 0
}

func appendBytes(b, v []byte) []byte {
	b = binary.AppendUvarint(b, uint64(len(v)))
	return append(b, v...)
}

func appendNode(b []byte, id NodeID) []byte {
	b = appendBytes(b, []byte(id.Host))
	return binary.AppendUvarint(b, id.Incarnation)
}

func appendEntry(b []byte, e Entry) []byte {
	b = binary.AppendUvarint(b, e.Index)
	b = binary.AppendUvarint(b, e.Term)
	b = append(b, byte(e.Type))
	return appendBytes(b, e.Data)
}

func appendNodes(b []byte, ids []NodeID) []byte {
	b = binary.AppendUvarint(b, uint64(len(ids)))
	for _, id := range ids {
		b = appendNode(b, id)
	}
	return b
}

func appendMembers(b []byte, m Members) []byte {
	return appendNodes(appendNodes(b, m.Voters), m.Learners)
}

func appendSnapshot(b []byte, s Snapshot) []byte {
	b = binary.AppendUvarint(b, s.Index)
	b = binary.AppendUvarint(b, s.Term)
	b = appendMembers(b, s.Members)
	return appendBytes(b, s.Data)
}

// reader takes values off b; after the first malformed one it yields zeros.
type reader struct {
	b   []byte
	bad bool
}

func (r *reader) finish() error {
	if r.bad || len(r.b) != 0 {
		return ErrMalformed
	}
	return nil
}

func (r *reader) byte() byte {
	if r.bad || len(r.b) == 0 {
		r.bad = true
		return 0
	}
	v := r.b[0]
	r.b = r.b[1:]
	return v
}

func (r *reader) flag() bool {
	v := r.byte()
	r.bad = r.bad || v > 1
	return v == 1
}

func (r *reader) uvarint() uint64 {
	v, n := binary.Uvarint(r.b)
	if r.bad || n <= 0 {
		r.bad = true
		return 0
	}
	r.b = r.b[n:]
	return v
}

func (r *reader) bytes(limit int) []byte {
	size := r.uvarint()
	if r.bad || size > uint64(len(r.b)) || size > uint64(limit) {
		r.bad = true
		return nil
	}
	v := r.b[:size:size]
	r.b = r.b[size:]
	if size == 0 {
		return nil
	}
	return v
}

func (r *reader) node() NodeID {
	return NodeID{Host: table.HostID(r.bytes(maxHostBytes)), Incarnation: r.uvarint()}
}

func (r *reader) entry() Entry {
	e := Entry{Index: r.uvarint(), Term: r.uvarint(), Type: EntryType(r.byte())}
	e.Data = r.bytes(MaxMessageBytes)
	r.bad = r.bad || e.Type >= entryTypeCount || e.Index > maxCounter || e.Term > maxCounter
	return e
}

func (r *reader) entries() []Entry {
	count := r.uvarint()
	if count > uint64(len(r.b)) {
		r.bad = true
	}
	var entries []Entry
	for ; count > 0 && !r.bad; count-- {
		entries = append(entries, r.entry())
	}
	return entries
}

func (r *reader) nodes() []NodeID {
	count := r.uvarint()
	if count > MaxMembers {
		r.bad = true
	}
	var ids []NodeID
	for ; count > 0 && !r.bad; count-- {
		ids = append(ids, r.node())
	}
	return ids
}

func (r *reader) members() Members {
	return Members{Voters: r.nodes(), Learners: r.nodes()}
}

func (r *reader) snapshot() Snapshot {
	s := Snapshot{Index: r.uvarint(), Term: r.uvarint(), Members: r.members()}
	s.Data = r.bytes(MaxMessageBytes)
	r.bad = r.bad || s.Index > maxCounter || s.Term > maxCounter
	return s
}
