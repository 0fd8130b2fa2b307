package peer

import (
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/amaranthweir/amaranthweir/internal/peer/peerpb"
	"github.com/amaranthweir/amaranthweir/internal/request"
	"github.com/amaranthweir/amaranthweir/internal/table"
	"github.com/amaranthweir/amaranthweir/internal/waittest"
)

func requestFrame(r *request.Request) *peerpb.Frame {
	return &peerpb.Frame{Id: 7, Body: &peerpb.Frame_Request{Request: encodeRequest(r, time.Now())}}
}

// Encoding the recurring texts of requests as numbers and decoding them again
// must not change the requests.
func TestNamesRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var encoder nameEncoder
		var decoder nameDecoder
		text := rapid.SampledFrom([]string{"", "a", "b", "host-1", "host-1-2", strings.Repeat("x", maxNameBytes+1)})
		for range rapid.IntRange(1, 20).Draw(t, "requests") {
			r := &request.Request{
				ID: text.Draw(t, "id"), Service: text.Draw(t, "service"), Class: text.Draw(t, "class"),
				Instance: table.InstanceID(text.Draw(t, "instance")), Group: table.GroupName(text.Draw(t, "group")),
				Session: request.SessionID{Host: table.HostID(text.Draw(t, "host")), Number: 3},
			}
			f := requestFrame(r)
			want := proto.Clone(f).(*peerpb.Frame)
			encoder.encode(f)
			assert.NilError(t, decoder.decode(f))
			f.Names = nil
			assert.Assert(t, proto.Equal(f, want), "%v\n%v", f, want)
		}
	})
}

// Names must shrink a small request, of the size that users send, to at most
// 60 % of its size. Hundreds of such requests per second share a link of
// 2 Mbit/s.
func TestNamesShrinkRequests(t *testing.T) {
	r := &request.Request{
		ID: "10.3.0.30-dj4myps3iwim-6l", Service: "voje72", Class: "voje72/reads",
		Session:  request.SessionID{Host: "10.3.0.30", Incarnation: 1 << 60, Number: 77},
		Instance: "i-847ab7ffe2", Group: "kago68a", Deadline: time.Now().Add(800 * time.Millisecond),
		Messages: make([]byte, 33),
	}
	var encoder nameEncoder
	encoder.encode(requestFrame(r))
	full, short := requestFrame(r), requestFrame(r)
	encoder.encode(short)
	assert.Assert(t, proto.Size(short)*100 <= proto.Size(full)*60, "%d bytes of %d", proto.Size(short), proto.Size(full))
}

func TestDecodeInvalidNames(t *testing.T) {
	for name, change := range map[string]func(f *peerpb.Frame){
		"an unknown number": func(f *peerpb.Frame) { f.GetRequest().Refs[0] = 99 },
		"too few numbers":   func(f *peerpb.Frame) { f.GetRequest().Refs = f.GetRequest().Refs[:2] },
		"too many names":    func(f *peerpb.Frame) { f.Names = make([]string, maxNames+1) },
	} {
		var encoder nameEncoder
		var decoder nameDecoder
		f := requestFrame(&request.Request{Service: "s"})
		encoder.encode(f)
		change(f)
		assert.Assert(t, decoder.decode(f) != nil, name)
	}
}

// Names are sent only after a pong has announced that the other host can decode
// them, because an earlier version reads the text fields only.
func TestNamesSentOnlyWhenSupported(t *testing.T) {
	owner := newOwner(echo)
	r := NewRemote(startServer(t, &Server{Owner: owner}), timing, nil)
	defer r.Close()
	run := func() {
		_, err := r.Execute(t.Context(), newRequest("x"), &collectSink{})
		assert.NilError(t, err)
	}
	run()
	assert.Equal(t, len(r.link.names.numbers), 0)
	waittest.Until(t, "a pong", func() bool { return r.link.takesNames.Load() })
	run()
	run()
	assert.Assert(t, len(r.link.names.numbers) > 0)
}
