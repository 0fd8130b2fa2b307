package main

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/jackc/pgx/v5"
)

// warmUp is the number of unmeasured statements on each connection at the start.
const warmUp = 200

// measureLatency compares the latency of a statement sent directly to the stand-in,
// through the host that owns it, and through another host. The connections take
// turns, so that other load on the machine affects all of them alike.
func (m *measurement) measureLatency(ctx context.Context) error {
	keys, err := m.cluster.RoutingKeys(ctx, "booking-lookup", "latency-", 1)
	if err != nil {
		return err
	}
	in, err := m.cluster.PrimaryOf(ctx, keys[0].Group)
	if err != nil {
		return err
	}
	owner, other := "", ""
	for _, h := range m.cluster.Hosts {
		if h.Name == string(in.Owner) {
			owner = h.CallerAddress
		} else {
			other = h.CallerAddress
		}
	}
	direct, err := m.cluster.ConnectDirect(ctx, in.Address)
	if err != nil {
		return err
	}
	conns := []*pgx.Conn{direct}
	for _, address := range []string{owner, other} {
		conn, err := pgx.Connect(ctx, "postgres://probe@"+address+"/"+m.cluster.Service+"?sslmode=disable&default_query_exec_mode=exec")
		if err != nil {
			return err
		}
		conns = append(conns, conn)
	}
	query := "/* class=booking-lookup key=" + keys[0].Name + " */ SELECT value FROM latency WHERE key = $1"
	took, err := interleave(ctx, conns, m.flags.Statements, query)
	for _, conn := range conns {
		err = errors.Join(err, conn.Close(ctx))
	}
	if err != nil {
		return err
	}
	median := func(i int) float64 { return float64(percentile(took[i], percentileMedian)) / float64(time.Microsecond) }
	return m.out.add(
		unbounded("process_statement_direct_median", median(0), "us"),
		atMost("process_statement_added_by_owner_median", median(1)-median(0), boundOwnerMicros, "us"),
		atMost("process_statement_added_over_one_hop_median", median(2)-median(0), boundOneHopMicros, "us"),
	)
}

// interleave sends the query over each connection in turn, count times after the
// warm-up, and returns the latencies by connection.
func interleave(ctx context.Context, conns []*pgx.Conn, count int, query string) ([][]time.Duration, error) {
	latencies := make([][]time.Duration, len(conns))
	for n := range warmUp + count {
		for i, conn := range conns {
			begin := time.Now()
			if _, err := conn.Exec(ctx, query, "none"); err != nil {
				return nil, fmt.Errorf("connection %d: %w", i, err)
			}
			if n >= warmUp {
				latencies[i] = append(latencies[i], time.Since(begin))
			}
		}
	}
	return latencies, nil
}
