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

// Whatever is sent over a link arrives as it was.
func TestNamesAreRestored(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var out nameSender
		var in nameReceiver
		text := rapid.SampledFrom([]string{"", "a", "b", "host-1", "host-1-2", strings.Repeat("x", maxNameBytes+1)})
		for range rapid.IntRange(1, 20).Draw(t, "requests") {
			r := &request.Request{
				ID: text.Draw(t, "id"), Service: text.Draw(t, "service"), Class: text.Draw(t, "class"),
				Instance: table.InstanceID(text.Draw(t, "instance")), Group: table.GroupName(text.Draw(t, "group")),
				Session: request.SessionID{Host: table.HostID(text.Draw(t, "host")), Number: 3},
			}
			f := requestFrame(r)
			want := proto.Clone(f).(*peerpb.Frame)
			out.shorten(f)
			assert.NilError(t, in.restore(f))
			f.Names = nil
			assert.Assert(t, proto.Equal(f, want), "%v\n%v", f, want)
		}
	})
}

// A request of the users' size, on a link of 2 Mbit/s that carries hundreds of
// them a second.
func TestNamesHalveRequests(t *testing.T) {
	r := &request.Request{
		ID: "10.3.0.30-dj4myps3iwim-6l", Service: "voje72", Class: "voje72/reads",
		Session:  request.SessionID{Host: "10.3.0.30", Incarnation: 1 << 60, Number: 77},
		Instance: "i-847ab7ffe2", Group: "kago68a", Deadline: time.Now().Add(800 * time.Millisecond),
		Messages: make([]byte, 33),
	}
	var out nameSender
	out.shorten(requestFrame(r))
	whole, short := requestFrame(r), requestFrame(r)
	out.shorten(short)
	assert.Assert(t, proto.Size(short)*100 <= proto.Size(whole)*60, "%d bytes of %d", proto.Size(short), proto.Size(whole))
}

func TestNamesThatCannotBeRestored(t *testing.T) {
	for name, change := range map[string]func(f *peerpb.Frame){
		"a number that was not given": func(f *peerpb.Frame) { f.GetRequest().Refs[0] = 99 },
		"too few numbers":             func(f *peerpb.Frame) { f.GetRequest().Refs = f.GetRequest().Refs[:2] },
		"too many names":              func(f *peerpb.Frame) { f.Names = make([]string, maxNames+1) },
	} {
		var out nameSender
		var in nameReceiver
		f := requestFrame(&request.Request{Service: "s"})
		out.shorten(f)
		change(f)
		assert.Assert(t, in.restore(f) != nil, name)
	}
}

// Only a host that says so is sent names: one of an earlier version reads texts.
func TestNamesWaitForTheOtherEnd(t *testing.T) {
	owner := newOwner(echo)
	r := NewRemote(startServer(t, &Server{Owner: owner}), timing, nil)
	defer r.Close()
	run := func() {
		_, err := r.Execute(t.Context(), ask("x"), &collect{})
		assert.NilError(t, err)
	}
	run()
	assert.Equal(t, len(r.link.names.numbers), 0)
	waittest.Until(t, "a pong", func() bool { return r.link.takesNames.Load() })
	run()
	run()
	assert.Assert(t, len(r.link.names.numbers) > 0)
}

func TestPingsOfBusyLinks(t *testing.T) {
	const interval = 250 * time.Millisecond
	for name, c := range map[string]struct {
		sentAgo, heardAgo time.Duration
		due               bool
	}{
		"requests and answers":         {interval / 10, interval / 10, false},
		"requests without an answer":   {0, interval, true},
		"an answer that takes long":    {interval, 0, true},
		"a link that nobody uses":      {time.Second, time.Second, true},
		"a request just before a ping": {0, interval / 2, false},
	} {
		assert.Equal(t, pingDue(c.sentAgo, c.heardAgo, interval), c.due, name)
	}
}
