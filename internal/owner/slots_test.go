package owner

import (
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/amaranthweir/amaranthweir/internal/config"
	"github.com/amaranthweir/amaranthweir/internal/request"
)

func silentLog() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// started offers n requests and returns the tickets of those that may start.
func started(t *testing.T, s *slots, n int) []*ticket {
	t.Helper()
	got := make(chan *ticket, n)
	for range n {
		r := &request.Request{Class: "c", Rank: config.RankNormal, Deadline: time.Now().Add(time.Hour)}
		go func() {
			if ticket, err := s.acquire(t.Context(), r); err == nil {
				got <- ticket
			}
		}()
	}
	synctest.Wait()
	var tickets []*ticket
	for len(got) > 0 {
		tickets = append(tickets, <-got)
	}
	return tickets
}

// A saturated instance: the next statement is there when a slot gets free, so
// that no slot is idle for the way to the owner and back.
func TestStatementsAreSentAhead(t *testing.T) {
	for slotCount, want := range map[int]int{0: 0, 2: 3, 3: 4, 4: 5, 8: 10} {
		synctest.Test(t, func(t *testing.T) {
			s, err := newSlots(slotCount, true, AdmissionConfig{}, silentLog())
			assert.NilError(t, err)
			assert.Equal(t, len(started(t, s, 20)), want, "%d slots", slotCount)
		})
	}
}

func TestNothingIsSentAheadToOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, err := newSlots(4, false, AdmissionConfig{}, silentLog())
		assert.NilError(t, err)
		assert.Equal(t, len(started(t, s, 20)), 4)
	})
}

// An instance that keeps no queue refuses what is sent ahead. It gets no more
// than its slots for a while then.
func TestNothingIsSentAheadAfterARefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, err := newSlots(4, true, AdmissionConfig{}, silentLog())
		assert.NilError(t, err)
		s.refused()
		first := started(t, s, 20)
		assert.Equal(t, len(first), 4)
		time.Sleep(aheadPause)
		s.tick()
		assert.Equal(t, s.queue.Running(), 5)
		first[0].release()
		assert.Equal(t, s.queue.Running(), 5)
	})
}
