package wal

import (
	"encoding/binary"
	"slices"

	"github.com/amaranthweir/amaranthweir/internal/consensus"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

// Identity returns the member to which the data folder belongs. In an unused
// folder it stores an identity of the given host and newIncarnation, which must
// be random so that a host that lost its disk becomes a different member. It
// returns a CorruptError if the folder belongs to another host, or if it holds a
// log but no identity.
func (l *Log) Identity(host table.HostID, newIncarnation uint64) (consensus.NodeID, error) {
	names, err := l.fs.List()
	if err != nil {
		return consensus.NodeID{}, err
	}
	if !slices.Contains(names, identityFile) {
		if slices.Contains(names, foundingFile) {
			return consensus.NodeID{}, corrupt(identityFile, 0, "the identity is missing, but a founding membership is pinned")
		}
		return l.createIdentity(host, newIncarnation)
	}
	payload, err := readRecordFile(l.fs, identityFile)
	if err != nil {
		return consensus.NodeID{}, err
	}
	incarnation, n := binary.Uvarint(payload)
	if n <= 0 {
		return consensus.NodeID{}, corrupt(identityFile, 0, "the identity cannot be decoded")
	}
	storedHost := table.HostID(payload[n:])
	if storedHost != host {
		return consensus.NodeID{}, corrupt(identityFile, 0, "the folder belongs to host %q, not to %q", storedHost, host)
	}
	return consensus.NodeID{Host: host, Incarnation: incarnation}, nil
}

func (l *Log) createIdentity(host table.HostID, incarnation uint64) (consensus.NodeID, error) {
	if l.lastIndex > 0 || l.hardState != (consensus.HardState{}) || len(l.segments) > 1 {
		return consensus.NodeID{}, corrupt(identityFile, 0, "the identity is missing, but the log is in use")
	}
	payload := binary.AppendUvarint(nil, incarnation)
	payload = append(payload, host...)
	if err := writeFile(l.fs, identityFile, appendRecord(nil, recordData, payload)); err != nil {
		return consensus.NodeID{}, err
	}
	return consensus.NodeID{Host: host, Incarnation: incarnation}, nil
}

// Founding returns the founding membership that SaveFounding stored, or an empty
// one if there is none.
func (l *Log) Founding() (consensus.Members, error) {
	var m consensus.Members
	names, err := l.fs.List()
	if err != nil || !slices.Contains(names, foundingFile) {
		return m, err
	}
	payload, err := readRecordFile(l.fs, foundingFile)
	if err != nil {
		return m, err
	}
	if err := m.UnmarshalBinary(payload); err != nil {
		return m, corrupt(foundingFile, 0, "the founding membership cannot be decoded")
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
