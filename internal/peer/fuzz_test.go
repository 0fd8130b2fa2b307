package peer

import (
	"context"
	"net"
	"testing"

	"google.golang.org/protobuf/proto"
	"storj.io/drpc"
	"storj.io/drpc/drpcctx"

	"github.com/amaranthweir/amaranthweir/internal/peer/peerpb"
	"github.com/amaranthweir/amaranthweir/internal/request"
)

// discardStream is an Exchange stream that discards answers.
type discardStream struct{ drpc.Stream }

// Context returns the context of a stream over plain TCP.
func (discardStream) Context() context.Context {
	return drpcctx.WithTransport(context.Background(), &net.TCPConn{})
}

func (discardStream) Send(*peerpb.Frame) error     { return nil }
func (discardStream) Recv() (*peerpb.Frame, error) { return nil, context.Canceled }

// FuzzFrame handles arbitrary frames from another host, both at the answering
// and at the calling end of a link.
func FuzzFrame(f *testing.F) {
	for _, frame := range []*peerpb.Frame{
		{Id: 1, Body: &peerpb.Frame_Request{Request: encodeRequest(newRequest("x"), newRequest("x").Deadline)}},
		{Id: 1, Body: &peerpb.Frame_Request{Request: &peerpb.Request{Rank: 77, RemainingNanos: -1}}},
		{Id: 1, Body: &peerpb.Frame_Credit{Credit: &peerpb.Credit{Bytes: 1 << 63}}},
		{Body: &peerpb.Frame_EndSession{}},
		{Id: 2, Body: &peerpb.Frame_Answer{Answer: &peerpb.Answer{Last: true, Failure: &peerpb.Failure{Effect: 512}}}},
	} {
		buf, err := proto.Marshal(frame)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(buf)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var frame peerpb.Frame
		if proto.Unmarshal(data, &frame) != nil {
			return
		}
		e := &exchange{
			server: &Server{Owner: newOwner(echo)}, ctx: t.Context(), stream: discardStream{},
			calls: map[uint64]*runningCall{}, sessions: map[request.SessionID]struct{}{},
		}
		e.handleFrame(&frame)
		e.handleFrame(&frame)
		e.endSessions()
		c := &call{updated: make(chan struct{}, 1)}
		c.deliver(frame.GetAnswer())
		_ = decodeFailure(frame.GetAnswer().GetFailure())
	})
}
