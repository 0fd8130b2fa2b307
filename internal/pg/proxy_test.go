package pg

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/amaranthweir/amaranthweir/internal/config"
	"github.com/amaranthweir/amaranthweir/internal/dbedge/pgedge"
	"github.com/amaranthweir/amaranthweir/internal/errkind"
	"github.com/amaranthweir/amaranthweir/internal/gateway"
	"github.com/amaranthweir/amaranthweir/internal/owner"
	"github.com/amaranthweir/amaranthweir/internal/peer"
	"github.com/amaranthweir/amaranthweir/internal/request"
	tokens "github.com/amaranthweir/amaranthweir/internal/session"
	"github.com/amaranthweir/amaranthweir/internal/system/failover"
	"github.com/amaranthweir/amaranthweir/internal/system/routing"
	"github.com/amaranthweir/amaranthweir/internal/table"
	"github.com/amaranthweir/amaranthweir/internal/upstream"
	"github.com/amaranthweir/amaranthweir/internal/waittest"
	"github.com/amaranthweir/amaranthweir/standin"
)

const document = `{
  "service": "ledger", "version": 1,
  "groups": [{"name": "g1", "instances": 1}],
  "classes": [
    {"name": "ticket", "rank": "urgent", "access": "write", "group": "g1", "deadline": "20s", "worth": 10, "repeatable": true, "ack_replicas": 0},
    {"name": "lookup", "rank": "normal", "access": "read", "group": "g1", "staleness": "0s", "deadline": "20s", "worth": 1},
  ],
  "default_class": "ticket",
}`

// singleHost implements the dependencies of the gateway, the owner and the
// listener for one host that owns the primary of one group.
type singleHost struct {
	doc      *config.Document
	groups   routing.Table
	executor request.Executor
	changed  chan struct{}
}

func (a *singleHost) Document(service string) *config.Document {
	if service == a.doc.Service {
		return a.doc
	}
	return nil
}
func (a *singleHost) Groups() *routing.Table                     { return &a.groups }
func (a *singleHost) Agreed(table.GroupName) (table.Group, bool) { return table.Group{}, false }

func (a *singleHost) Responsive(table.HostID) bool { return true }

func (a *singleHost) Executor(table.HostID) (request.Executor, bool) { return a.executor, true }
func (a *singleHost) Changed() <-chan struct{}                       { return a.changed }
func (a *singleHost) Request(gateway.Observation)                    {}
func (a *singleHost) Callers(int)                                    {}
func (a *singleHost) Refused(errkind.Kind)                           {}
func (a *singleHost) WriteOutcome(table.GroupName, table.Mark) owner.WriteOutcome {
	return owner.OutcomePending
}
func (a *singleHost) Term(table.GroupName, table.InstanceID) (table.Term, bool) { return 1, true }
func (a *singleHost) LogTerm(table.GroupName, table.InstanceID) (table.Term, bool) {
	return 1, true
}

func (a *singleHost) MayAcknowledge(table.GroupName, table.InstanceID, table.Term) error {
	return nil
}

func (a *singleHost) PrimaryPosition(context.Context, table.GroupName) (request.PositionSample, error) {
	return request.PositionSample{}, nil
}

func (a *singleHost) AwaitAnyReplica(context.Context, table.GroupName, table.Mark) error { return nil }

// proxy is a listener, a gateway, an owner and a stand-in in one process.
type proxy struct {
	up       *standin.Instance
	listener *Listener
	address  string
}

