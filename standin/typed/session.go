package typed

import (
	"bufio"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/amaranthweir/amaranthweir/internal/request"
	"github.com/amaranthweir/amaranthweir/internal/table"
	"github.com/amaranthweir/amaranthweir/internal/typedproto"
)

// session is the server side of a connection.
type session struct {
	in        *Instance
	conn      net.Conn
	workspace string
	settings  map[string]string
	prepared  map[string]typedproto.Statement
	tx        *tx
	failed    bool
}

// tx is the open transaction of a session. Its writes are buffered until the
// commit.
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
		full := in.maxConns > 0 && len(in.conns) >= in.maxConns
		if !full {
			in.conns[nc] = struct{}{}
			in.opened++
			in.maxOpen = max(in.maxOpen, len(in.conns))
		}
		in.group.mu.Unlock()
		if full {
			in.goroutines.Go(func() { in.refuse(nc) })
			continue
		}
		in.goroutines.Go(func() { in.serve(nc) })
	}
}

// refuse answers the first message on a connection beyond the limit.
func (in *Instance) refuse(nc net.Conn) {
	defer nc.Close()
	if _, err := in.group.codec.ReadInstanceStartup(bufio.NewReader(nc)); err == nil {
		_, _ = nc.Write(in.group.codec.AppendRefusal(nil, typedproto.CodeConnLimit, string(in.ID))) // closed in any case
	}
}

