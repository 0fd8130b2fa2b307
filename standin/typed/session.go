package typed

import (
	"bufio"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/amaranthweir/amaranthweir/internal/request"
	"github.com/amaranthweir/amaranthweir/internal/stmt"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

// session is one connection to an instance.
type session struct {
	in       *Instance
	net      net.Conn
	settings map[string]string
	prepared map[string]stmt.Statement
	tx       *tx
	failed   bool
}

// tx is the open transaction of a session.
type tx struct {
	readOnly bool
	writes   []write
}

func (in *Instance) accept() {
	for {
		nc, err := in.listener.Accept()
		if err != nil {
			return
		}
		in.group.mu.Lock()
		in.conns[nc] = struct{}{}
		in.group.mu.Unlock()
		in.work.Go(func() { in.serve(nc) })
	}
}

func (in *Instance) serve(nc net.Conn) {
	defer func() {
		_ = nc.Close()
		in.group.mu.Lock()
		delete(in.conns, nc)
		in.group.mu.Unlock()
	}()
	codec := in.group.codec
	r := bufio.NewReader(nc)
	group, id, err := codec.ReadInstanceStartup(r)
	if err != nil {
		return
	}
	if group != in.group.Name || id != "" && id != in.ID {
		_, _ = nc.Write(codec.AppendRefusal(nil, stmt.CodeWrongInstance, string(in.ID)))
		return
	}
	s := &session{in: in, net: nc, settings: map[string]string{}, prepared: map[string]stmt.Statement{}}
	if !s.write(&stmt.Answer{}) {
		return
	}
	for {
		st, floor, err := codec.ReadInstanceStatement(r)
		if err != nil {
			return
		}
		a, answered := s.run(&st, floor)
		if !answered || !s.write(&a) {
			return
		}
	}
}

// write sends an answer with the state and the position; it is false where the
// instance answers nothing.
func (s *session) write(a *stmt.Answer) bool {
	g := s.in.group
	g.mu.Lock()
	for s.in.silent && s.in.up {
		g.changed.Wait()
	}
	a.Mark, a.HasMark = s.in.mark(), true
	g.mu.Unlock()
	a.TxStatus = request.TxIdle
	if s.tx != nil {
		a.TxStatus = request.TxOpen
	}
	if s.failed {
		a.TxStatus = request.TxFailed
	}
	_, err := s.net.Write(g.codec.AppendAnswer(nil, a))
	return err == nil
}

// mark is the term of the last entry and its number. It runs under the lock.
func (in *Instance) mark() table.Mark {
	m := table.Mark{Term: in.term, Position: table.Position(len(in.log))}
	if in.role == table.RoleReplica && len(in.log) > 0 {
		m.Term = in.log[len(in.log)-1].term
	}
	return m
}

// run carries out a statement; it is false where the answer is lost.
func (s *session) run(st *stmt.Statement, floor *table.Mark) (stmt.Answer, bool) {
	g := s.in.group
	g.mu.Lock()
	defer g.mu.Unlock()
	if s.in.busy > 0 && s.tx == nil {
		s.in.busy--
		return refusal(stmt.CodeBusy, s.in), true
	}
	if a, done := s.command(st); done {
		return a, true
	}
	if a, done := s.arrange(st); done {
		return a, true
	}
	switch {
	case s.failed:
		return refusal(stmt.CodeMalformed, s.in), true
	case floor != nil && s.in.lacks(*floor):
		return s.fail(stmt.CodeLagging), true
	}
	return s.work(st)
}

// command carries out what the proxy asks of the instance itself.
func (s *session) command(st *stmt.Statement) (a stmt.Answer, done bool) {
	in := s.in
	switch st.Kind {
	case stmt.Status:
	case stmt.Pause:
		if st.Term > in.group.term && in.role == table.RoleReplica {
			in.held = st.Term
		}
	case stmt.Resume:
		in.held = 0
		in.receiveAll()
	case stmt.StepDown:
		if in.role == table.RolePrimary && in.term < st.Term {
			in.role, in.term = table.RoleReplica, in.group.term
			in.follow()
		}
	default:
		return stmt.Answer{}, false
	}
	return s.status(), true
}

// arrange carries out what changes the session only.
func (s *session) arrange(st *stmt.Statement) (a stmt.Answer, done bool) {
	switch st.Kind {
	case stmt.Discard:
		clear(s.settings)
		clear(s.prepared)
	case stmt.Set:
		s.settings[st.Name] = st.Value
	case stmt.Prepare:
		s.prepared[st.Name] = *st
	case stmt.Rollback:
		s.tx, s.failed = nil, false
	default:
		return stmt.Answer{}, false
	}
	return stmt.Answer{}, true
}

// access is what a statement reads or writes.
type access struct {
	writes     bool
	item, data string
}

// access resolves a prepared name; it is false where the name is not known.
func (s *session) access(st *stmt.Statement) (access, bool) {
	_, arguments, _ := strings.Cut(st.Text, " ")
	a := access{writes: st.Kind == stmt.Write}
	if st.Kind == stmt.Execute {
		p, ok := s.prepared[st.Name]
		if !ok {
			return a, false
		}
		a.writes, arguments = p.Writes, st.Value
	}
	a.item, a.data, _ = strings.Cut(arguments, " ")
	return a, true
}

// work runs what a caller asked for. It runs under the lock.
func (s *session) work(st *stmt.Statement) (stmt.Answer, bool) {
	g := s.in.group
	if d := s.in.slow; d > 0 {
		g.mu.Unlock()
		time.Sleep(d)
		g.mu.Lock()
	}
	what, known := s.access(st)
	replica := s.in.role == table.RoleReplica
	switch {
	case !known:
		return s.fail(stmt.CodeNoStatement), true
	case replica && (st.Kind == stmt.Begin || what.writes), what.writes && s.tx != nil && s.tx.readOnly:
		return s.fail(stmt.CodeReadOnly), true
	case st.Kind == stmt.Begin || st.Kind == stmt.BeginRead:
		s.tx = &tx{readOnly: st.Kind == stmt.BeginRead}
		return stmt.Answer{}, true
	case st.Kind == stmt.Commit && s.tx == nil:
		return refusal(stmt.CodeMalformed, s.in), true
	}
	g.runs[st.ID]++
	return s.perform(st, what)
}

// perform runs a statement that nothing speaks against.
func (s *session) perform(st *stmt.Statement, what access) (stmt.Answer, bool) {
	a := stmt.Answer{Signature: string(s.in.ID) + "." + strconv.Itoa(len(s.in.log))}
	one := write{what.item, what.data, st.ID}
	switch {
	case what.writes && s.tx != nil:
		s.tx.writes = append(s.tx.writes, one)
	case what.writes:
		return a, s.commit([]write{one})
	case st.Kind == stmt.Commit:
		done := s.tx.writes
		s.tx = nil
		return a, len(done) == 0 || s.commit(done)
	default:
		a.Rows = []string{s.in.value(what.item, s.settings["suffix"])}
	}
	return a, true
}

// commit appends an entry and waits until a replica has it. It is false where
// the answer is lost.
func (s *session) commit(writes []write) bool {
	g, in := s.in.group, s.in
	in.log = append(in.log, commit{in.term, writes})
	in.applied = len(in.log)
	at, term := len(in.log), in.term
	for !in.replicate(at, term) {
		if !in.up || in.role != table.RolePrimary || in.term != term {
			return false
		}
		g.changed.Wait()
	}
	if in.loseAnswers > 0 {
		in.loseAnswers--
		return false
	}
	return true
}

// replicate hands the log to the replicas that receive, and reports whether one
// of them has the entry.
func (in *Instance) replicate(at int, term table.Term) bool {
	found := false
	for _, r := range in.group.instances {
		if r == in || !r.up || r.silent || r.held != 0 || r.role != table.RoleReplica || r.term != term || in.term != term {
			continue
		}
		r.receive(in)
		found = found || len(r.log) >= at
	}
	return found
}

// receiveAll takes what the primary has, after a pause.
func (in *Instance) receiveAll() {
	for _, p := range in.group.instances {
		if p.role == table.RolePrimary && p.term == in.term && in.role == table.RoleReplica {
			in.receive(p)
		}
	}
	in.group.changed.Broadcast()
}

// receive takes the log of a primary. Reads see it after the lag.
func (in *Instance) receive(p *Instance) {
	in.log = append(in.log[:0:0], p.log...)
	upTo := len(in.log)
	g := in.group
	time.AfterFunc(g.Lag, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		in.applied = max(in.applied, min(upTo, len(in.log)))
	})
}

func (in *Instance) lacks(floor table.Mark) bool {
	if in.role == table.RolePrimary {
		return in.term < floor.Term
	}
	return int(floor.Position) > in.applied || in.term < floor.Term
}

// value returns what reads of an item see.
func (in *Instance) value(item, suffix string) string {
	value := ""
	for _, c := range in.log[:in.applied] {
		for _, w := range c.writes {
			if w.item == item {
				value = w.data
			}
		}
	}
	return value + suffix
}

func (s *session) status() stmt.Answer {
	in := s.in
	state := stmt.State{Role: in.role, Mark: in.mark(), Held: in.held, Connections: len(in.conns)}
	return stmt.Answer{Rows: []string{in.group.codec.AppendState(state)}}
}

// fail refuses a statement, which fails the transaction it is in.
func (s *session) fail(code stmt.Code) stmt.Answer {
	s.failed = s.tx != nil
	return refusal(code, s.in)
}

func refusal(code stmt.Code, in *Instance) stmt.Answer {
	return stmt.Answer{Code: code, Text: string(in.ID)}
}
