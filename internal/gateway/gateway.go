// Package gateway handles the requests of callers on an entry host. It routes
// each request by the service's document and the current tables, sends the
// request to the owner of the chosen instance, and retries it or resolves its
// outcome where that is safe.
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
	"github.com/amaranthweir/amaranthweir/internal/system/access"
	"github.com/amaranthweir/amaranthweir/internal/system/breaker"
	"github.com/amaranthweir/amaranthweir/internal/system/quota"
	"github.com/amaranthweir/amaranthweir/internal/system/routing"
	"github.com/amaranthweir/amaranthweir/internal/system/throttle"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

// Directory provides the gateway's view of the deployment.
type Directory interface {
	// Document returns the document in force for a service, or nil if there is
	// none.
	Document(service string) *config.Document
	// Groups returns the routing view of every group.
	Groups() *routing.Table
	// Agreed returns the committed state of a group, as far as this host knows
	// it, or false when it is unknown.
	Agreed(group table.GroupName) (table.Group, bool)
	// Executor returns the executor of a host, or false when the host is
	// unknown.
	Executor(host table.HostID) (request.Executor, bool)
	// Responsive reports whether a host is expected to answer a request.
	Responsive(host table.HostID) bool
	// Changed returns a channel that is closed at the next change of a group's
	// state or routing view.
	Changed() <-chan struct{}
}

// Observer is notified of each finished request.
type Observer interface {
	Request(o Observation)
}

// Observation describes one finished request.
type Observation struct {
	Service  string
	Class    string
	Rank     config.Rank
	Access   config.Access
	Replica  bool
	Took     time.Duration
	Err      *errkind.Error // nil if the request was answered
	Attempts int
}

// Quota limits the operations of workspaces over all hosts. An operation is a
// single unit of work or a whole transaction.
type Quota interface {
	// Take returns once the workspace may run one more operation, or an error
	// with the effect errkind.NotRun. An error of kind errkind.QuotaExceeded means
	// that the workspace has reached its limit.
	Take(ctx context.Context, workspace string) (quota.Permit, error)
	// Return gives back an operation that no instance has run.
	Return(p quota.Permit)
	// Finish ends an operation that an instance may have run.
	Finish(p quota.Permit)
}

// Config configures a Gateway.
type Config struct {
	Host        table.HostID
	Incarnation uint64
	Domain      table.Domain
	Directory   Directory
	Observer    Observer
	// UpstreamFloors is set where an instance itself refuses a read whose floor
	// it does not hold. The floor of a read is then the later of two marks: a
	// position that was sampled at the primary within the staleness of the
	// read, and the last write of the session.
	UpstreamFloors bool
	// ConfigurationKnown reports whether this host has received the
	// configuration since it started. Nil means that the configuration is
	// always known.
	ConfigurationKnown func() bool
	// ConfigurationOutdated reports whether this host may have missed a change of
	// the configuration, because no control leader has answered it lately. It then
	// goes on with what it knows, but cannot tell that anything does not exist. Nil
	// means never.
	ConfigurationOutdated func() bool
	// Access returns the rules by which callers are admitted. Nil means that
	// callers need no key.
	Access func() *access.Rules
	// KeysOutdated reports whether this host must not rely on the keys that it
	// knows, because it may have missed the withdrawal of one. Nil means never.
	KeysOutdated func() bool
	// Isolated reports whether this host has no contact with a control leader.
	// A request that cannot be served now is then refused without a retry,
	// because other hosts may be able to serve it. Nil means that the host is
	// never isolated.
	Isolated func() bool
	// Quota limits the operations of workspaces. Nil means that there are no
	// limits.
	Quota Quota
	// Keys sign and verify session tokens.
	Keys *session.Keyring
	Log  *logrus.Logger
	// Clock returns the current time as a duration since an arbitrary start.
	// The routing, breaker and throttle packages receive their times from it.
	Clock func() time.Duration
}

// Gateway serves the sessions of one entry host.
type Gateway struct {
	cfg          Config
	sessionCount atomic.Uint64
	requestCount atomic.Uint64
	budget       retryBudget
	// requestBreaker and positionBreaker limit the requests and the position
	// queries that are sent to owners of primaries which keep refusing them.
	requestBreaker  breaker.Breaker
	positionBreaker breaker.Breaker
	samples         sampleStore
	// throttle limits the requests to instances that refuse most of them.
	throttle throttle.Throttle

	decisions decisionLog
}

