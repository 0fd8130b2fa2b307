package main

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"
)

// instance is a database instance. The fields from role on are guarded by the lock of
// the group.
type instance struct {
	group   *group
	id      string
	address string
	zone    string

	role    string
	term    uint64 // of which it is the primary
	follows uint64 // of the primary from which it received last
	log     []entry
	applied int
	held    uint64
	running bool
	deaf    bool // receives nothing
	cut     bool // no machine of the system reaches it, nor it them
	born    uint64
	conns   map[net.Conn]struct{}
	ln      net.Listener
}

// maxConnections is how many connections an instance accepts.
const maxConnections = 16

// start starts the instance, for the first time or after stop.
func (in *instance) start() error {
	ln, err := net.Listen("tcp", in.address)
	if err != nil {
		return err
	}
	g := in.group
	g.mu.Lock()
	defer g.mu.Unlock()
	in.ln, in.running, in.held, in.conns = ln, true, 0, map[net.Conn]struct{}{}
	in.born = uint64(time.Now().UnixMilli())
	if in.role == rolePrimary && in.term < g.term {
		in.role = roleReplica
	}
	in.applied = len(in.log)
	go in.accept(ln)
	g.replicate()
	return nil
}

// stop ends the instance at once. With empty set, it loses its log.
func (in *instance) stop(empty bool) {
	g := in.group
	g.mu.Lock()
	defer g.mu.Unlock()
	if !in.running {
		return
	}
	in.running = false
	_ = in.ln.Close()
	for c := range in.conns {
		_ = c.Close()
	}
	if empty {
		in.log, in.applied, in.role, in.term, in.follows = nil, 0, roleReplica, 0, 0
	}
	g.changed.Broadcast()
}

// missing returns the entries that the log of the instance lacks.
func (in *instance) missing(entries []entry) []entry {
	held := map[string]bool{}
	for _, e := range in.log {
		held[e.id] = true
	}
	var out []entry
	for _, e := range entries {
		if !held[e.id] {
			out = append(out, e)
		}
	}
	return out
}

// position returns the position received, in the form TERM.NUMBER.
func (in *instance) position() string {
	if n := len(in.log); n > 0 {
		return fmt.Sprintf("%d.%d", in.log[n-1].term, in.log[n-1].number)
	}
	return "0.0"
}

func (in *instance) accept(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		in.group.mu.Lock()
		full := len(in.conns) >= maxConnections
		in.conns[c] = struct{}{}
		in.group.mu.Unlock()
		go in.serve(c, full)
	}
}

// dbSession is a connection to an instance.
type dbSession struct {
	in       *instance
	born     uint64
	state    string // I, T or E
	readOnly bool
	writes   []entry
	prepared map[string]string
}

func (in *instance) serve(c net.Conn, full bool) {
	defer func() {
		in.group.mu.Lock()
		delete(in.conns, c)
		in.group.mu.Unlock()
		_ = c.Close()
	}()
	r := bufio.NewReader(c)
	words, err := readWords(r, 4)
	if err != nil || words[0] != "STARTUP" || len(words) < 3 {
		return
	}
	switch {
	case full:
		_, _ = fmt.Fprintf(c, "ERROR CONNLIMIT %s\r\n", in.id)
		return
	case words[1] != in.group.name || len(words) > 3 && words[3] != in.id:
		_, _ = fmt.Fprintf(c, "ERROR WRONGNODE %s\r\n", in.id)
		return
	}
	in.awaitNetwork()
	s := &dbSession{in: in, born: in.born, state: "I", prepared: map[string]string{}}
	if _, err := fmt.Fprintf(c, "READY I %s\r\n", in.lockedPosition()); err != nil {
		return
	}
	for {
		words, err := readWords(r, 3)
		if err != nil || words[0] != "QUERY" || len(words) < 3 {
			return
		}
		answer, ok := s.run(words[1], words[2])
		if !ok {
			return
		}
		in.awaitNetwork()
		if _, err := c.Write([]byte(answer)); err != nil {
			return
		}
	}
}

func (in *instance) lockedPosition() string {
	in.group.mu.Lock()
	defer in.group.mu.Unlock()
	return in.position()
}

// readWords reads a line and splits it into at most n words.
func readWords(r *bufio.Reader, n int) ([]string, error) {
	line, err := r.ReadString('\n')
	if err != nil {
		return nil, err
	}
	return strings.SplitN(strings.TrimSuffix(line, "\r\n"), " ", n), nil
}

// awaitNetwork waits while the instance is cut off.
func (in *instance) awaitNetwork() {
	in.group.mu.Lock()
	defer in.group.mu.Unlock()
	for in.cut && in.running {
		in.group.changed.Wait()
	}
}

// setCut begins or ends a cut between the instance and all machines of the system.
func (in *instance) setCut(on bool) {
	in.group.mu.Lock()
	defer in.group.mu.Unlock()
	in.cut = on
	in.group.changed.Broadcast()
}

