package logsink

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// RequestField is the field that marks log lines about a single request. Each
	// request causes one or more of these lines. All other lines are about
	// failures and state changes of the system itself.
	RequestField = "request"
	// maxRequestLines and maxOtherLines are the maximum numbers of lines of one kind
	// per window, for lines about requests and for all others. A host serves a few
	// hundred statements per second.
	maxRequestLines = 500
	maxOtherLines   = 2000
	// window is the period to which the limits apply.
	window = time.Second
)

// lineCount holds the numbers of lines of one kind in the current window.
type lineCount struct{ written, dropped int }

// Limiter is a logrus.Formatter that limits the rate of log lines. The kind of a
// line is its message. Limiter drops the lines of a kind that exceed the limit of
// the kind per window, and lines about requests while ShedRequestLines returns
// true.
// With the first line of the next window it writes the number of dropped lines of
// each kind.
type Limiter struct {
	// Next formats the lines that are not dropped.
	Next logrus.Formatter
	// ShedRequestLines reports whether to drop lines about requests. If it is nil,
	// they are dropped only above their limit.
	ShedRequestLines func() bool
	// OnDrop is called with the kind of each dropped line. It may be nil.
	OnDrop func(kind string)
	// Clock returns the current time. If it is nil, time.Now is used.
	Clock func() time.Time

	mu          sync.Mutex
	windowStart time.Time
	counts      map[string]*lineCount
}

// Format implements logrus.Formatter. For a dropped line it returns only the
// reports of lines dropped in the previous window, if any are due.
func (l *Limiter) Format(e *logrus.Entry) ([]byte, error) {
	dropped, ok := l.admit(e)
	out, err := l.formatDropReports(e, dropped)
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

// formatDropReports formats one line for each kind with dropped lines.
func (l *Limiter) formatDropReports(e *logrus.Entry, dropped map[string]int) (out []byte, err error) {
	for kind, n := range dropped {
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

// admit counts a line and reports whether to write it. For the first line of a
// window it also returns the numbers of lines of each kind that were dropped in
// the previous window.
func (l *Limiter) admit(e *logrus.Entry) (dropped map[string]int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	if l.counts == nil || now.Sub(l.windowStart) >= window {
		dropped = l.startWindow(now)
	}
	c := l.counts[e.Message]
	if c == nil {
		c = &lineCount{}
		l.counts[e.Message] = c
	}
	_, aboutRequest := e.Data[RequestField]
	limit := maxOtherLines
	if aboutRequest {
		limit = maxRequestLines
	}
	if c.written >= limit || aboutRequest && l.ShedRequestLines != nil && l.ShedRequestLines() {
		c.dropped++
		return dropped, false
	}
	c.written++
	return dropped, true
}

// startWindow starts a new window and returns the numbers of lines of each kind
// that were dropped in the previous one.
func (l *Limiter) startWindow(now time.Time) map[string]int {
	dropped := map[string]int{}
	for kind, c := range l.counts {
		if c.dropped > 0 {
			dropped[kind] = c.dropped
		}
	}
	l.windowStart, l.counts = now, map[string]*lineCount{}
	return dropped
}

func (l *Limiter) now() time.Time {
	if l.Clock != nil {
		return l.Clock()
	}
	return time.Now()
}
