// Package gateway takes the requests of callers on an entry host, decides by
// the service's document and the tables where each goes, and follows it there.
package gateway

import (
	"context"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/amaranthweir/amaranthweir/internal/config"
	"github.com/amaranthweir/amaranthweir/internal/errkind"
	"github.com/amaranthweir/amaranthweir/internal/request"
	"github.com/amaranthweir/amaranthweir/internal/session"
	"github.com/amaranthweir/amaranthweir/internal/system/breaker"
	"github.com/amaranthweir/amaranthweir/internal/system/routing"
	"github.com/amaranthweir/amaranthweir/internal/system/throttle"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

// Directory is what the gateway knows of the deployment.
type Directory interface {
	// Document returns the document in force for a service, or nil.
	Document(service string) *config.Document
	// Groups holds the view of each group.
	Groups() *routing.Table
	// Agreed returns the agreed state of a group, or false when unknown.
	Agreed(group table.GroupName) (table.Group, bool)
	// Executor reaches a host.
	Executor(host table.HostID) (request.Executor, bool)
	// Changed returns a channel that is closed at the next change of a group.
	Changed() <-chan struct{}
}

// Observer hears of each finished request.
type Observer interface {
	Request(o Observation)
}

// Observation is one finished request.
type Observation struct {
	Service  string
	Class    string
	Rank     config.Rank
	Access   config.Access
	Replica  bool
	Took     time.Duration
	Err      *errkind.Error // nil for an answer
	Attempts int
}

// Config describes a Gateway.
type Config struct {
	Host        table.HostID
	Incarnation uint64
	Domain      table.Domain
	Directory   Directory
	Observer    Observer
	// UpstreamFloors is set where instances check floors themselves: a read is
	// then given the position of the primary as it was at most its staleness
	// ago, or what the session wrote, whichever is later.
	UpstreamFloors bool
	// ConfigurationKnown reports whether the configuration has been heard of since the start;
	// nil means always.
	ConfigurationKnown func() bool
	// Isolated reports whether this host hears no control leader. What cannot
	// be served now is then refused at once, for other hosts may serve it; nil
	// means never.
	Isolated func() bool
	// Keys sign and read session tokens.
	Keys *session.Keyring
	Log  *logrus.Logger
	// Clock returns the moment on the clock of the decision systems.
	Clock func() time.Duration
}

// Gateway serves the sessions of one entry host.
type Gateway struct {
	cfg      Config
	sessions atomic.Uint64
	requests atomic.Uint64
	budget   retryBudget
	// primaries and positions spare owners of primaries that refuse: requests,
	// and questions for positions.
	primaries breaker.Breaker
	positions breaker.Breaker
	samples   samples
	// throttle spares instances that refuse most of what is sent.
	throttle throttle.Throttle

	decisions decisionLog
}

// New returns a Gateway without sessions.
func New(cfg Config) *Gateway {
	return &Gateway{cfg: cfg, decisions: decisionLog{queue: make(chan decision, decisionQueue)}}
}

// NewSession begins the session of a caller that connected to service.
func (g *Gateway) NewSession(service, caller string) (*Session, error) {
	if g.cfg.ConfigurationKnown != nil && !g.cfg.ConfigurationKnown() {
		return nil, errkind.New(errkind.NotLeader, "the configuration is not known yet")
	}
	if g.cfg.Directory.Document(service) == nil {
		return nil, errkind.New(errkind.UnknownClass, "no document for the service %q is in force", service)
	}
	return &Session{
		gateway: g,
		service: service,
		caller:  caller,
		id: request.SessionID{
			Host:        g.cfg.Host,
			Incarnation: g.cfg.Incarnation,
			Number:      g.sessions.Add(1),
		},
		token:   session.NewToken(service),
		assumed: map[table.GroupName]table.Mark{},
	}, nil
}

// requestID names a request in the logs of all hosts it touches.
func (g *Gateway) requestID() string {
	n := g.requests.Add(1)
	return string(g.cfg.Host) + "-" + strconv.FormatUint(g.cfg.Incarnation, 36) + "-" + strconv.FormatUint(n, 36)
}

// findClass finds a class of the document by name.
func findClass(doc *config.Document, name string) (*config.Class, error) {
	if name == "" {
		name = doc.Default
	}
	if class, ok := doc.Class(name); ok {
		return class, nil
	}
	return nil, errkind.New(errkind.UnknownClass, "service %s, class %q", doc.Service, name)
}

// chooseGroup finds the group of a request: the only one of its class, or the
// one that its key selects. All hosts select the same one.
func chooseGroup(c *config.Class, key string) (table.GroupName, error) {
	if len(c.Groups) == 1 {
		return c.Groups[0], nil
	}
	if key == "" {
		return "", errkind.New(errkind.BadRequest, "class %s spans %d groups: name a key", c.Name, len(c.Groups))
	}
	var best table.GroupName
	var weight uint64
	for _, g := range c.Groups {
		w := xxhash.Sum64String(string(g) + "\x00" + key)
		if best == "" || w > weight {
			best, weight = g, w
		}
	}
	return best, nil
}

// PrimaryPosition samples the position of the primary of a group at its owner.
func (g *Gateway) PrimaryPosition(ctx context.Context, group table.GroupName) (request.PositionSample, error) {
	primary, err := g.primaryOf(group)
	if err != nil {
		return request.PositionSample{}, err
	}
	return g.positionOf(ctx, primary)
}

// primaryOf returns the primary of a group with its owner.
func (g *Gateway) primaryOf(group table.GroupName) (breaker.Key, error) {
	v := g.cfg.Directory.Groups().Lookup(group)
	if v == nil || v.Primary == "" {
		return breaker.Key{}, errkind.New(errkind.NoPrimary, "group %s", group)
	}
	c := v.Find(v.Primary)
	if c == nil {
		return breaker.Key{}, errkind.New(errkind.NoOwner, "primary of %s", group)
	}
	return breaker.Key{Instance: c.Instance, Owner: c.Owner}, nil
}

// positionOf asks the owner of a primary for its position.
func (g *Gateway) positionOf(ctx context.Context, primary breaker.Key) (request.PositionSample, error) {
	owner, ok := g.cfg.Directory.Executor(primary.Owner)
	if !ok {
		return request.PositionSample{}, errkind.New(errkind.NoOwner, "host %s is not known", primary.Owner)
	}
	return owner.Position(ctx, primary.Instance)
}

// AwaitAnyReplica returns once one replica of the group holds m.
func (g *Gateway) AwaitAnyReplica(ctx context.Context, group table.GroupName, m table.Mark) error {
	v := g.cfg.Directory.Groups().Lookup(group)
	if v == nil {
		return errkind.New(errkind.NoPrimary, "group %s", group)
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	answers := make(chan error, len(v.Candidates))
	asked := 0
	for _, c := range v.Candidates {
		owner, ok := g.cfg.Directory.Executor(c.Owner)
		if c.Instance == v.Primary || c.Leaving || !ok {
			continue // what a leaving instance confirms leaves with it
		}
		asked++
		go func() { answers <- owner.AwaitReplica(ctx, c.Instance, m) }()
	}
	err := error(errkind.New(errkind.NoOwner, "no replica of %s has an owner", group))
	for range asked {
		if err = <-answers; err == nil {
			return nil
		}
	}
	return err
}
