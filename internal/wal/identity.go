package wal

import (
	"encoding/binary"
	"slices"

	"github.com/amaranthweir/amaranthweir/internal/consensus"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

// Identity returns which member the data folder belongs to. A folder that was
// never used gets one of the given host with the incarnation fresh, which must
// be random: a host that lost its disk is then another member than before. A
// folder of another host, or one whose log is there without its identity, is
// refused.
func (l *Log) Identity(host table.HostID, fresh uint64) (consensus.NodeID, error) {
	names, err := l.fs.List()
	if err != nil {
		return consensus.NodeID{}, err
	}
	if !slices.Contains(names, identityFile) {
		if slices.Contains(names, foundingFile) {
			return consensus.NodeID{}, corrupt(identityFile, 0, "the identity is missing, but the founding is pinned")
		}
		return l.makeIdentity(host, fresh)
	}
	payload, err := readSingle(l.fs, identityFile)
	if err != nil {
		return consensus.NodeID{}, err
	}
	incarnation, n := binary.Uvarint(payload)
	if n <= 0 {
		return consensus.NodeID{}, corrupt(identityFile, 0, "the identity cannot be read")
	}
	owner := table.HostID(payload[n:])
	if owner != host {
		return consensus.NodeID{}, corrupt(identityFile, 0, "the folder belongs to host %q, not to %q", owner, host)
	}
	return consensus.NodeID{Host: host, Incarnation: incarnation}, nil
}

func (l *Log) makeIdentity(host table.HostID, fresh uint64) (consensus.NodeID, error) {
	if l.last > 0 || l.hard != (consensus.HardState{}) || len(l.segments) > 1 {
		return consensus.NodeID{}, corrupt(identityFile, 0, "the identity is missing, but the log is in use")
	}
	payload := binary.AppendUvarint(nil, fresh)
	payload = append(payload, host...)
	if err := writeFile(l.fs, identityFile, appendRecord(nil, recordData, payload)); err != nil {
		return consensus.NodeID{}, err
	}
	return consensus.NodeID{Host: host, Incarnation: fresh}, nil
}

// Founding returns the founding membership that SaveFounding made durable, or
// an empty one.
func (l *Log) Founding() (consensus.Members, error) {
	var m consensus.Members
	names, err := l.fs.List()
	if err != nil || !slices.Contains(names, foundingFile) {
		return m, err
	}
	payload, err := readSingle(l.fs, foundingFile)
	if err != nil {
		return m, err
	}
	if err := m.UnmarshalBinary(payload); err != nil {
		return m, corrupt(foundingFile, 0, "the founding membership cannot be read")
	}
	return m, nil
}

// SaveFounding makes the founding membership durable.
func (l *Log) SaveFounding(m consensus.Members) error {
	payload, err := m.AppendBinary(nil)
	if err != nil {
		return err
	}
	return writeFile(l.fs, foundingFile, appendRecord(nil, recordData, payload))
}
