package accept

import (
	"errors"
	"net"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"
	"gotest.tools/v3/assert"
)

// scriptedListener returns one outcome of Accept after another, then
// net.ErrClosed.
type scriptedListener struct {
	net.Listener
	errs []error
}

func (l *scriptedListener) Accept() (net.Conn, error) {
	if len(l.errs) == 0 {
		return nil, net.ErrClosed
	}
	err := l.errs[0]
	l.errs = l.errs[1:]
	if err != nil {
		return nil, err
	}
	nc, _ := net.Pipe()
	return nc, nil
}

func (l *scriptedListener) Close() error { return nil }

// A failed accept and the panic of one session must not keep the others from
// being served, and must not end the process.
func TestLoopSurvivesErrorsAndPanics(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, lines := test.NewNullLogger()
		var wg sync.WaitGroup
		var mu sync.Mutex
		served := 0
		ln := &scriptedListener{errs: []error{nil, errors.New("too many open files"), nil, nil}}
		Loop(t.Context(), ln, log, func() func() { wg.Add(1); return wg.Done }, func(nc net.Conn) {
			defer nc.Close()
			mu.Lock()
			defer mu.Unlock()
			served++
			if served == 2 {
				panic("malformed statement")
			}
		})
		wg.Wait()
		assert.Equal(t, served, 3)
		levels := map[logrus.Level]int{}
		for _, e := range lines.AllEntries() {
			levels[e.Level]++
		}
		assert.DeepEqual(t, levels, map[logrus.Level]int{logrus.WarnLevel: 1, logrus.ErrorLevel: 1})
	})
}
