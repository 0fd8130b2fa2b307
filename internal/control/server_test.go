package control

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/amaranthweir/amaranthweir/internal/consensus"
	"github.com/amaranthweir/amaranthweir/internal/errkind"
	"github.com/amaranthweir/amaranthweir/internal/table"
	"github.com/amaranthweir/amaranthweir/internal/wal/waltest"
	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
)

// network connects Servers in memory, in a synctest bubble.
type network struct {
	mu        sync.Mutex
	servers   map[table.HostID]*Server
	cancel    map[table.HostID]context.CancelFunc
	done      map[table.HostID]chan error
	folders   map[table.HostID]*waltest.Folder
	isolated  map[table.HostID]bool
	voters    []table.HostID
	random    uint64
	configure func(*ServerConfig)
	sent      map[table.HostID]traffic
	// hasPower, if set, reports whether a host still has power for its next
	// step.
	hasPower func(host table.HostID) bool
}

// traffic is the number of messages and bytes that a host sent.
type traffic struct{ messages, bytes int }

func newNetwork(hosts int) *network {
	n := &network{
		servers: map[table.HostID]*Server{}, cancel: map[table.HostID]context.CancelFunc{},
		done: map[table.HostID]chan error{}, folders: map[table.HostID]*waltest.Folder{},
		isolated: map[table.HostID]bool{}, sent: map[table.HostID]traffic{}, configure: func(*ServerConfig) {},
	}
	for i := range hosts {
		host := table.HostID(fmt.Sprintf("h%d", i+1))
		n.voters = append(n.voters, host)
		n.folders[host] = waltest.NewFolder()
	}
	return n
}

// networkTransport is the Transport of the host from.
type networkTransport struct {
	n    *network
	from table.HostID
}

func (p networkTransport) Send(to table.HostID, msg []byte) {
	p.n.mu.Lock()
	defer p.n.mu.Unlock()
	if p.n.hasPower != nil && !p.n.hasPower(p.from) {
		return
	}
	sent := p.n.sent[p.from]
	p.n.sent[p.from] = traffic{sent.messages + 1, sent.bytes + len(msg)}
	s := p.n.servers[to]
	if s != nil && !p.n.isolated[p.from] && !p.n.isolated[to] {
		_ = s.Receive(msg)
	}
}

// setIsolated disconnects host from all others, or connects it again.
func (n *network) setIsolated(host table.HostID, isolated bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isolated[host] = isolated
}

// newServer creates a server that is not running yet.
func (n *network) newServer(t *testing.T, host table.HostID) *Server {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	cfg := ServerConfig{
		Host: host, FS: n.folders[host], Voters: n.voters, Transport: networkTransport{n, host}, Log: log,
		Random: func() uint64 { n.random += 0x9e3779b97f4a7c15; return n.random },
	}
	n.configure(&cfg)
	s, err := NewServer(cfg)
	assert.NilError(t, err)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.servers[host] = s
	return s
}

func (n *network) start(t *testing.T, host table.HostID) {
	t.Helper()
	s := n.newServer(t, host)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	n.mu.Lock()
	n.cancel[host], n.done[host] = cancel, done
	n.mu.Unlock()
	go func() { done <- s.Run(ctx) }()
}

func (n *network) startAll(t *testing.T) {
	t.Helper()
	for _, host := range n.voters {
		n.start(t, host)
	}
}

// crash stops a server without a handover: it sends no more messages, and
// unsynced data is lost.
func (n *network) crash(t *testing.T, host table.HostID) {
	t.Helper()
	n.stopServer(t, host, false)
}

// stopServer stops a server. Only a graceful stop lets it leave the membership and hand
// over the leadership. Unsynced data is lost in both cases.
func (n *network) stopServer(t *testing.T, host table.HostID, graceful bool) {
	t.Helper()
	if graceful {
		n.server(host).Leave(t.Context())
	}
	n.endServer(t, host, graceful)
}

// endServer ends a server that has left if it is to leave.
func (n *network) endServer(t *testing.T, host table.HostID, graceful bool) {
	t.Helper()
	n.mu.Lock()
	cancel, done := n.cancel[host], n.done[host]
	n.servers[host] = nil
	wasIsolated := n.isolated[host]
	n.isolated[host] = !graceful
	n.mu.Unlock()
	defer n.setIsolated(host, wasIsolated)
	cancel()
	if err := <-done; !errors.Is(err, waltest.ErrPowerLoss) {
		assert.NilError(t, err)
	}
	n.folders[host] = n.folders[host].Crash(func(int) int { return 0 })
}

func (n *network) crashAll(t *testing.T) {
	t.Helper()
	for _, host := range n.voters {
		if n.servers[host] != nil {
			n.crash(t, host)
		}
	}
}

func (n *network) server(host table.HostID) *Server {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.servers[host]
}

// leader waits for a server that holds a valid lease and returns it.
func (n *network) leader(t *testing.T) *Server {
	t.Helper()
	for range 1000 {
		for _, host := range n.voters {
			if s := n.server(host); s != nil {
				if _, _, leased := s.Leader(); leased {
					return s
				}
			}
		}
		time.Sleep(DefaultTickInterval)
	}
	t.Fatal("no leader within 10 s")
	return nil
}

// put returns a PutDocument command with the digest of body.
func put(service string, version uint64, body string) Command {
	sum := sha256.Sum256([]byte(body))
	return Command{PutDocument: &PutDocument{
		Service: service, Version: version, Digest: hex.EncodeToString(sum[:]), Body: []byte(body),
	}}
}

func propose(t *testing.T, s *Server, c Command) (Result, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	return s.Propose(ctx, c)
}

func TestProposeIsAppliedOnEveryHost(t *testing.T) {
	for _, hosts := range []int{1, 3, 5} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newNetwork(hosts)
				n.startAll(t)
				defer n.crashAll(t)
				r, err := propose(t, n.leader(t), put("ledger", 1, "one"))
				assert.NilError(t, err)
				assert.NilError(t, r.Err())
				time.Sleep(time.Second)
				for _, host := range n.voters {
					s := n.servers[host]
					assert.Equal(t, s.Revision(), uint64(1), host)
					assert.Equal(t, string(s.View().Documents["ledger"].Body), "one")
					assert.Assert(t, s.CaughtUp())
				}
			})
		})
	}
}

func TestProposeOnAFollowerNamesTheLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(3)
		n.startAll(t)
		defer n.crashAll(t)
		leader := n.leader(t)
		time.Sleep(time.Second)
		for _, s := range n.servers {
			if s != leader {
				_, err := propose(t, s, put("ledger", 1, "one"))
				assert.Assert(t, errkind.Is(err, errkind.NotLeader))
				assert.ErrorContains(t, err, string(leader.cfg.Host))
			}
		}
	})
}

func TestReceiveRejectsMalformedMessages(t *testing.T) {
	n := newNetwork(1)
	s, err := NewServer(ServerConfig{Host: "h1", FS: n.folders["h1"], Voters: n.voters, Transport: networkTransport{n, "h1"}})
	assert.NilError(t, err)
	for _, b := range []string{"", "\x00", "\x01", "\x02{", "\x01\x01\x09", "\x03abc"} {
		assert.Assert(t, s.Receive([]byte(b)) != nil, "%q", b)
	}
}

func node(host table.HostID, incarnation uint64) consensus.NodeID {
	return consensus.NodeID{Host: host, Incarnation: incarnation}
}

func members(ids ...consensus.NodeID) consensus.Members { return consensus.NewMembers(ids...) }
