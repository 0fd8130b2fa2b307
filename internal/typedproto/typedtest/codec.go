// Package typedtest provides a codec for tests in which each message is one line of
// JSON. It implements both sides of the protocols with callers and instances.
package typedtest

import (
	"bufio"
	"encoding/json"
	"fmt"

	"github.com/amaranthweir/amaranthweir/internal/request"
	"github.com/amaranthweir/amaranthweir/internal/table"
	"github.com/amaranthweir/amaranthweir/internal/typedproto"
)

// Codec implements typedproto.UpstreamCodec, typedproto.CallerCodec and the codec of the
// stand-in instances.
type Codec struct{}

// message holds the fields of all messages; each message uses some of them.
type message struct {
	Group     table.GroupName       `json:",omitempty"`
	Instance  table.InstanceID      `json:",omitempty"`
	Statement *typedproto.Statement `json:",omitempty"`
	Floor     *table.Mark           `json:",omitempty"`
	Answer    *typedproto.Answer    `json:",omitempty"`
	End       bool                  `json:",omitempty"`
	Workspace string                `json:",omitempty"`
	Key       string                `json:",omitempty"`
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

// AppendStartup implements typedproto.UpstreamCodec.
func (Codec) AppendStartup(dst []byte, s typedproto.InstanceStartup) ([]byte, error) {
	return appendMessage(dst, message{Group: s.Group, Instance: s.Instance, Workspace: s.Workspace}), nil
}

// AppendStatement implements typedproto.UpstreamCodec.
func (Codec) AppendStatement(dst []byte, s *typedproto.Statement, floor *table.Mark) ([]byte, error) {
	return appendMessage(dst, message{Statement: s, Floor: floor}), nil
}

// AppendTerminate implements typedproto.UpstreamCodec.
func (Codec) AppendTerminate(dst []byte) []byte { return appendMessage(dst, message{End: true}) }

// ReadAnswer implements typedproto.UpstreamCodec.
func (Codec) ReadAnswer(r *bufio.Reader) (typedproto.Answer, error) {
	m, err := read(r)
	if err != nil || m.Answer == nil {
		return typedproto.Answer{}, fmt.Errorf("read answer: %w", err)
	}
	return *m.Answer, nil
}

// ParseState implements typedproto.UpstreamCodec.
func (Codec) ParseState(row string) (typedproto.State, error) {
	var s typedproto.State
	return s, json.Unmarshal([]byte(row), &s)
}

// AppendState returns the encoding of s that ParseState reads.
func (Codec) AppendState(s typedproto.State) string {
	row, err := json.Marshal(s)
	if err != nil {
		panic(err) // all fields are encodable
	}
	return string(row)
}

// ReadStartup implements typedproto.CallerCodec.
func (Codec) ReadStartup(r *bufio.Reader) (typedproto.CallerStartup, error) {
	m, err := read(r)
	return typedproto.CallerStartup{Database: string(m.Group), Key: m.Key}, err
}

// ReadInstanceStartup reads a message encoded by AppendStartup.
func (Codec) ReadInstanceStartup(r *bufio.Reader) (typedproto.InstanceStartup, error) {
	m, err := read(r)
	return typedproto.InstanceStartup{Group: m.Group, Workspace: m.Workspace, Instance: m.Instance}, err
}

// ReadStatement implements typedproto.CallerCodec.
func (c Codec) ReadStatement(r *bufio.Reader) (typedproto.Statement, error) {
	s, _, err := c.ReadInstanceStatement(r)
	return s, err
}

// ReadInstanceStatement reads a message encoded by AppendStatement.
func (Codec) ReadInstanceStatement(r *bufio.Reader) (typedproto.Statement, *table.Mark, error) {
	m, err := read(r)
	if err != nil || m.Statement == nil {
		return typedproto.Statement{}, nil, fmt.Errorf("read statement: %w", err)
	}
	return *m.Statement, m.Floor, nil
}

// AppendAnswer implements typedproto.CallerCodec.
func (Codec) AppendAnswer(dst []byte, a *typedproto.Answer) []byte {
	return appendMessage(dst, message{Answer: a})
}

// AppendRefusal implements typedproto.CallerCodec.
func (c Codec) AppendRefusal(dst []byte, code typedproto.Code, text string) []byte {
	return c.AppendAnswer(dst, &typedproto.Answer{Code: code, Text: text})
}

// AppendStartupReply implements typedproto.CallerCodec.
func (c Codec) AppendStartupReply(dst []byte) []byte {
	return c.AppendAnswer(dst, &typedproto.Answer{TxStatus: request.TxIdle})
}
