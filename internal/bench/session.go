package bench

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/jackc/pgx/v5"

	"github.com/amaranthweir/amaranthweir/internal/bench/ledger"
	"github.com/amaranthweir/amaranthweir/internal/errkind"
)

// TokenParameter is the PostgreSQL parameter that carries the session token. A
// host reports it, and a client passes it on when it connects to another host.
const TokenParameter = "amaranthweir.session"

// closeTimeout bounds the closing of a connection.
const closeTimeout = time.Second

// session is a caller that moves from entry to entry and keeps its session
// token. It sends one request at a time.
type session struct {
	cfg      *Config
	number   int // identifies the session in the ledger
	entry    int // index into cfg.Entries, modulo its length
	conn     *pgx.Conn
	token    string
	requests int // calls of send so far
	// lastWritten holds the row of the latest acknowledged write for each routing
	// key. lastRoutingKey is the routing key of the latest acknowledged write.
	lastWritten    map[routingKey]ledger.Row
	lastRoutingKey routingKey
}

// connect opens a connection to the current entry with the session token, unless
// one is open. If the connection fails, the next attempt uses the next entry.
func (s *session) connect(ctx context.Context) error {
	if s.conn != nil && !s.conn.IsClosed() {
		return nil
	}
	address := s.cfg.Entries[s.entry%len(s.cfg.Entries)]
	cc, err := pgx.ParseConfig(s.cfg.ConnString)
	if err != nil {
		return err
	}
	host, port, _ := strings.Cut(address, ":")
	cc.Host, cc.Database, cc.Fallbacks = host, s.cfg.Document.Service, nil
	if _, err := fmt.Sscan(port, &cc.Port); err != nil {
		return fmt.Errorf("entry %q: expected ip:port", address)
	}
	if cc.User == "" {
		cc.User = "bench"
	}
	cc.DefaultQueryExecMode = pgx.QueryExecModeExec
	if s.token != "" {
		cc.RuntimeParams[TokenParameter] = s.token
	}
	if s.conn, err = pgx.ConnectConfig(ctx, cc); err != nil {
		s.entry++
	}
	return err
}

// roam closes the connection and selects the next entry.
func (s *session) roam() {
	s.disconnect()
	s.entry++
}

// disconnect closes the connection, if there is one.
func (s *session) disconnect() {
	if s.conn == nil {
		return
	}
	ctx, stop := context.WithTimeout(context.Background(), closeTimeout)
	defer stop()
	_ = s.conn.Close(ctx) // the host may have closed it already
	s.conn = nil
}

// send sends one statement and returns the first column of the result rows. It
// connects first if necessary, and moves to the next entry at every RoamEvery-th
// call.
func (s *session) send(ctx context.Context, t tags, statement, key, value string) ([]string, ledger.Outcome) {
	if s.requests++; s.requests%s.cfg.RoamEvery == 0 {
		s.roam()
	}
	if err := s.connect(ctx); err != nil {
		o := ledger.OutcomeOf(err)
		s.resetIfTokenLost(o)
		return nil, ledger.Outcome{Kind: "connect: " + o.Kind, Effect: errkind.NotRun} // nothing was sent
	}
	query, args := bind(t, statement, key, value)
	rows, err := s.conn.Query(ctx, query, args...)
	if err != nil {
		return nil, ledger.OutcomeOf(err)
	}
	texts, err := pgx.CollectRows(rows, firstColumn)
	if err != nil {
		o := ledger.OutcomeOf(err)
		s.resetIfTokenLost(o)
		return nil, o
	}
	if token := s.conn.PgConn().ParameterStatus(TokenParameter); token != "" {
		s.token = token
	}
	return texts, ledger.Acknowledged
}

// resetIfTokenLost starts a new session if the outcome says that the writes of
// this session were lost with an earlier term of the group.
func (s *session) resetIfTokenLost(o ledger.Outcome) {
	if o.Kind != errkind.TokenLost.String() {
		return
	}
	s.disconnect()
	s.token, s.lastWritten = "", map[routingKey]ledger.Row{}
}

// firstColumn returns the first column of a row as text.
func firstColumn(row pgx.CollectableRow) (string, error) {
	values, err := row.Values()
	if err != nil || len(values) == 0 {
		return "", err
	}
	return fmt.Sprint(values[0]), nil
}

// containsRow reports whether the answer to a read contains the row with the key.
// A statement with {key} selects that row only, so any row in the answer counts.
func containsRow(statement string, answer []string, key string) bool {
	if strings.Contains(statement, keyPlaceholder) {
		return len(answer) > 0
	}
	return slices.Contains(answer, key)
}

// sessionPool hands out idle sessions, the most recently used first, and creates
// one if none is idle.
type sessionPool struct {
	cfg      *Config
	mu       sync.Mutex
	sessions []*session
	idle     []*session
}

// get returns an idle session or a new one.
func (p *sessionPool) get() *session {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := len(p.idle); n > 0 {
		s := p.idle[n-1]
		p.idle = p.idle[:n-1]
		return s
	}
	n := len(p.sessions)
	s := &session{cfg: p.cfg, number: n, entry: n, lastWritten: map[routingKey]ledger.Row{}}
	p.sessions = append(p.sessions, s)
	return s
}

// put returns a session to the pool.
func (p *sessionPool) put(s *session) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle = append(p.idle, s)
}

// close disconnects all sessions. None of them may be in use.
func (p *sessionPool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	var wg sync.WaitGroup
	for _, s := range p.sessions {
		wg.Go(s.disconnect)
	}
	wg.Wait()
}
