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

	"github.com/amaranthweir/amaranthweir/internal/cli"
	"github.com/amaranthweir/amaranthweir/internal/dbedge/typededge"
	"github.com/amaranthweir/amaranthweir/internal/host"
	"github.com/amaranthweir/amaranthweir/internal/logsink"
	"github.com/amaranthweir/amaranthweir/platform"
)

const (
	// notReadyDelay is how long the load balancer takes to notice that a host is
	// not ready. It checks once a second and requires two consecutive failures.
	notReadyDelay = 2200 * time.Millisecond
	// shutdownMargin is the part of the shutdown timeout that is reserved for the
	// last steps of a shutdown.
	shutdownMargin = 700 * time.Millisecond
	// memoryLimitPercent is the soft memory limit of the Go runtime, in percent
	// of the memory that the process may use. Near the soft limit, the runtime
	// collects garbage more often.
	memoryLimitPercent = 60
	// settingsTTL is how long settingsFile caches the peers from the settings
	// file.
	settingsTTL = time.Second
)

// servePlatform runs a host on the users' platform until ctx ends. The path of
// its settings file is in the environment variable platform.SettingsVariable.
func servePlatform(ctx context.Context, o cli.PlatformOptions) error {
	file := &settingsFile{path: os.Getenv(platform.SettingsVariable)}
	s, err := platform.LoadSettings(file.path)
	if err != nil {
		return eris.Wrap(err, "settings")
	}
	s.Host.LearnCapacity = o.LearnCapacity
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(s.MemoryBytes * memoryLimitPercent / 100)
	}
	log := logsink.New(os.Stdout)
	defer log.Close()
	requester := platform.NewPromotionClient(s.PromotionsAddress, s.Name)
	h, err := host.NewWithAdapter(&s.Host, &host.Adapter{
		Edge:             typededge.New(platform.Lines{}, requester),
		Upstream:         platform.Lines{},
		Callers:          platform.Lines{},
		DecodeDeployment: platform.DecodeDeployment,
		CallsAddress:     s.CallsAddress,
		Calls:            callsHandler(s),
		AnnounceInterval: s.HeartbeatInterval,
		Log:              log,
		NotReadyDelay:    notReadyDelay,
		ShutdownLimit:    s.ShutdownTimeout - shutdownMargin,
		Join:             file.joinPeers,
	})
	if err != nil {
		return err
	}
	stop := file.reloadOnHangup(h.LogReload)
	defer stop()
	return h.Run(ctx)
}

// callsHandler returns the constructor of the handler for the platform's HTTP
// calls: control hosts serve all calls, other hosts only readiness checks.
func callsHandler(s *platform.Settings) func(b *host.Backend) http.Handler {
	if s.Host.Control == nil {
		return func(b *host.Backend) http.Handler { return platform.NewReadyHandler(b) }
	}
	return func(b *host.Backend) http.Handler { return platform.NewControlHandler(b) }
}

// settingsFile reads the peers from the settings file, which may change while
// the host runs.
type settingsFile struct {
	path string

	mu     sync.Mutex
	readAt time.Time
	peers  []string
}

// joinPeers returns the peer addresses that the file lists at present, which the
// host asks for the leader. If the file cannot be read, joinPeers returns the
// addresses that it read last.
func (f *settingsFile) joinPeers() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.peers != nil && time.Since(f.readAt) < settingsTTL {
		return f.peers
	}
	_ = f.read() // on an error, the previous peers remain in use
	return f.peers
}

// read updates peers from the file, or leaves them unchanged on an error. It
// must be called with mu held.
func (f *settingsFile) read() error {
	f.readAt = time.Now()
	s, err := platform.LoadSettings(f.path)
	if err != nil {
		return err
	}
	f.peers = s.Host.Join
	return nil
}

// reloadOnHangup reads the file again at each SIGHUP and passes the result to
// reloaded, until stop is called.
func (f *settingsFile) reloadOnHangup(reloaded func(peers []string, err error)) (stop func()) {
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
