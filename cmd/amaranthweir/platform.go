package main

import (
	"context"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/amaranthweir/amaranthweir/internal/dbedge/stmtedge"
	"github.com/amaranthweir/amaranthweir/internal/host"
	"github.com/amaranthweir/amaranthweir/internal/logsink"
	"github.com/amaranthweir/amaranthweir/platform"
)

const (
	// notReadyPause is how long the balancer takes to see that a host is not
	// ready: it asks once a second and wants two answers in a row.
	notReadyPause = 2200 * time.Millisecond
	// shutdownMargin is left of the time for a shutdown for its last steps.
	shutdownMargin = 700 * time.Millisecond
	// memoryShare is the part, in percent, of the memory of a host that the
	// runtime may fill before it collects garbage more often.
	memoryShare = 60
	// settingsLife is how long the settings that were read last count.
	settingsLife = time.Second
)

// servePlatform runs a host on the users' platform until ctx ends.
func servePlatform(ctx context.Context) error {
	file := &settingsFile{path: os.Getenv(platform.SettingsVariable)}
	s, err := platform.LoadSettings(file.path)
	if err != nil {
		return eris.Wrap(err, "settings")
	}
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(s.MemoryBytes * memoryShare / 100)
	}
	log := logsink.New(os.Stdout)
	defer log.Close()
	requester := platform.NewPromotions(s.PromotionsAddress, s.Name)
	h, err := host.NewWithAdapter(&s.Host, &host.Adapter{
		Edge:             stmtedge.New(platform.Lines{}, requester),
		Upstream:         platform.Lines{},
		Callers:          platform.Lines{},
		DecodeDeployment: platform.DecodeDeployment,
		CallsAddress:     s.CallsAddress,
		Calls:            callsOf(s),
		AnnounceInterval: s.HeartbeatInterval,
		Log:              log,
		NotReadyDelay:    notReadyPause,
		ShutdownLimit:    s.ShutdownBound - shutdownMargin,
		Join:             file.join,
	})
	if err != nil {
		return err
	}
	stop := file.follow(h.LogReload)
	defer stop()
	return h.Run(ctx)
}

// callsOf returns which calls a host serves.
func callsOf(s *platform.Settings) func(b *host.Backend) http.Handler {
	if s.Host.Control == nil {
		return func(b *host.Backend) http.Handler { return platform.NewReadyHandler(b) }
	}
	return func(b *host.Backend) http.Handler { return platform.NewControlHandler(b) }
}

// settingsFile is the settings file, which may change at any time.
type settingsFile struct {
	path string

	mu     sync.Mutex
	readAt time.Time
	peers  []string
}

// join returns the hosts to ask for the leader as the file names them now. A
// file that cannot be read leaves them as they were.
func (f *settingsFile) join() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.peers != nil && time.Since(f.readAt) < settingsLife {
		return f.peers
	}
	_ = f.read() // what was read before goes on
	return f.peers
}

// read reads the file. It runs under the lock.
func (f *settingsFile) read() error {
	f.readAt = time.Now()
	s, err := platform.LoadSettings(f.path)
	if err != nil {
		return err
	}
	f.peers = s.Host.Join
	return nil
}

// follow reads the file again at each SIGHUP and says what came of it.
func (f *settingsFile) follow(reloaded func(peers []string, err error)) (stop func()) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	done := make(chan struct{})
	go func() {
		for {
			select {
			case <-done:
				return
			case <-signals:
			}
			f.mu.Lock()
			err := f.read()
			peers := f.peers
			f.mu.Unlock()
			reloaded(peers, err)
		}
	}()
	return func() {
		signal.Stop(signals)
		close(done)
	}
}
