package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/amaranthweir/amaranthweir/internal/request"
	"github.com/amaranthweir/amaranthweir/internal/table"
	"github.com/amaranthweir/amaranthweir/internal/typedproto"
	"github.com/amaranthweir/amaranthweir/platform"
)

// instanceLines is the instance side of the platform's line protocol.
type instanceLines struct{ platform.Lines }

// ReadInstanceStartup implements typed.Codec.
func (instanceLines) ReadInstanceStartup(r *bufio.Reader) (typedproto.InstanceStartup, error) {
	line, err := r.ReadString('\n')
	fields := strings.Fields(line)
	if err != nil || len(fields) != 4 || fields[0] != "STARTUP" {
		return typedproto.InstanceStartup{}, fmt.Errorf("startup %q: %w", line, err)
	}
	return typedproto.InstanceStartup{Group: table.GroupName(fields[1]), Workspace: fields[2], Instance: table.InstanceID(fields[3])}, nil
}

// proxyKinds maps the statements that only the proxy sends to their kinds.
var proxyKinds = map[string]typedproto.Kind{
	"STATUS": typedproto.Status, "DISCARD": typedproto.Discard, "PAUSE": typedproto.Pause, "RESUME": typedproto.Resume, "STEPDOWN": typedproto.StepDown,
}

// ReadInstanceStatement implements typed.Codec.
func (l instanceLines) ReadInstanceStatement(r *bufio.Reader) (typedproto.Statement, *table.Mark, error) {
	line, err := r.ReadString('\n')
	if err != nil {
		return typedproto.Statement{}, nil, err
	}
	fields := strings.SplitN(strings.TrimRight(line, "\r\n"), " ", 3)
	if len(fields) != 3 || fields[0] != "QUERY" {
		return typedproto.Statement{}, nil, io.EOF
	}
	id, text := fields[1], fields[2]
	var floor *table.Mark
	if rest, ok := strings.CutPrefix(text, "WAITLSN "); ok {
		floor = &table.Mark{}
		if _, err := fmt.Sscanf(rest, "%d.%d", &floor.Term, &floor.Position); err != nil {
			return typedproto.Statement{}, nil, err
		}
		_, text, _ = strings.Cut(rest, " ")
	}
	verb, argument, _ := strings.Cut(text, " ")
	if kind, ok := proxyKinds[verb]; ok {
		term, _ := strconv.ParseUint(argument, 10, 64) // 0 if the statement has no argument
		return typedproto.Statement{Kind: kind, Term: table.Term(term)}, nil, nil
	}
	if id == "-" {
		id = "proxy" // ReadStatement rejects the placeholder for a missing id
	}
	s, err := l.ReadStatement(bufio.NewReader(strings.NewReader("QUERY " + id + " " + text + "\r\n")))
	return s, floor, err
}

// AppendAnswer implements typed.Codec. Unlike an answer to a caller, the answer
// of an instance has a mark.
func (l instanceLines) AppendAnswer(dst []byte, a *typedproto.Answer) []byte {
	out := l.Lines.AppendAnswer(nil, a)
	out = bytes.TrimSuffix(out, []byte("-\r\n"))
	return append(dst, fmt.Sprintf("%s%d.%d\r\n", out, a.Mark.Term, a.Mark.Position)...)
}

// AppendState implements typed.Codec.
func (instanceLines) AppendState(s typedproto.State) string {
	return fmt.Sprintf("%s %d %d.%d %d 0 0 %d", s.Role, max(s.Term, s.Mark.Term), s.Mark.Term, s.Mark.Position, s.Held, s.Connections)
}

// caller is the connection of a caller to an entry host.
type caller struct {
	conn   net.Conn
	reader *bufio.Reader
	// started is set once the first message was answered.
	started bool
}

// result is the answer to one statement of a caller.
type result struct {
	rows      []string
	signature string
	code      string // empty after a success
	txStatus  string
}

// ok reports whether an instance ran the statement successfully: answers of the
// proxy itself carry no signature.
func (r result) ok() bool { return r.code == "" && r.signature != "-" }

// connect opens a connection to a database and waits for the READY.
func connect(address, database string) (*caller, error) {
	return connectWithKey(address, database, "tester")
}

// connectWithKey is connect for a caller that presents a key.
func connectWithKey(address, database, key string) (*caller, error) {
	nc, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	c := &caller{conn: nc, reader: bufio.NewReader(nc)}
	_ = nc.SetDeadline(time.Now().Add(waitTimeout))
	fmt.Fprintf(nc, "STARTUP %s %s\r\n", database, key)
	r, err := c.read()
	c.started = true
	if err == nil && r.code != "" {
		err = fmt.Errorf("connection refused: %s", r.code)
	}
	if err != nil {
		_ = nc.Close()
		return nil, err
	}
	return c, nil
}

// read reads one answer. No READY follows a refusal of the first message, which
// ends the connection.
func (c *caller) read() (result, error) {
	var r result
	for {
		line, err := c.reader.ReadString('\n')
		if err != nil {
			return r, err
		}
		message, rest, _ := strings.Cut(strings.TrimRight(line, "\r\n"), " ")
		switch message {
		case "DATAROW":
			r.rows = append(r.rows, rest)
		case "COMPLETE":
			r.signature = rest
		case "ERROR":
			r.code, _, _ = strings.Cut(rest, " ")
			if r.code == "NODB" || !c.started {
				return r, nil
			}
		case "READY":
			r.txStatus, _, _ = strings.Cut(rest, " ")
			return r, nil
		default:
			return r, fmt.Errorf("unexpected line %q in an answer", line)
		}
	}
}

// exec sends a statement and waits for its answer.
func (c *caller) exec(id, text string) (result, error) {
	_ = c.conn.SetDeadline(time.Now().Add(waitTimeout))
	if _, err := fmt.Fprintf(c.conn, "QUERY %s %s\r\n", id, text); err != nil {
		return result{}, err
	}
	return c.read()
}

func (c *caller) close() { _ = c.conn.Close() }

// TestInstanceLinesMatchLines checks that the instance side of the protocol,
// which only these tests have, agrees with the codec of the proxy.
func TestInstanceLinesMatchLines(t *testing.T) {
	floor := &table.Mark{Term: 3, Position: 7}
	sent, err := platform.Lines{}.AppendStatement(nil, &typedproto.Statement{Kind: typedproto.BeginRead}, floor)
	assert.NilError(t, err)
	s, got, err := instanceLines{}.ReadInstanceStatement(bufio.NewReader(bytes.NewReader(sent)))
	assert.NilError(t, err)
	assert.Equal(t, s.Kind, typedproto.BeginRead)
	assert.DeepEqual(t, got, floor)
	answer := instanceLines{}.AppendAnswer(nil, &typedproto.Answer{
		Rows: []string{instanceLines{}.AppendState(typedproto.State{Role: table.RolePrimary, Mark: *floor})},
		Mark: *floor, TxStatus: request.TxIdle,
	})
	a, err := platform.Lines{}.ReadAnswer(bufio.NewReader(bytes.NewReader(answer)))
	assert.NilError(t, err)
	assert.Equal(t, a.Mark, *floor)
	state, err := platform.Lines{}.ParseState(a.Rows[0])
	assert.NilError(t, err)
	assert.Equal(t, state.Role, table.RolePrimary)
}
