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
	"github.com/amaranthweir/amaranthweir/internal/stmt"
	"github.com/amaranthweir/amaranthweir/internal/table"
	"github.com/amaranthweir/amaranthweir/platform"
)

// instanceLines is the side of an instance in the line protocol of the platform.
type instanceLines struct{ platform.Lines }

func (instanceLines) ReadInstanceStartup(r *bufio.Reader) (table.GroupName, table.InstanceID, error) {
	line, err := r.ReadString('\n')
	words := strings.Fields(line)
	if err != nil || len(words) != 4 || words[0] != "STARTUP" {
		return "", "", fmt.Errorf("startup %q: %w", line, err)
	}
	return table.GroupName(words[1]), table.InstanceID(words[3]), nil
}

// ownKinds are the statements that only the proxy sends.
var ownKinds = map[string]stmt.Kind{
	"STATUS": stmt.Status, "DISCARD": stmt.Discard, "PAUSE": stmt.Pause, "RESUME": stmt.Resume, "STEPDOWN": stmt.StepDown,
}

func (l instanceLines) ReadInstanceStatement(r *bufio.Reader) (stmt.Statement, *table.Mark, error) {
	line, err := r.ReadString('\n')
	if err != nil {
		return stmt.Statement{}, nil, err
	}
	words := strings.SplitN(strings.TrimRight(line, "\r\n"), " ", 3)
	if len(words) != 3 || words[0] != "QUERY" {
		return stmt.Statement{}, nil, io.EOF
	}
	id, text := words[1], words[2]
	var floor *table.Mark
	if rest, ok := strings.CutPrefix(text, "WAITLSN "); ok {
		floor = &table.Mark{}
		if _, err := fmt.Sscanf(rest, "%d.%d", &floor.Term, &floor.Position); err != nil {
			return stmt.Statement{}, nil, err
		}
		_, text, _ = strings.Cut(rest, " ")
	}
	verb, argument, _ := strings.Cut(text, " ")
	if kind, ok := ownKinds[verb]; ok {
		term, _ := strconv.ParseUint(argument, 10, 64) // none has no argument
		return stmt.Statement{Kind: kind, Term: table.Term(term)}, nil, nil
	}
	if id == "-" {
		id = "own"
	}
	s, err := l.ReadStatement(bufio.NewReader(strings.NewReader("QUERY " + id + " " + text + "\r\n")))
	return s, floor, err
}

// AppendAnswer tells the position too, unlike an answer to a caller.
func (l instanceLines) AppendAnswer(dst []byte, a *stmt.Answer) []byte {
	out := l.Lines.AppendAnswer(nil, a)
	out = bytes.TrimSuffix(out, []byte("-\r\n"))
	return append(dst, fmt.Sprintf("%s%d.%d\r\n", out, a.Mark.Term, a.Mark.Position)...)
}

func (instanceLines) AppendState(s stmt.State) string {
	return fmt.Sprintf("%s %d %d.%d %d 0 0 %d", s.Role, s.Mark.Term, s.Mark.Term, s.Mark.Position, s.Held, s.Connections)
}

// caller is one session of a caller of the platform.
type caller struct {
	net net.Conn
	in  *bufio.Reader
}

// result is what a caller was told about one statement.
type result struct {
	rows      []string
	signature string
	code      string // empty after a success
	state     string
}

func (r result) ok() bool { return r.code == "" && r.signature != "-" }

func connect(address, database string) (*caller, error) {
	nc, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	c := &caller{net: nc, in: bufio.NewReader(nc)}
	_ = nc.SetDeadline(time.Now().Add(patience))
	fmt.Fprintf(nc, "STARTUP %s tester\r\n", database)
	r, err := c.read()
	if err == nil && r.code != "" {
		err = fmt.Errorf("refused: %s", r.code)
	}
	if err != nil {
		_ = nc.Close()
		return nil, err
	}
	return c, nil
}

func (c *caller) read() (result, error) {
	var r result
	for {
		line, err := c.in.ReadString('\n')
		if err != nil {
			return r, err
		}
		word, rest, _ := strings.Cut(strings.TrimRight(line, "\r\n"), " ")
		switch word {
		case "DATAROW":
			r.rows = append(r.rows, rest)
		case "COMPLETE":
			r.signature = rest
		case "ERROR":
			r.code, _, _ = strings.Cut(rest, " ")
			if r.code == "NODB" {
				return r, nil
			}
		case "READY":
			r.state, _, _ = strings.Cut(rest, " ")
			return r, nil
		default:
			return r, fmt.Errorf("answer %q", line)
		}
	}
}

// ask sends a statement and waits for its answer.
func (c *caller) ask(id, text string) (result, error) {
	_ = c.net.SetDeadline(time.Now().Add(patience))
	if _, err := fmt.Fprintf(c.net, "QUERY %s %s\r\n", id, text); err != nil {
		return result{}, err
	}
	return c.read()
}

func (c *caller) close() { _ = c.net.Close() }

// TestInstanceLinesAreTheOtherSide holds the stand-in's side of the protocol
// against the product's.
func TestInstanceLinesAreTheOtherSide(t *testing.T) {
	floor := &table.Mark{Term: 3, Position: 7}
	sent := platform.Lines{}.AppendStatement(nil, &stmt.Statement{Kind: stmt.BeginRead}, floor)
	s, got, err := instanceLines{}.ReadInstanceStatement(bufio.NewReader(bytes.NewReader(sent)))
	assert.NilError(t, err)
	assert.Equal(t, s.Kind, stmt.BeginRead)
	assert.DeepEqual(t, got, floor)
	answer := instanceLines{}.AppendAnswer(nil, &stmt.Answer{
		Rows: []string{instanceLines{}.AppendState(stmt.State{Role: table.RolePrimary, Mark: *floor})},
		Mark: *floor, TxStatus: request.TxIdle,
	})
	a, err := platform.Lines{}.ReadAnswer(bufio.NewReader(bytes.NewReader(answer)))
	assert.NilError(t, err)
	assert.Equal(t, a.Mark, *floor)
	state, err := platform.Lines{}.ParseState(a.Rows[0])
	assert.NilError(t, err)
	assert.Equal(t, state.Role, table.RolePrimary)
}
