package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/amaranthweir/amaranthweir/internal/config"
	"github.com/amaranthweir/amaranthweir/internal/request"
	"github.com/amaranthweir/amaranthweir/internal/system/routing"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

// decisionQueueSize is the number of decisions that can wait to be logged.
const decisionQueueSize = 16384

// decision is one routing decision together with the fields of its log line.
type decision struct {
	at           time.Time
	request      string
	callerID     string
	service      string
	class        string
	rank         config.Rank
	group        table.GroupName
	floor        table.Mark
	hasFloor     bool
	instanceMark table.Mark // the mark that the owner of the instance last reported
	attempt      int
	routing.Decision
}

// decisionLog writes one log line per routing decision. It writes
// asynchronously, because formatting a line takes longer than making the
// decision. When the queue is full, decisions are dropped and counted.
type decisionLog struct {
	queue   chan decision
	dropped atomic.Uint64
}

// Run writes the log lines of routing decisions until ctx is done, then writes
// the decisions still queued and returns nil.
func (g *Gateway) Run(ctx context.Context) error {
	for {
		select {
		case d := <-g.decisions.queue:
			g.writeDecision(&d)
		case <-ctx.Done():
			g.drainDecisions()
			return nil
		}
	}
}

// drainDecisions writes the log lines of all queued decisions.
func (g *Gateway) drainDecisions() {
	for {
		select {
		case d := <-g.decisions.queue:
			g.writeDecision(&d)
		default:
			return
		}
	}
}

// writeDecision writes the log line of one decision.
func (g *Gateway) writeDecision(d *decision) {
	fields := logrus.Fields{
		"request":  d.request,
		"service":  d.service,
		"class":    d.class,
		"rank":     d.rank.String(),
		"group":    d.group,
		"instance": d.Instance,
		"owner":    d.Owner,
		"reason":   d.Reason.String(),
		"attempt":  d.attempt,
	}
	if d.callerID != "" {
		fields["caller_id"] = d.callerID
	}
	if d.hasFloor {
		fields["floor_term"], fields["floor_position"] = d.floor.Term, d.floor.Position
		fields["instance_term"], fields["instance_position"] = d.instanceMark.Term, d.instanceMark.Position
	}
	if d.Refused() {
		fields["refused"] = d.Refuse.String()
	}
	if n := g.decisions.dropped.Swap(0); n > 0 {
		fields["lines_left_out"] = n
	}
	g.cfg.Log.WithTime(d.at).WithFields(fields).Info("route")
}

// logDecision queues the log line of a decision that was made on view. It never
// blocks.
func (r *run) logDecision(q *request.Request, view *routing.GroupView, d routing.Decision) {
	log := &r.session.gateway.decisions
	select {
	case log.queue <- decision{
		at:           time.Now(),
		request:      q.ID,
		callerID:     r.work.CallerID,
		service:      q.Service,
		class:        q.Class,
		rank:         q.Rank,
		group:        q.Group,
		floor:        q.Floor,
		hasFloor:     q.HasFloor,
		instanceMark: reportedMark(view, d.Instance),
		attempt:      r.attempts,
		Decision:     d,
	}:
	default:
		log.dropped.Add(1)
	}
}

// reportedMark returns the mark that the owner of an instance last reported, or
// the zero mark when none is known.
func reportedMark(view *routing.GroupView, id table.InstanceID) table.Mark {
	if view == nil {
		return table.Mark{}
	}
	c := view.Find(id)
	if c == nil {
		return table.Mark{}
	}
	return c.Hint.Mark
}