// run runs a statement and returns the whole answer. It returns false if there is none.
func (s *dbSession) run(id, text string) (string, bool) {
	s.in.awaitNetwork()
	g := s.in.group
	g.mu.Lock()
	defer g.mu.Unlock()
	body, ok := s.statement(id, text)
	if !ok || !s.in.running || s.in.born != s.born {
		return "", false
	}
	return fmt.Sprintf("%sREADY %s %s\r\n", body, s.state, s.in.position()), true
}

// fail returns an error answer. It fails the open transaction.
func (s *dbSession) fail(code string) (string, bool) {
	if s.state == "T" {
		s.state = "E"
	}
	return "ERROR " + code + " " + s.in.id + "\r\n", true
}

// done returns a success with the signature of the instance.
func (s *dbSession) done(id string, rows string) (string, bool) {
	return fmt.Sprintf("%sCOMPLETE %s.%d.%s\r\n", rows, s.in.id, s.born, id), true
}

func (s *dbSession) statement(id, text string) (string, bool) {
	verb, rest, _ := strings.Cut(text, " ")
	if verb == "WAITLSN" {
		var floor string
		floor, text, _ = strings.Cut(rest, " ")
		if !s.in.holds(floor) {
			return s.fail("LAGGING")
		}
		verb, rest, _ = strings.Cut(text, " ")
	}
	switch verb {
	case "STATUS", "PAUSE", "RESUME", "STEPDOWN":
		return s.command(verb, rest), true
	case "ROLLBACK":
		s.state, s.writes = "I", nil
		return "COMPLETE -\r\n", true
	}
	if s.state == "E" {
		return s.fail("MALFORMED")
	}
	switch verb {
	case "DISCARD":
		clear(s.prepared)
	case "SET", "DEALLOCATE":
	case "PREPARE":
		name, shape, _ := strings.Cut(rest, " ")
		s.prepared[name] = shape
	case "BEGIN":
		return s.begin(rest == "READ")
	case "COMMIT":
		return s.commit(id)
	default:
		return s.access(id, verb, rest)
	}
	return "COMPLETE -\r\n", true
}

// holds reports whether the applied log contains the position.
func (in *instance) holds(position string) bool {
	t, n, _ := strings.Cut(position, ".")
	term, _ := strconv.ParseUint(t, 10, 64)
	number, _ := strconv.ParseUint(n, 10, 64)
	if number == 0 {
		return true
	}
	return int(number) <= in.applied && in.log[number-1].term == term
}

// command runs a command of the system and returns the row about the instance.
func (s *dbSession) command(verb, rest string) string {
	in := s.in
	term, _ := strconv.ParseUint(rest, 10, 64)
	switch verb {
	case "PAUSE":
		if in.role == roleReplica && term > in.group.term {
			in.held = term
		}
	case "RESUME":
		in.held = 0
		in.group.replicate()
	case "STEPDOWN":
		if in.role == rolePrimary && in.term < term {
			in.role = roleReplica
			in.group.replicate()
		}
	}
	shown := in.follows
	if in.role == rolePrimary {
		shown = in.term
	}
	return fmt.Sprintf("DATAROW %s %d %s %d 0 0 %d\r\nCOMPLETE -\r\n", in.role, shown, in.position(), in.held, len(in.conns))
}

func (s *dbSession) begin(readOnly bool) (string, bool) {
	if !readOnly && s.in.role != rolePrimary {
		return s.fail("READONLY")
	}
	s.state, s.readOnly, s.writes = "T", readOnly, nil
	return "COMPLETE -\r\n", true
}

func (s *dbSession) commit(id string) (string, bool) {
	writes := s.writes
	s.state, s.writes = "I", nil
	for _, e := range writes {
		if s.in.role != rolePrimary {
			return s.fail("READONLY")
		}
		if !s.in.group.commit(s.in, e) {
			return "", false
		}
	}
	return s.done(id, "")
}

// access runs a read or a write, as such or as a prepared statement.
func (s *dbSession) access(id, verb, rest string) (string, bool) {
	if verb == "EXECUTE" {
		name, args, _ := strings.Cut(rest, " ")
		shape, known := s.prepared[name]
		if !known {
			return s.fail("NOSTMT")
		}
		verb, _, _ = strings.Cut(shape, " ")
		rest = args
	}
	item, data, _ := strings.Cut(rest, " ")
	switch verb {
	case "READ":
		return s.done(id, "DATAROW "+s.in.value(item)+"\r\n")
	case "WRITE":
	default:
		return s.fail("MALFORMED")
	}
	if s.in.role != rolePrimary || s.readOnly && s.state == "T" {
		return s.fail("READONLY")
	}
	e := entry{id: id, item: item, data: data}
	if s.state == "T" {
		s.writes = append(s.writes, e)
		return s.done(id, "")
	}
	if !s.in.group.commit(s.in, e) {
		return "", false
	}
	return s.done(id, "")
}

func (in *instance) value(item string) string {
	for i := in.applied - 1; i >= 0; i-- {
		if in.log[i].item == item {
			return in.log[i].data
		}
	}
	return "-"
}
