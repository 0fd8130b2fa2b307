package main

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/jackc/pgx/v5"
)

// warmUp is how many statements go first without being measured.
const warmUp = 200

// latency compares the time of a statement at the stand-in itself, through the
// host that owns it, and through another host. The ways take turns, so that
// what else the machine does meets them alike.
func (m *measurement) latency(ctx context.Context) error {
	keys, err := m.cluster.Keys(ctx, "booking-lookup", "latency-", 1)
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
			owner = h.Caller
		} else {
			other = h.Caller
		}
	}
	direct, err := m.cluster.ConnectDirect(ctx, in.Address)
	if err != nil {
		return err
	}
	ways := []*pgx.Conn{direct}
	for _, address := range []string{owner, other} {
		conn, err := pgx.Connect(ctx, "postgres://probe@"+address+"/"+m.cluster.Service+"?sslmode=disable&default_query_exec_mode=exec")
		if err != nil {
			return err
		}
		ways = append(ways, conn)
	}
	query := "/* class=booking-lookup key=" + keys[0].Name + " */ SELECT value FROM latency WHERE key = $1"
	took, err := takeTurns(ctx, ways, m.flags.Statements, query)
	for _, conn := range ways {
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

// takeTurns sends the query over each connection in turn, and returns the
// times of each.
func takeTurns(ctx context.Context, ways []*pgx.Conn, count int, query string) ([][]time.Duration, error) {
	took := make([][]time.Duration, len(ways))
	for n := range warmUp + count {
		for i, conn := range ways {
			begin := time.Now()
			if _, err := conn.Exec(ctx, query, "none"); err != nil {
				return nil, fmt.Errorf("way %d: %w", i, err)
			}
			if n >= warmUp {
				took[i] = append(took[i], time.Since(begin))
			}
		}
	}
	return took, nil
}
