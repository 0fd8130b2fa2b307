package main

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/jackc/pgx/v5"

	"github.com/amaranthweir/amaranthweir/internal/bench/ledger"
	"github.com/amaranthweir/amaranthweir/standin/deploy"
)

const (
	// probeClass is a class of the document that writes and is not repeatable.
	probeClass = "settlement"
	probeTable = "settlements"
	// probesPerGroup is how many writers a group has, each at another host.
	probesPerGroup = 4
	// probePause is the pause of a writer between two writes.
	probePause = 5 * time.Millisecond
	// probeTimeout is when a writer turns to another host.
	probeTimeout = 4 * time.Second
)

// probe writes to every group all the time and keeps what was acknowledged.
type probe struct {
	cluster *deploy.Cluster
	ledger  *ledger.Ledger
	begin   time.Time
	end     context.CancelFunc
	writers sync.WaitGroup
}

func startProbe(ctx context.Context, c *deploy.Cluster, keys []deploy.Key) *probe {
	ctx, end := context.WithCancel(ctx)
	p := &probe{cluster: c, ledger: ledger.New(), begin: time.Now(), end: end}
	for i, key := range keys {
		for j := range probesPerGroup {
			number := i*probesPerGroup + j
			p.writers.Go(func() { p.write(ctx, number, key) })
		}
	}
	return p
}

func (p *probe) stop() {
	p.end()
	p.writers.Wait()
}

func (p *probe) since() time.Duration { return time.Since(p.begin) }

// write is one writer. After an error it goes on at another host.
func (p *probe) write(ctx context.Context, number int, key deploy.Key) {
	var conn *pgx.Conn
	host := number
	for n := 0; ctx.Err() == nil; n++ {
		row := ledger.Row{Group: key.Group, Table: probeTable, Key: fmt.Sprintf("%d-%d", number, n)}
		r := ledger.Record{Class: probeClass, Session: number, Row: row, Intended: p.since(), Begin: p.since()}
		err := p.insert(&conn, host, r.Row, key)
		r.End, r.Outcome = p.since(), ledger.OutcomeOf(err)
		if conn == nil {
			p.ledger.Refused("connect: " + r.Outcome.Kind)
		} else {
			p.ledger.Add(r)
		}
		if err != nil && conn != nil {
			closeConn(conn)
			conn = nil
		}
		if err != nil {
			host++
		}
		_ = deploy.Pause(ctx, probePause) // the loop sees the end
	}
	if conn != nil {
		closeConn(conn)
	}
}

// insert connects if needed and inserts one row. It runs to its end also when
// the measurement ends.
func (p *probe) insert(conn **pgx.Conn, host int, row ledger.Row, key deploy.Key) error {
	ctx, stop := context.WithTimeout(context.Background(), probeTimeout)
	defer stop()
	if *conn == nil {
		h := p.cluster.Hosts[host%len(p.cluster.Hosts)]
		c, err := pgx.Connect(ctx, "postgres://probe@"+h.Caller+"/"+p.cluster.Service+"?sslmode=disable&default_query_exec_mode=exec&connect_timeout=1")
		if err != nil {
			return err
		}
		*conn = c
	}
	query := fmt.Sprintf("/* class=%s key=%s request_id=%s */ INSERT INTO %s (key, value) VALUES ($1, $2)", probeClass, key.Name, row.Key, probeTable)
	_, err := (*conn).Exec(ctx, query, row.Key, "1")
	return err
}

func closeConn(conn *pgx.Conn) {
	ctx, stop := context.WithTimeout(context.Background(), time.Second)
	defer stop()
	_ = conn.Close(ctx) // it may be broken
}

// nextAcknowledgement waits for the first acknowledgement of a write of the
// group that was sent after begin, and returns the time from begin to it.
func (p *probe) nextAcknowledgement(ctx context.Context, begin time.Duration, group string) (time.Duration, error) {
	ctx, stop := context.WithTimeout(ctx, faultTimeout)
	defer stop()
	for {
		if err := deploy.Pause(ctx, 10*watchInterval); err != nil {
			return 0, fmt.Errorf("no write of %s was acknowledged within %v", group, faultTimeout)
		}
		if gap, found := p.ledger.History(nil).GapAfter(begin, group); found {
			return gap, nil
		}
	}
}

// window returns the longest gap in the group's acknowledged writes since
// begin, and how many of its writes failed.
func (p *probe) window(begin time.Duration, group string) (gap time.Duration, failed int) {
	h := p.ledger.History(nil)
	h.Records = slices.DeleteFunc(slices.Clone(h.Records), func(r ledger.Record) bool {
		return r.Row.Group != group || r.End < begin
	})
	for _, r := range h.Records {
		if !r.Outcome.OK() {
			failed++
		}
	}
	return h.LongestGaps(0)[group], failed
}
