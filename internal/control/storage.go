package control

import (
	"context"
	"errors"
	"time"

	"github.com/amaranthweir/amaranthweir/internal/consensus"
	"github.com/amaranthweir/amaranthweir/internal/errkind"
	"github.com/amaranthweir/amaranthweir/internal/wal"
	"github.com/sirupsen/logrus"
)

// reopenInterval is the interval at which a suspended host tries to open its log
// again.
const reopenInterval = 250 * time.Millisecond

// isStorageError reports whether err means that the file system refused an
// operation, so that the log may work again later.
func isStorageError(err error) bool {
	var storage *wal.StorageError
	return errors.As(err, &storage)
}

// suspend ends the part of this host in the consensus after a write to its log
// failed. It confirms nothing that it could not store, and so counts as a member
// that is down. A leader hands over, after readers see the end of its lease.
func (s *Server) suspend(err error) {
	r := s.replica
	r.logUsage().WithError(err).Error("the disk refuses writes: this control host takes no part until they succeed")
	r.node.Handover()
	s.publishInactive(true)
	r.sendHandover()
	r.failPending()
	r.deliverAnswers()
	if err := r.wal.CloseFile(); err != nil {
		s.log.WithError(err).Warn("cannot close the log")
	}
}

// logUsage returns a logger with the size of the log's files as fields.
func (r *replica) logUsage() logrus.FieldLogger {
	u := r.wal.Usage()
	return r.log.WithFields(logrus.Fields{
		"log_bytes": u.SegmentBytes, "log_files": u.Segments, "snapshot_bytes": u.SnapshotBytes, "since_snapshot_bytes": u.BytesSinceSnapshot,
	})
}

// sendHandover sends the handover that is pending. It promises nothing, so unlike
// other messages it may be sent although the log cannot be written.
func (r *replica) sendHandover() {
	messages := r.node.Ready().Messages
	for i := range messages {
		if messages[i].Type == consensus.MsgHandover {
			r.send(&messages[i])
		}
	}
}

// reopen opens the log again, unless the disk is still full.
func (s *Server) reopen() (*replica, error) {
	if err := s.replica.wal.CheckRoom(); err != nil {
		return nil, err
	}
	return openReplica(s.cfg, s.fs, wal.Options{RewriteLast: true})
}

// resume waits until the log can be opened and written again, and restores the
// replica from it, as after a restart of the process. Meanwhile it drops messages
// and refuses proposals. It returns nil if ctx is done, and an error if the log is
// damaged.
func (s *Server) resume(ctx context.Context) error {
	ticker := time.NewTicker(reopenInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.inbox:
		case p := <-s.proposals:
			p.done(Result{}, errkind.New(errkind.NotLeader, "the disk of this control host refuses writes"))
		case <-ticker.C:
			r, err := s.reopen()
			if isStorageError(err) {
				continue
			}
			if err != nil {
				return err
			}
			s.replica, s.tickOrigin = r, s.cfg.Now()
			s.publishStatus()
			r.logUsage().Info("the disk accepts writes again")
			return nil
		}
	}
}
