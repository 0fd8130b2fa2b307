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

// TokenParameter is the reported parameter that carries a session to another
// host.
const TokenParameter = "amaranthweir.session"

// closeTimeout bounds the farewell to a host.
const closeTimeout = time.Second

// session is one caller that roams over the entries. It has one request at a
// time.
type session struct {
	cfg    *Config
	number int
	entry  int
	conn   *pgx.Conn
	token  string
	used   int
	// last is the latest acknowledged row of each routing key, latest the key
	// of the last one of all.
	last   map[shard]ledger.Row
	latest shard
}

// connected connects to the session's entry, with the token of the session.
func (s *session) connected(ctx context.Context) error {
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

// roam moves the session to the next entry.
func (s *session) roam() {
	s.hangUp()
	s.entry++
}

func (s *session) hangUp() {
	if s.conn == nil {
		return
	}
	ctx, stop := context.WithTimeout(context.Background(), closeTimeout)
	defer stop()
	_ = s.conn.Close(ctx) // it may be closed by now
	s.conn = nil
}

// send sends one statement and returns the first column of its rows.
func (s *session) send(ctx context.Context, t tags, statement, key, value string) ([]string, ledger.Outcome) {
	if s.used++; s.used%s.cfg.RoamEvery == 0 {
		s.roam()
	}
	if err := s.connected(ctx); err != nil {
		o := ledger.OutcomeOf(err)
		s.forgetIfLost(o)
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
		s.forgetIfLost(o)
		return nil, o
	}
	if token := s.conn.PgConn().ParameterStatus(TokenParameter); token != "" {
		s.token = token
	}
	return texts, ledger.Acknowledged
}

// forgetIfLost begins a new session where the service said that the writes of
// the old one were lost with an old term.
func (s *session) forgetIfLost(o ledger.Outcome) {
	if o.Kind != errkind.TokenLost.String() {
		return
	}
	s.hangUp()
	s.token, s.last = "", map[shard]ledger.Row{}
}

// firstColumn returns the first column of a row as text.
func firstColumn(row pgx.CollectableRow) (string, error) {
	values, err := row.Values()
	if err != nil || len(values) == 0 {
		return "", err
	}
	return fmt.Sprint(values[0]), nil
}

// shows reports whether the answer to a read shows the row with that key.
func shows(statement string, answer []string, key string) bool {
	if strings.Contains(statement, keyPlaceholder) {
		return len(answer) > 0
	}
	return slices.Contains(answer, key)
}

// sessionPool lends sessions, the latest used first.
type sessionPool struct {
	cfg  *Config
	mu   sync.Mutex
	all  []*session
	free []*session
}

func (p *sessionPool) take() *session {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := len(p.free); n > 0 {
		s := p.free[n-1]
		p.free = p.free[:n-1]
		return s
	}
	n := len(p.all)
	s := &session{cfg: p.cfg, number: n, entry: n, last: map[shard]ledger.Row{}}
	p.all = append(p.all, s)
	return s
}

func (p *sessionPool) put(s *session) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.free = append(p.free, s)
}

// close hangs up every session. None may be lent.
func (p *sessionPool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	var wait sync.WaitGroup
	for _, s := range p.all {
		wait.Go(s.hangUp)
	}
	wait.Wait()
}
