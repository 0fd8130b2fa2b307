// Package peer carries requests, answers and control messages between the
// hosts of a deployment. One stream between two hosts multiplexes many
// concurrent requests. Each frame has the id of its request, so that a late or
// reordered answer is matched to its own request or dropped.
package peer

import (
	"time"

	"github.com/amaranthweir/amaranthweir/internal/config"
	"github.com/amaranthweir/amaranthweir/internal/errkind"
	"github.com/amaranthweir/amaranthweir/internal/peer/peerpb"
	"github.com/amaranthweir/amaranthweir/internal/request"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

// maxSettingsAndPrepares bounds the combined number of settings and prepared
// statements of one request.
const maxSettingsAndPrepares = 4096

func encodeMark(m table.Mark) *peerpb.Mark {
	return &peerpb.Mark{Term: uint64(m.Term), Position: uint64(m.Position)}
}

func decodeMark(m *peerpb.Mark) table.Mark {
	return table.Mark{Term: table.Term(m.GetTerm()), Position: table.Position(m.GetPosition())}
}

func encodeSession(s request.SessionID) *peerpb.Session {
	return &peerpb.Session{Host: string(s.Host), Incarnation: s.Incarnation, Number: s.Number}
}

func decodeSession(s *peerpb.Session) request.SessionID {
	return request.SessionID{
		Host:        table.HostID(s.GetHost()),
		Incarnation: s.GetIncarnation(),
		Number:      s.GetNumber(),
	}
}

func encodeFailure(err error) *peerpb.Failure {
	e := errkind.Of(err)
	return &peerpb.Failure{Kind: uint32(e.Kind), Effect: uint32(e.Effect), Detail: e.Detail}
}

func decodeFailure(f *peerpb.Failure) error {
	kind, effect := errkind.Internal, errkind.Unknown
	if f.GetKind() < uint32(len(errkind.All())) {
		kind = errkind.Kind(f.GetKind())
	}
	if f.GetEffect() < uint32(errkind.Unknown) {
		effect = errkind.Effect(f.GetEffect())
	}
	return errkind.New(kind, "%s", f.GetDetail()).WithEffect(effect)
}

func encodeHint(h *request.Hint) *peerpb.Hint {
	p := &peerpb.Hint{AgeNanos: int64(h.Age), AgeKnown: h.AgeKnown, Mark: encodeMark(h.Mark)}
	for _, w := range h.QueueWait {
		p.QueueWaitNanos = append(p.QueueWaitNanos, int64(w))
	}
	return p
}

func decodeHint(p *peerpb.Hint) request.Hint {
	h := request.Hint{Age: time.Duration(p.GetAgeNanos()), AgeKnown: p.GetAgeKnown(), Mark: decodeMark(p.GetMark())}
	for rank, w := range p.GetQueueWaitNanos() {
		if rank < len(h.QueueWait) {
			h.QueueWait[rank] = time.Duration(w)
		}
	}
	return h
}

// encodeRequest encodes the deadline as the time remaining at now, because the
// clocks of two hosts are not synchronized.
func encodeRequest(r *request.Request, now time.Time) *peerpb.Request {
	p := &peerpb.Request{
		Id:              r.ID,
		Session:         encodeSession(r.Session),
		Service:         r.Service,
		Class:           r.Class,
		Caller:          r.Caller,
		Workspace:       r.Workspace,
		Rank:            uint32(r.Rank),
		Access:          uint32(r.Access),
		Instance:        string(r.Instance),
		Group:           string(r.Group),
		Continues:       r.Continues,
		RemainingNanos:  int64(r.Deadline.Sub(now)),
		StalenessNanos:  int64(r.Staleness),
		RequestId:       r.RequestID,
		Digest:          r.Digest,
		AckReplicas:     uint32(r.AckReplicas),
		Settings:        r.Settings,
		Messages:        r.Messages,
		ChangesSettings: r.ChangesSettings,
		MayCommit:       r.MayCommit,
		WaitNanos:       int64(r.Wait),
		Settle:          r.Settle,
	}
	if r.HasFloor {
		p.Floor = encodeMark(r.Floor)
	}
	for _, s := range r.Prepares {
		p.Prepares = append(p.Prepares, &peerpb.Prepare{Name: s.Name, Parse: s.Parse})
	}
	return p
}

func decodeRequest(p *peerpb.Request, now time.Time) (*request.Request, error) {
	if p.GetRank() >= uint32(config.RankCount) || p.GetAccess() > uint32(config.AccessWrite) {
		return nil, errkind.New(errkind.BadRequest, "rank %d, access %d", p.GetRank(), p.GetAccess())
	}
	if n := len(p.GetSettings()) + len(p.GetPrepares()); n > maxSettingsAndPrepares {
		return nil, errkind.New(errkind.TooLarge, "%d settings and statements", n)
	}
	r := &request.Request{
		ID:              p.GetId(),
		Session:         decodeSession(p.GetSession()),
		Service:         p.GetService(),
		Class:           p.GetClass(),
		Caller:          p.GetCaller(),
		Workspace:       p.GetWorkspace(),
		Rank:            config.Rank(p.GetRank()),
		Access:          config.Access(p.GetAccess()),
		Instance:        table.InstanceID(p.GetInstance()),
		Group:           table.GroupName(p.GetGroup()),
		Continues:       p.GetContinues(),
		Deadline:        now.Add(time.Duration(p.GetRemainingNanos())),
		Staleness:       time.Duration(p.GetStalenessNanos()),
		Floor:           decodeMark(p.GetFloor()),
		HasFloor:        p.GetFloor() != nil,
		RequestID:       p.GetRequestId(),
		Digest:          p.GetDigest(),
		AckReplicas:     int(p.GetAckReplicas()),
		Settings:        p.GetSettings(),
		Messages:        p.GetMessages(),
		ChangesSettings: p.GetChangesSettings(),
		MayCommit:       p.GetMayCommit(),
		Wait:            time.Duration(p.GetWaitNanos()),
		Settle:          p.GetSettle(),
	}
	for _, s := range p.GetPrepares() {
		r.Prepares = append(r.Prepares, request.Prepare{Name: s.GetName(), Parse: s.GetParse()})
	}
	return r, nil
}
