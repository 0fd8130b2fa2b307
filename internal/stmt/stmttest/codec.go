// Package stmttest provides a codec for tests in which each message is one line of
// JSON. It implements both sides of the protocols with callers and instances.
package stmttest

import (
	"bufio"
	"encoding/json"
	"fmt"

	"github.com/amaranthweir/amaranthweir/internal/request"
	"github.com/amaranthweir/amaranthweir/internal/stmt"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

// Codec implements stmt.UpstreamCodec, stmt.CallerCodec and the codec of the
// stand-in instances.
type Codec struct{}

// message holds the fields of all messages; each message uses some of them.
type message struct {
	Group     table.GroupName  `json:",omitempty"`
	Instance  table.InstanceID `json:",omitempty"`
	Statement *stmt.Statement  `json:",omitempty"`
	Floor     *table.Mark      `json:",omitempty"`
	Answer    *stmt.Answer     `json:",omitempty"`
	End       bool             `json:",omitempty"`
}

func appendMessage(dst []byte, m message) []byte {
	line, err := json.Marshal(m)
	if err != nil {
		panic(err) // all fields are encodable
	}
	return append(append(dst, line...), '\n')
}

// read reads one message.
func read(r *bufio.Reader) (message, error) {
	var m message
	line, err := r.ReadBytes('\n')
	if err != nil {
		return m, err
	}
	return m, json.Unmarshal(line, &m)
}

// AppendStartup implements stmt.UpstreamCodec.
func (Codec) AppendStartup(dst []byte, group table.GroupName, instance table.InstanceID) []byte {
	return appendMessage(dst, message{Group: group, Instance: instance})
}

// AppendStatement implements stmt.UpstreamCodec.
func (Codec) AppendStatement(dst []byte, s *stmt.Statement, floor *table.Mark) []byte {
	return appendMessage(dst, message{Statement: s, Floor: floor})
}

// AppendTerminate implements stmt.UpstreamCodec.
func (Codec) AppendTerminate(dst []byte) []byte { return appendMessage(dst, message{End: true}) }

// ReadAnswer implements stmt.UpstreamCodec.
func (Codec) ReadAnswer(r *bufio.Reader) (stmt.Answer, error) {
	m, err := read(r)
	if err != nil || m.Answer == nil {
		return stmt.Answer{}, fmt.Errorf("read answer: %w", err)
	}
	return *m.Answer, nil
}

// ParseState implements stmt.UpstreamCodec.
func (Codec) ParseState(row string) (stmt.State, error) {
	var s stmt.State
	return s, json.Unmarshal([]byte(row), &s)
}

// AppendState returns the encoding of s that ParseState reads.
func (Codec) AppendState(s stmt.State) string {
	row, err := json.Marshal(s)
	if err != nil {
		panic(err) // all fields are encodable
	}
	return string(row)
}

// ReadStartup implements stmt.CallerCodec.
func (Codec) ReadStartup(r *bufio.Reader) (string, error) {
	m, err := read(r)
	return string(m.Group), err
}

// ReadInstanceStartup reads a message encoded by AppendStartup.
func (Codec) ReadInstanceStartup(r *bufio.Reader) (table.GroupName, table.InstanceID, error) {
	m, err := read(r)
	return m.Group, m.Instance, err
}

// ReadStatement implements stmt.CallerCodec.
func (c Codec) ReadStatement(r *bufio.Reader) (stmt.Statement, error) {
	s, _, err := c.ReadInstanceStatement(r)
	return s, err
}

// ReadInstanceStatement reads a message encoded by AppendStatement.
func (Codec) ReadInstanceStatement(r *bufio.Reader) (stmt.Statement, *table.Mark, error) {
	m, err := read(r)
	if err != nil || m.Statement == nil {
		return stmt.Statement{}, nil, fmt.Errorf("read statement: %w", err)
	}
	return *m.Statement, m.Floor, nil
}

// AppendAnswer implements stmt.CallerCodec.
func (Codec) AppendAnswer(dst []byte, a *stmt.Answer) []byte {
	return appendMessage(dst, message{Answer: a})
}

// AppendRefusal implements stmt.CallerCodec.
func (c Codec) AppendRefusal(dst []byte, code stmt.Code, text string) []byte {
	return c.AppendAnswer(dst, &stmt.Answer{Code: code, Text: text})
}

// AppendStartupReply implements stmt.CallerCodec.
func (c Codec) AppendStartupReply(dst []byte) []byte {
	return c.AppendAnswer(dst, &stmt.Answer{TxStatus: request.TxIdle})
}