// startProxy starts a proxy. If hop is set, requests reach the owner over a link
// between hosts.
func startProxy(t testing.TB, hop bool) *proxy {
	t.Helper()
	cfg := standin.DefaultConfig("g1", "g1-a")
	cfg.Primary, cfg.OpenCost = true, 0
	up, err := standin.Start(cfg)
	assert.NilError(t, err)
	log := logrus.New()
	log.SetOutput(io.Discard)
	a := &singleHost{changed: make(chan struct{})}
	a.doc, err = config.ParseDocument("ledger", []byte(document))
	assert.NilError(t, err)
	platform, err := pgedge.New(pgedge.DefaultConfig())
	assert.NilError(t, err)
	o := owner.New(owner.Config{
		Authority: a, Peers: a, Prober: platform, Fencer: platform, OnChange: func() {}, Log: log,
		Dial:            owner.DialSQL(upstream.Login{User: "u", Database: "ledger"}, owner.DefaultTiming().DialTimeout),
		AdmissionConfig: func(table.GroupName) owner.AdmissionConfig { return owner.AdmissionConfig{} },
		Stamp:           func() failover.Stamp { return failover.Stamp{} },
		Timing:          owner.DefaultTiming(),
	})
	a.executor = o
	ctx, stop := context.WithCancel(context.Background())
	closeLink := func() {}
	if hop {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		go func() { _ = (&peer.Server{Owner: o, Log: log}).Serve(ctx, l) }()
		r := peer.NewRemote(l.Addr().String(), peer.DefaultTiming(), nil)
		a.executor, closeLink = r, r.Close
	}
	assert.NilError(t, o.Acquire(ctx, table.Instance{ID: "g1-a", Group: "g1", Address: up.Address(), Slots: 3, Connections: 8}, 1))
	a.groups.Update("g1", func(*routing.GroupView) *routing.GroupView {
		return &routing.GroupView{
			Primary:    "g1-a",
			Candidates: []routing.Candidate{{Instance: "g1-a", Owner: "h1", Role: table.RolePrimary, OwnerState: table.HostAlive}},
		}
	})
	keys, err := tokens.NewKeyring([][]byte{make([]byte, 32)})
	assert.NilError(t, err)
	gw := gateway.New(gateway.Config{
		Host: "h1", Directory: a, Observer: a, Keys: keys, Log: log,
		Clock: func() time.Duration { return time.Since(started) },
	})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	p := &proxy{up: up, address: ln.Addr().String()}
	p.listener = NewListener(Config{Gateway: gw, Log: log, MaxCallers: 50, MaxMessageBytes: 1 << 20, Counters: a})
	served := make(chan error, 1)
	go func() { served <- p.listener.Serve(ctx, ln) }()
	t.Cleanup(func() {
		stop()
		<-served
		closeLink()
		o.Release("g1-a")
		platform.Close()
		_ = up.Close()
	})
	return p
}

var started = time.Now()

// caller is a client connection that sends and receives single messages.
type caller struct {
	t   testing.TB
	net net.Conn
	fe  *pgproto3.Frontend
	pid uint32
	key []byte
}

func (p *proxy) connect(t testing.TB) *caller {
	t.Helper()
	nc, err := net.Dial("tcp", p.address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = nc.Close() })
	_ = nc.SetDeadline(time.Now().Add(waittest.Timeout))
	c := &caller{t: t, net: nc, fe: pgproto3.NewFrontend(nc, nc)}
	c.send(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": "u", "database": "ledger"}})
	c.answers()
	return c
}

func (c *caller) send(messages ...pgproto3.FrontendMessage) {
	c.t.Helper()
	for _, m := range messages {
		c.fe.Send(m)
	}
	assert.NilError(c.t, c.fe.Flush())
}

// answers reads up to ReadyForQuery, a fatal error or the end of the connection.
// It returns one string per message: the SQLSTATE of an error, the transaction
// status of ReadyForQuery, and "end" for a closed connection.
func (c *caller) answers() (got []string) {
	c.t.Helper()
	for {
		msg, err := c.fe.Receive()
		if err != nil {
			return append(got, "end")
		}
		switch m := msg.(type) {
		case *pgproto3.BackendKeyData:
			c.pid, c.key = m.ProcessID, append([]byte(nil), m.SecretKey...)
		case *pgproto3.ParseComplete:
			got = append(got, "parsed")
		case *pgproto3.BindComplete:
			got = append(got, "bound")
		case *pgproto3.CloseComplete:
			got = append(got, "closed")
		case *pgproto3.RowDescription:
			got = append(got, "columns")
		case *pgproto3.DataRow:
			got = append(got, "row "+string(m.Values[0]))
		case *pgproto3.EmptyQueryResponse:
			got = append(got, "empty")
		case *pgproto3.CommandComplete:
			got = append(got, string(m.CommandTag))
		case *pgproto3.ErrorResponse:
			got = append(got, m.Code)
			if m.Severity == "FATAL" {
				return got
			}
		case *pgproto3.ReadyForQuery:
			return append(got, string(m.TxStatus))
		}
	}
}
