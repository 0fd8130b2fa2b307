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

// nullStream takes answers and forgets them.
type nullStream struct{ drpc.Stream }

// Context is that of a stream over plain TCP.
func (nullStream) Context() context.Context {
	return drpcctx.WithTransport(context.Background(), &net.TCPConn{})
}

func (nullStream) Send(*peerpb.Frame) error     { return nil }
func (nullStream) Recv() (*peerpb.Frame, error) { return nil, context.Canceled }

// FuzzFrame is what another host can send over a link, to an owner and to one
// that waits for an answer.
func FuzzFrame(f *testing.F) {
	for _, frame := range []*peerpb.Frame{
		{Id: 1, Body: &peerpb.Frame_Request{Request: encodeRequest(ask("x"), ask("x").Deadline)}},
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
			server: &Server{Owner: newOwner(echo)}, ctx: t.Context(), stream: nullStream{},
			running: map[uint64]*running{}, sessions: map[request.SessionID]struct{}{},
		}
		e.take(&frame)
		e.take(&frame)
		e.end()
		c := &call{arrived: make(chan struct{}, 1)}
		c.deliver(frame.GetAnswer())
		_ = decodeFailure(frame.GetAnswer().GetFailure())
	})
}
