package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"strings"
	"time"
)

// client is a caller with one session.
type client struct {
	conn net.Conn
	r    *bufio.Reader
}

func dialClient(address, database string) (*client, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	cl := &client{conn: c, r: bufio.NewReader(c)}
	_ = c.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := fmt.Fprintf(c, "STARTUP %s u\r\n", database); err != nil {
		return nil, errors.Join(err, c.Close())
	}
	line, err := cl.line()
	if err == nil && !strings.HasPrefix(line, "READY") {
		err = errors.New(line)
	}
	if err != nil {
		return nil, errors.Join(err, c.Close())
	}
	return cl, nil
}

func (c *client) close() { _ = c.conn.Close() }

func (c *client) line() (string, error) {
	line, err := c.r.ReadString('\n')
	return strings.TrimSuffix(line, "\r\n"), err
}

// reply is the answer to a statement.
type reply struct {
	rows      []string
	signature string
	failure   string // code and text
	state     string
}

func (r *reply) ok() bool { return r.failure == "" }

func (c *client) exec(id, text string, limit time.Duration) (*reply, error) {
	_ = c.conn.SetDeadline(time.Now().Add(limit))
	if _, err := fmt.Fprintf(c.conn, "QUERY %s %s\r\n", id, text); err != nil {
		return nil, err
	}
	out := &reply{}
	for {
		line, err := c.line()
		if err != nil {
			return nil, err
		}
		kind, rest, _ := strings.Cut(line, " ")
		switch kind {
		case "DATAROW":
			out.rows = append(out.rows, rest)
		case "COMPLETE":
			out.signature = rest
		case "ERROR":
			out.failure = rest
		case "READY":
			out.state, _, _ = strings.Cut(rest, " ")
			return out, nil
		}
	}
}
