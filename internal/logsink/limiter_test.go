package logsink

import (
	"bytes"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
)

// fixture is a logger with a Limiter whose clock the test controls.
type fixture struct {
	log              *logrus.Logger
	out              bytes.Buffer
	now              time.Time
	shedRequestLines bool
	dropped          map[string]int
}

func newFixture() *fixture {
	f := &fixture{log: logrus.New(), now: time.Unix(1000, 0), dropped: map[string]int{}}
	f.log.SetOutput(&f.out)
	f.log.SetFormatter(&Limiter{
		Next:             &logrus.JSONFormatter{},
		ShedRequestLines: func() bool { return f.shedRequestLines },
		OnDrop:           func(kind string) { f.dropped[kind]++ },
		Clock:            func() time.Time { return f.now },
	})
	return f
}

// countLines returns the number of lines written with the given message.
func (f *fixture) countLines(kind string) int {
	return strings.Count(f.out.String(), `"msg":`+strconv.Quote(kind))
}

// Under a flood of requests that each log a line, the number of lines per window
// is limited, the dropped lines are counted and reported in the next window, and
// a line about a change of primary is still written.
func TestLinesOfAKindAreBounded(t *testing.T) {
	f := newFixture()
	for range 10 * maxRequestLines {
		f.log.WithField(RequestField, "r").Info("route")
	}
	f.log.WithField("group", "g").Info("change of primary")
	assert.Equal(t, f.countLines("route"), maxRequestLines)
	assert.Equal(t, f.countLines("change of primary"), 1)
	assert.Equal(t, f.dropped["route"], 9*maxRequestLines)
	assert.Equal(t, f.countLines("log lines were left out"), 0)
	f.now = f.now.Add(window)
	f.log.WithField(RequestField, "r").Info("route")
	assert.Equal(t, f.countLines("route"), maxRequestLines+1)
	assert.Assert(t, strings.Contains(f.out.String(), `{"kind":"route","level":"warning","lines":`+strconv.Itoa(9*maxRequestLines)+`,`))
}

// While the log reader is slow, lines about requests are dropped, but lines about
// the state of the system are written.
func TestRequestLinesAreDroppedFirst(t *testing.T) {
	f := newFixture()
	f.shedRequestLines = true
	f.log.WithField(RequestField, "r").Warn("attempt refused")
	f.log.Warn("probe failed")
	assert.Equal(t, f.countLines("attempt refused"), 0)
	assert.Equal(t, f.countLines("probe failed"), 1)
	assert.Equal(t, f.dropped["attempt refused"], 1)
}

func TestSinkIsHalfFullBeforeItDropsLines(t *testing.T) {
	writer := &blockedWriter{release: make(chan struct{})}
	s := New(writer)
	assert.Assert(t, !s.IsHalfFull())
	for range queueLines * 3 / 4 {
		_, err := s.Write([]byte("line\n"))
		assert.NilError(t, err)
	}
	assert.Assert(t, s.IsHalfFull())
	assert.Equal(t, s.Dropped(), uint64(0))
	close(writer.release)
	s.Close()
}
