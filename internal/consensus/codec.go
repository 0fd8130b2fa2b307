package consensus

import (
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/amaranthweir/amaranthweir/internal/table"
	"github.com/amaranthweir/amaranthweir/internal/wire"
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
	b = append(b, wire.EncodeFlag(m.Reject), wire.EncodeFlag(m.Handover), wire.EncodeFlag(m.Snapshot != nil))
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
	r := newReader(b)
	version := r.Byte()
	*m = Message{Type: MessageType(r.Byte()), From: r.node(), To: r.node()}
	for _, v := range [...]*uint64{&m.Term, &m.Index, &m.LogTerm, &m.Commit, &m.Hint, &m.Stamp} {
		*v = r.Uvarint()
		r.Bad = r.Bad || *v > maxCounter
	}
	m.Reject = r.Flag()
	m.Handover = r.Flag()
	hasSnapshot := r.Flag()
	m.Entries = r.entries()
	if hasSnapshot {
		s := r.snapshot()
		m.Snapshot = &s
	}
	if version != codecVersion || m.Type >= messageTypeCount {
		r.Bad = true
	}
	if m.Type == MsgSnapshot && m.Snapshot == nil {
		r.Bad = true
	}
	for i, e := range m.Entries {
		if e.Index != m.Index+1+uint64(i) || e.Term > m.Term {
			r.Bad = true
		}
	}
	return r.finish()
}

// AppendBinary appends the encoded entry to b.
func (e Entry) AppendBinary(b []byte) ([]byte, error) { return appendEntry(b, e), nil }

// UnmarshalBinary reads an entry written by AppendBinary.
func (e *Entry) UnmarshalBinary(b []byte) error {
	r := newReader(b)
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
	r := newReader(b)
	*h = HardState{Term: r.Uvarint(), Vote: r.node(), Commit: r.Uvarint()}
	return r.finish()
}

// AppendBinary appends the encoded snapshot to b.
func (s Snapshot) AppendBinary(b []byte) ([]byte, error) { return appendSnapshot(b, s), nil }

// UnmarshalBinary reads a snapshot written by AppendBinary.
func (s *Snapshot) UnmarshalBinary(b []byte) error {
	r := newReader(b)
	*s = r.snapshot()
	return r.finish()
}

// AppendBinary appends the encoded membership to b.
func (m Members) AppendBinary(b []byte) ([]byte, error) { return appendMembers(b, m), nil }

// UnmarshalBinary reads a membership written by AppendBinary.
func (m *Members) UnmarshalBinary(b []byte) error {
	r := newReader(b)
	*m = r.members()
	return r.finish()
}

func appendNode(b []byte, id NodeID) []byte {
	b = wire.AppendBytes(b, id.Host)
	return binary.AppendUvarint(b, id.Incarnation)
}

func appendEntry(b []byte, e Entry) []byte {
	b = binary.AppendUvarint(b, e.Index)
	b = binary.AppendUvarint(b, e.Term)
	b = append(b, byte(e.Type))
	return wire.AppendBytes(b, e.Data)
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
	return wire.AppendBytes(b, s.Data)
}

// reader takes the parts of messages off their encoding.
type reader struct{ wire.Reader }

func newReader(b []byte) reader { return reader{wire.Reader{Rest: b}} }

func (r *reader) finish() error {
	if !r.Done() {
		return ErrMalformed
	}
	return nil
}

func (r *reader) node() NodeID {
	return NodeID{Host: table.HostID(r.Bytes(maxHostBytes)), Incarnation: r.Uvarint()}
}

func (r *reader) entry() Entry {
	e := Entry{Index: r.Uvarint(), Term: r.Uvarint(), Type: EntryType(r.Byte())}
	e.Data = r.Bytes(MaxMessageBytes)
	r.Bad = r.Bad || e.Type >= entryTypeCount || e.Index > maxCounter || e.Term > maxCounter
	return e
}

func (r *reader) entries() []Entry {
	count := r.Uvarint()
	if count > uint64(len(r.Rest)) {
		r.Bad = true
	}
	var entries []Entry
	for ; count > 0 && !r.Bad; count-- {
		entries = append(entries, r.entry())
	}
	return entries
}

func (r *reader) nodes() []NodeID {
	count := r.Uvarint()
	if count > MaxMembers {
		r.Bad = true
	}
	var ids []NodeID
	for ; count > 0 && !r.Bad; count-- {
		ids = append(ids, r.node())
	}
	return ids
}

func (r *reader) members() Members {
	return Members{Voters: r.nodes(), Learners: r.nodes()}
}

func (r *reader) snapshot() Snapshot {
	s := Snapshot{Index: r.Uvarint(), Term: r.Uvarint(), Members: r.members()}
	s.Data = r.Bytes(MaxMessageBytes)
	r.Bad = r.Bad || s.Index > maxCounter || s.Term > maxCounter
	return s
}