// New returns a Gateway that has no sessions.
func New(cfg Config) *Gateway {
	return &Gateway{cfg: cfg, decisions: decisionLog{queue: make(chan decision, decisionQueueSize)}}
}

// NewSession starts the session of a caller that connected to service. It
// returns an error if the configuration is not known yet or the service has no
// document in force. Where callers need a key, the session runs nothing before
// Session.Authenticate has succeeded.
func (g *Gateway) NewSession(service, caller string) (*Session, error) {
	if g.cfg.ConfigurationKnown != nil && !g.cfg.ConfigurationKnown() {
		return nil, errkind.New(errkind.NotLeader, "the configuration is not known yet")
	}
	if g.cfg.Directory.Document(service) == nil {
		return nil, g.notFound(errkind.UnknownClass, "no document for the service %q is in force", service)
	}
	return &Session{
		gateway: g,
		service: service,
		caller:  caller,
		id: request.SessionID{
			Host:        g.cfg.Host,
			Incarnation: g.cfg.Incarnation,
			Number:      g.sessionCount.Add(1),
		},
		token:         session.NewToken(service),
		sampledFloors: map[table.GroupName]table.Mark{},
	}, nil
}

// requestID returns a new id that names a request in the logs of every host
// that handles the request.
func (g *Gateway) requestID() string {
	n := g.requestCount.Add(1)
	return string(g.cfg.Host) + "-" + strconv.FormatUint(g.cfg.Incarnation, 36) + "-" + strconv.FormatUint(n, 36)
}

// notFound returns the error for something that is not in the configuration of this
// host: one of kind absent, or of kind ConfigurationOutdated if it may have been added
// by a change that this host missed.
func (g *Gateway) notFound(absent errkind.Kind, format string, args ...any) error {
	if g.cfg.ConfigurationOutdated != nil && g.cfg.ConfigurationOutdated() {
		return errkind.New(errkind.ConfigurationOutdated, format, args...)
	}
	return errkind.New(absent, format, args...)
}

// findClass returns the class of the document with the given name, or the
// default class if the name is empty.
func (g *Gateway) findClass(doc *config.Document, name string) (*config.Class, error) {
	if name == "" {
		name = doc.Default
	}
	if class, ok := doc.Class(name); ok {
		return class, nil
	}
	return nil, g.notFound(errkind.UnknownClass, "service %s, class %q", doc.Service, name)
}

// chooseGroup returns the group of a request: the only group of its class, or
// the one that its key selects by rendezvous hashing. All hosts choose the same
// group for a key, and removing a group moves only the keys of that group.
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

// PrimaryPosition samples the position of a group's primary at the owner of the
// primary.
func (g *Gateway) PrimaryPosition(ctx context.Context, group table.GroupName) (request.PositionSample, error) {
	primary, err := g.primaryOf(group)
	if err != nil {
		return request.PositionSample{}, err
	}
	return g.queryPosition(ctx, primary)
}

// primaryOf returns the primary of a group and the owner of that primary.
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

// queryPosition queries the owner of a primary for the position of that primary.
func (g *Gateway) queryPosition(ctx context.Context, primary breaker.Key) (request.PositionSample, error) {
	executor, ok := g.cfg.Directory.Executor(primary.Owner)
	if !ok {
		return request.PositionSample{}, errkind.New(errkind.NoOwner, "host %s is not known", primary.Owner)
	}
	return executor.Position(ctx, primary.Instance)
}

// AwaitAnyReplica returns nil once any replica of the group holds m durably. If
// the queries of all replicas fail, it returns the last error.
func (g *Gateway) AwaitAnyReplica(ctx context.Context, group table.GroupName, m table.Mark) error {
	v := g.cfg.Directory.Groups().Lookup(group)
	if v == nil {
		return errkind.New(errkind.NoPrimary, "group %s", group)
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	results := make(chan error, len(v.Candidates))
	queried := 0
	for _, c := range v.Candidates {
		executor, ok := g.cfg.Directory.Executor(c.Owner)
		if c.Instance == v.Primary || c.Leaving || !ok {
			continue // the copy of the write at a leaving instance does not stay in the group
		}
		queried++
		go func() { results <- executor.AwaitReplica(ctx, c.Instance, m) }()
	}
	err := error(errkind.New(errkind.NoOwner, "no replica of %s has an owner", group))
	for range queried {
		if err = <-results; err == nil {
			return nil
		}
	}
	return err
}
