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

// fixture is a logger behind a Limiter, on a clock that the test moves.
type fixture struct {
	log     *logrus.Logger
	out     bytes.Buffer
	now     time.Time
	crowded bool
	leftOut map[string]int
}

func newFixture() *fixture {
	f := &fixture{log: logrus.New(), now: time.Unix(1000, 0), leftOut: map[string]int{}}
	f.log.SetOutput(&f.out)
	f.log.SetFormatter(&Limiter{
		Next:    &logrus.JSONFormatter{},
		ShedRequests: func() bool { return f.crowded },
		OnDrop: func(kind string) { f.leftOut[kind]++ },
		Clock:   func() time.Time { return f.now },
	})
	return f
}

func (f *fixture) lines(kind string) int {
	return strings.Count(f.out.String(), `"msg":`+strconv.Quote(kind))
}

// A flood of requests, each with a line: the lines of a second are bounded, the
// rest is counted and said, and a change of belief is written all the same.
func TestLinesOfAKindAreBounded(t *testing.T) {
	f := newFixture()
	for range 10 * requestLines {
		f.log.WithField(RequestField, "r").Info("route")
	}
	f.log.WithField("group", "g").Info("change of primary")
	assert.Equal(t, f.lines("route"), requestLines)
	assert.Equal(t, f.lines("change of primary"), 1)
	assert.Equal(t, f.leftOut["route"], 9*requestLines)
	assert.Equal(t, f.lines("log lines were left out"), 0)
	f.now = f.now.Add(window)
	f.log.WithField(RequestField, "r").Info("route")
	assert.Equal(t, f.lines("route"), requestLines+1)
	assert.Assert(t, strings.Contains(f.out.String(), `{"kind":"route","level":"warning","lines":`+strconv.Itoa(9*requestLines)+`,`))
}

// A reader that is slow gets what the system believes before what it routes.
func TestLinesAboutRequestsGiveWay(t *testing.T) {
	f := newFixture()
	f.crowded = true
	f.log.WithField(RequestField, "r").Warn("attempt refused")
	f.log.Warn("probe failed")
	assert.Equal(t, f.lines("attempt refused"), 0)
	assert.Equal(t, f.lines("probe failed"), 1)
	assert.Equal(t, f.leftOut["attempt refused"], 1)
}

func TestSinkIsCrowdedBeforeItIsFull(t *testing.T) {
	reader := &stopped{release: make(chan struct{})}
	s := New(reader)
	assert.Assert(t, !s.IsHalfFull())
	for range queueLines * 3 / 4 {
		_, err := s.Write([]byte("line\n"))
		assert.NilError(t, err)
	}
	assert.Assert(t, s.IsHalfFull())
	assert.Equal(t, s.Dropped(), uint64(0))
	close(reader.release)
	s.Close()
}
