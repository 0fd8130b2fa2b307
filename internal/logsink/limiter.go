package logsink

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// RequestField is the field of lines about one request. There is one or more
	// of them for each request; the others tell of failures of the system itself
	// and of changes of what it believes.
	RequestField = "request"
	// requestLines and otherLines are how many lines of one kind a host writes a
	// second. A host serves a few hundred statements a second.
	requestLines = 500
	otherLines   = 2000
	// window is the time that the limits are for.
	window = time.Second
)

// count is how many lines of a kind came in the current window.
type count struct{ written, leftOut int }

// Limiter is a logrus.Formatter that leaves out lines of a kind, which is their
// message, above a number a second, and lines about requests while others need
// the room. The next line after that second says how many were left out.
type Limiter struct {
	// Next formats what is written.
	Next logrus.Formatter
	// ShedRequests reports whether lines about requests have to be left out; nil is
	// never.
	ShedRequests func() bool
	// OnDrop hears of each line that is left out; nil is nobody.
	OnDrop func(kind string)
	// Clock returns the moment; nil is time.Now.
	Clock func() time.Time

	mu    sync.Mutex
	began time.Time
	kinds map[string]*count
}

// Format implements logrus.Formatter. What it returns for a line that is left
// out is empty.
func (l *Limiter) Format(e *logrus.Entry) ([]byte, error) {
	reports, ok := l.admit(e)
	out, err := l.formatReports(e, reports)
	if err != nil {
		return nil, err
	}
	if !ok {
		if l.OnDrop != nil {
			l.OnDrop(e.Message)
		}
		return out, nil
	}
	line, err := l.Next.Format(e)
	return append(out, line...), err
}

// formatReports formats a line for each kind of which lines were left out.
func (l *Limiter) formatReports(e *logrus.Entry, leftOut map[string]int) (out []byte, err error) {
	for kind, n := range leftOut {
		line, err := l.Next.Format(&logrus.Entry{
			Logger:  e.Logger,
			Level:   logrus.WarnLevel,
			Time:    e.Time,
			Message: "log lines were left out",
			Data:    logrus.Fields{"kind": kind, "lines": n},
		})
		if err != nil {
			return nil, err
		}
		out = append(out, line...)
	}
	return out, nil
}

// admit counts a line and reports whether it is written. With the first line of
// a window it returns how many lines of each kind were left out in the one
// before.
func (l *Limiter) admit(e *logrus.Entry) (leftOut map[string]int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	if l.kinds == nil || now.Sub(l.began) >= window {
		leftOut = l.turn(now)
	}
	c := l.kinds[e.Message]
	if c == nil {
		c = &count{}
		l.kinds[e.Message] = c
	}
	_, aboutRequest := e.Data[RequestField]
	limit := otherLines
	if aboutRequest {
		limit = requestLines
	}
	if c.written >= limit || aboutRequest && l.ShedRequests != nil && l.ShedRequests() {
		c.leftOut++
		return leftOut, false
	}
	c.written++
	return leftOut, true
}

// turn begins a window and returns what was left out in the one before.
func (l *Limiter) turn(now time.Time) map[string]int {
	leftOut := map[string]int{}
	for kind, c := range l.kinds {
		if c.leftOut > 0 {
			leftOut[kind] = c.leftOut
		}
	}
	l.began, l.kinds = now, map[string]*count{}
	return leftOut
}

func (l *Limiter) now() time.Time {
	if l.Clock != nil {
		return l.Clock()
	}
	return time.Now()
}
