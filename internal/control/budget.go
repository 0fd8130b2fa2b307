package control

import (
	"github.com/amaranthweir/amaranthweir/internal/consensus"
	"github.com/amaranthweir/amaranthweir/internal/errkind"
	"github.com/sirupsen/logrus"
)

// Sizes in bytes that apply where the disk allows them. They bound what a host
// writes, and what it reads into memory at a start.
const (
	defaultSnapshotBytes    = 16 << 20
	defaultSegmentBytes     = 4 << 20
	defaultUncommittedBytes = 8 << 20
	defaultInflightBytes    = 4 << 20
	// keepBytes limits the entries before a snapshot that stay in memory.
	keepBytes = 4 << 20
	// queuedProposalBytes limits the proposals that wait for an answer.
	queuedProposalBytes = 32 << 20
)

// Parts of the disk, as divisors of its size.
const (
	snapshotPart    = 8
	segmentPart     = 32
	uncommittedPart = 16
	inflightPart    = 32
	// reservePart is kept for everything but configurations: terms, votes, owners
	// and the snapshot that compacts the log.
	reservePart = 8
)

// applyDisk sets the sizes that follow from DiskBytes.
func (c *ServerConfig) applyDisk() {
	part := func(size, divisor int) int {
		if c.DiskBytes > 0 {
			return min(size, c.DiskBytes/divisor)
		}
		return size
	}
	setDefault(&c.SnapshotBytes, part(defaultSnapshotBytes, snapshotPart))
	setDefault(&c.SegmentBytes, part(defaultSegmentBytes, segmentPart))
	c.uncommittedBytes = part(defaultUncommittedBytes, uncommittedPart)
	c.inflightBytes = part(defaultInflightBytes, inflightPart)
}

// The reasons of a snapshot, as the log line shows them.
const (
	snapshotForEntries = "entries"
	snapshotForBytes   = "bytes"
	snapshotForRoom    = "room"
)

// snapshotReason returns why a snapshot is due, or an empty string if none is.
func (r *replica) snapshotReason() string {
	entries := r.node.AppliedIndex() - r.snapshotIndex
	switch {
	case entries == 0:
		return ""
	case entries >= r.cfg.SnapshotEvery:
		return snapshotForEntries
	case r.wal.RemovableBytes(r.node.AppliedIndex()) >= r.cfg.SnapshotBytes:
		return snapshotForBytes
	case r.needsRoom:
		return snapshotForRoom
	default:
		return ""
	}
}

// checkRoom returns an error if the disk has no room for a configuration of size
// bytes: for its entry, for the next snapshot, which is written beside the current
// one, and for the reserve. The error is TooLarge if it would not fit after a
// compaction of the log either.
func (r *replica) checkRoom(size int) error {
	if r.cfg.DiskBytes == 0 {
		return nil
	}
	usage := r.wal.Usage()
	if room := r.largestCommand(usage.SnapshotBytes); size > room {
		return errkind.New(errkind.TooLarge, "%d bytes, the disk has room for %d", size, max(0, room))
	}
	waiting := int(r.node.UnsavedBytes())
	if size > r.roomFor(usage.TotalBytes()+waiting+usage.SnapshotBytes) {
		r.needsRoom = true
		return errkind.New(errkind.NoQuorum, "the log must be compacted before %d bytes fit on the disk", size).WithEffect(errkind.NotRun)
	}
	return nil
}

// roomFor returns the largest command that fits, as an entry and in a snapshot,
// beside other files of the given size and the reserve.
func (r *replica) roomFor(otherBytes int) int {
	return (r.cfg.DiskBytes - r.cfg.DiskBytes/reservePart - otherBytes) / 2
}

// largestCommand returns the size of the largest command that fits on the disk
// after a compaction. The snapshots before and after it are both there then.
func (r *replica) largestCommand(snapshotBytes int) int {
	return min(consensus.MaxProposalBytes, r.roomFor(2*snapshotBytes+r.cfg.SegmentBytes))
}

// logBudget logs what the disk has room for. It warns if that is less than the
// largest command.
func (r *replica) logBudget() {
	if r.cfg.DiskBytes == 0 {
		return
	}
	usage := r.wal.Usage()
	largest := r.largestCommand(usage.SnapshotBytes)
	line := r.logUsage().WithFields(logrus.Fields{
		"disk_bytes": r.cfg.DiskBytes, "snapshot_after_bytes": r.cfg.SnapshotBytes, "largest_command_bytes": largest,
	})
	if largest < consensus.MaxProposalBytes {
		line.Warn("the disk is small: larger commands are refused")
		return
	}
	line.Info("disk budget")
}