func (in *Instance) serve(nc net.Conn) {
	defer func() {
		in.group.mu.Lock()
		delete(in.conns, nc)
		in.group.mu.Unlock()
		_ = nc.Close() // after it is counted as ended, because the proxy may open another one then
	}()
	codec := in.group.codec
	r := bufio.NewReader(nc)
	startup, err := codec.ReadInstanceStartup(r)
	if err != nil {
		return
	}
	if startup.Group != in.group.Name || startup.Instance != "" && startup.Instance != in.ID {
		_, _ = nc.Write(codec.AppendRefusal(nil, typedproto.CodeWrongInstance, string(in.ID)))
		return
	}
	s := &session{in: in, conn: nc, workspace: startup.Workspace, settings: map[string]string{}, prepared: map[string]typedproto.Statement{}}
	if !s.write(&typedproto.Answer{}) {
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

// write completes an answer with the mark and the transaction status and sends it.
// While the instance is silent, write blocks. It returns false if the answer cannot
// be sent.
func (s *session) write(a *typedproto.Answer) bool {
	g := s.in.group
	g.mu.Lock()
	for s.in.silent && s.in.running {
		g.changed.Wait()
	}
	s.in.awaitHosts()
	a.Mark, a.HasMark = s.in.mark(), true
	g.mu.Unlock()
	a.TxStatus = request.TxIdle
	if s.tx != nil {
		a.TxStatus = request.TxOpen
	}
	if s.failed {
		a.TxStatus = request.TxFailed
	}
	_, err := s.conn.Write(g.codec.AppendAnswer(nil, a))
	return err == nil
}

// mark returns the mark of the last log entry; the term of a primary is its current
// term. The caller must hold the lock of the group.
func (in *Instance) mark() table.Mark {
	m := table.Mark{Term: in.term, Position: table.Position(len(in.log))}
	if in.role == table.RoleReplica && len(in.log) > 0 {
		m.Term = in.log[len(in.log)-1].term
	}
	return m
}

// run runs a statement and returns its answer. It returns false if the answer is
// lost; the connection must then be closed.
func (s *session) run(st *typedproto.Statement, floor *table.Mark) (typedproto.Answer, bool) {
	g := s.in.group
	g.mu.Lock()
	defer g.mu.Unlock()
	s.in.awaitHosts()
	if s.in.busyRefusals > 0 && s.tx == nil {
		s.in.busyRefusals--
		return refusal(typedproto.CodeBusy, s.in), true
	}
	if a, handled := s.runInstanceCommand(st); handled {
		return a, true
	}
	if a, handled := s.runSessionCommand(st); handled {
		return a, true
	}
	switch {
	case s.failed:
		return refusal(typedproto.CodeMalformed, s.in), true
	case floor != nil && s.in.isBehind(*floor):
		return s.fail(typedproto.CodeLagging), true
	}
	return s.runRequest(st)
}

// runInstanceCommand runs the commands of the proxy to the instance itself: status,
// pause, resume and step-down. It returns false for other statements.
func (s *session) runInstanceCommand(st *typedproto.Statement) (a typedproto.Answer, handled bool) {
	in := s.in
	switch st.Kind {
	case typedproto.Status:
	case typedproto.Pause:
		if st.Term > in.group.term && in.role == table.RoleReplica {
			in.held = st.Term
		}
	case typedproto.Resume:
		in.held = 0
		in.catchUp()
	case typedproto.StepDown:
		if in.role == table.RolePrimary && in.term < st.Term {
			in.role = table.RoleReplica
			in.group.reconnect()
		}
	default:
		return typedproto.Answer{}, false
	}
	return s.status(), true
}

// runSessionCommand runs the statements that change only the session. It returns
// false for other statements.
func (s *session) runSessionCommand(st *typedproto.Statement) (a typedproto.Answer, handled bool) {
	switch st.Kind {
	case typedproto.Discard:
		clear(s.settings)
		clear(s.prepared)
	case typedproto.Set:
		s.settings[st.Name] = st.Value
	case typedproto.Prepare:
		s.prepared[st.Name] = *st
	case typedproto.Rollback:
		s.tx, s.failed = nil, false
	default:
		return typedproto.Answer{}, false
	}
	return typedproto.Answer{}, true
}

// access is the item that a statement reads or writes, and the data to write.
type access struct {
	writes     bool
	item, data string
}

// resolveAccess returns the access of a statement. It returns false if the statement
// executes an unknown prepared statement.
func (s *session) resolveAccess(st *typedproto.Statement) (access, bool) {
	_, arguments, _ := strings.Cut(st.Text, " ")
	a := access{writes: st.Kind == typedproto.Write}
	if st.Kind == typedproto.Execute {
		p, ok := s.prepared[st.Name]
		if !ok {
			return a, false
		}
		a.writes, arguments = p.Writes, st.Value
	}
	a.item, a.data, _ = strings.Cut(arguments, " ")
	return a, true
}

// runRequest checks and runs a statement of a caller. It runs under the lock of the
// group, which it releases during the delay of statements.
func (s *session) runRequest(st *typedproto.Statement) (typedproto.Answer, bool) {
	g := s.in.group
	if d := s.in.statementDelay; d > 0 {
		g.mu.Unlock()
		time.Sleep(d)
		g.mu.Lock()
	}
	acc, known := s.resolveAccess(st)
	replica := s.in.role == table.RoleReplica
	switch {
	case !known:
		return s.fail(typedproto.CodeNoStatement), true
	case replica && (st.Kind == typedproto.Begin || acc.writes), acc.writes && s.tx != nil && s.tx.readOnly:
		return s.fail(typedproto.CodeReadOnly), true
	case st.Kind == typedproto.Begin || st.Kind == typedproto.BeginRead:
		s.tx = &tx{readOnly: st.Kind == typedproto.BeginRead}
		return typedproto.Answer{}, true
	case st.Kind == typedproto.Commit && s.tx == nil:
		return refusal(typedproto.CodeMalformed, s.in), true
	}
	g.runs[st.ID]++
	g.workspaces[st.ID] = append(g.workspaces[st.ID], s.workspace)
	return s.execute(st, acc)
}

// execute runs a statement that has passed the checks of runRequest. It returns
// false if the answer is lost.
func (s *session) execute(st *typedproto.Statement, acc access) (typedproto.Answer, bool) {
	a := typedproto.Answer{Signature: string(s.in.ID) + "." + strconv.Itoa(len(s.in.log))}
	w := write{acc.item, acc.data, st.ID}
	switch {
	case acc.writes && s.tx != nil:
		s.tx.writes = append(s.tx.writes, w)
	case acc.writes:
		return a, s.commit([]write{w})
	case st.Kind == typedproto.Commit:
		writes := s.tx.writes
		s.tx = nil
		return a, len(writes) == 0 || s.commit(writes)
	default:
		a.Rows = []string{s.in.value(acc.item, s.settings["suffix"])}
	}
	return a, true
}

// commit appends an entry to the log and waits until a replica has received it. It
// returns false if the answer is lost: by LoseAnswers, or because the instance is
// no longer running or no longer the primary of the term.
func (s *session) commit(writes []write) bool {
	g, in := s.in.group, s.in
	in.log = append(in.log, commit{in.term, writes})
	in.applied = len(in.log)
	position, term := len(in.log), in.term
	for !in.replicate(position, term) {
		if !in.running || in.role != table.RolePrimary || in.term != term {
			return false
		}
		g.changed.Wait()
	}
	if in.lostAnswers > 0 {
		in.lostAnswers--
		return false
	}
	return true
}

// replicate sends the log to the replicas that can receive it, and reports whether
// one of them has the entry at position.
func (in *Instance) replicate(position int, term table.Term) bool {
	replicated := false
	for _, r := range in.group.instances {
		if !r.receivesFrom(in) {
			continue
		}
		if r.receiptDelay > 0 {
			r.sendLater(in)
		} else {
			r.receive(in, len(in.log))
		}
		replicated = replicated || len(r.log) >= position
	}
	return replicated && in.term == term
}

// receivesFrom reports whether the instance is a replica that can receive from p. The
// caller must hold the lock of the group.
func (in *Instance) receivesFrom(p *Instance) bool {
	return in != p && in.linked(p) && !in.silent && in.held == 0 && in.role == table.RoleReplica &&
		p.role == table.RolePrimary && in.term == p.term
}

// catchUp copies the log of the primary when replication resumes after a pause.
func (in *Instance) catchUp() {
	for _, p := range in.group.instances {
		if in.receivesFrom(p) {
			in.receive(p, len(p.log))
		}
	}
	in.group.changed.Broadcast()
}

// receive copies the log of a primary up to a position. Reads see the new entries after
// the lag.
func (in *Instance) receive(p *Instance, upTo int) {
	in.log = append(in.log[:0:0], p.log[:upTo]...)
	in.sentTo = max(in.sentTo, upTo)
	g := in.group
	time.AfterFunc(g.Lag, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		in.applied = max(in.applied, min(upTo, len(in.log)))
	})
}

// isBehind reports whether reads might not see the entries up to floor, or whether
// the entry at floor is one of another term. A term has no entry at the position
// at which it begins.
func (in *Instance) isBehind(floor table.Mark) bool {
	if floor.Position == 0 {
		return false
	}
	return int(floor.Position) > in.applied || in.log[floor.Position-1].term != floor.Term
}

// value returns the value of an item as reads see it, with a suffix.
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

func (s *session) status() typedproto.Answer {
	in := s.in
	state := typedproto.State{Role: in.role, Mark: in.mark(), Term: in.term, Held: in.held, Connections: len(in.conns)}
	return typedproto.Answer{Rows: []string{in.group.codec.AppendState(state)}}
}

// fail refuses a statement and fails the open transaction, if there is one.
func (s *session) fail(code typedproto.Code) typedproto.Answer {
	s.failed = s.tx != nil
	return refusal(code, s.in)
}

func refusal(code typedproto.Code, in *Instance) typedproto.Answer {
	return typedproto.Answer{Code: code, Text: string(in.ID)}
}
