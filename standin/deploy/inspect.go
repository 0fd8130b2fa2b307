package deploy

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/jackc/pgx/v5"

	"github.com/amaranthweir/amaranthweir/internal/api"
	"github.com/amaranthweir/amaranthweir/internal/bench/ledger"
	"github.com/amaranthweir/amaranthweir/standin"
)

// Settled waits until every host is ready and every group has a primary that
// accepts writes.
func (c *Cluster) Settled(ctx context.Context) error {
	return c.until(ctx, "every host and every group is ready", func(ctx context.Context) error {
		for _, h := range c.Hosts {
			if err := getReady(ctx, h); err != nil {
				return err
			}
		}
		st, err := c.Hosts[0].API.Status(ctx)
		if err != nil {
			return err
		}
		for _, group := range c.Groups {
			if _, err := primaryIn(st, group); err != nil {
				return err
			}
		}
		return errors.Join(c.allOwned(st), c.inForceEverywhere(st))
	})
}

func getReady(ctx context.Context, h Host) error {
	body, err := request(ctx, http.MethodGet, "http://"+h.HTTP+api.PathReady)
	if err != nil {
		return fmt.Errorf("%s: %w", h.Name, err)
	}
	return body.Close()
}

// inForceEverywhere checks that every host has the document in force.
func (c *Cluster) inForceEverywhere(st api.Status) error {
	for _, d := range st.Documents {
		if d.Service != c.Service {
			continue
		}
		count := 0
		for _, h := range d.InForce {
			if h.Version == d.Version {
				count++
			}
		}
		if count < c.Config.Hosts {
			return fmt.Errorf("the document is in force at %d of %d hosts", count, c.Config.Hosts)
		}
		return nil
	}
	return errors.New("the document is not known yet")
}

// InForce reports whether every host has that version of the document in
// force.
func (c *Cluster) InForce(ctx context.Context, version uint64) bool {
	st, err := c.Hosts[0].API.Status(ctx)
	if err != nil || c.inForceEverywhere(st) != nil {
		return false
	}
	return slices.ContainsFunc(st.Documents, func(d api.DocumentStatus) bool {
		return d.Service == c.Service && d.Version == version
	})
}

// allOwned checks that every instance that runs has an owner.
func (c *Cluster) allOwned(st api.Status) error {
	owned := 0
	for _, in := range st.Instances {
		if in.Owner != "" {
			owned++
		}
	}
	running := len(c.processes) - len(c.Hosts)
	if owned < running {
		return fmt.Errorf("%d of %d instances have an owner", owned, running)
	}
	return nil
}

// primaryIn returns the instance that is the primary of a group.
func primaryIn(st api.Status, group string) (api.InstanceStatus, error) {
	for _, g := range st.Groups {
		if string(g.Group) != group || g.Phase != "stable" || g.Primary == "" {
			continue
		}
		for _, in := range st.Instances {
			if in.Instance == g.Primary && in.Role == "primary" {
				return in, nil
			}
		}
	}
	return api.InstanceStatus{}, fmt.Errorf("group %s has no primary", group)
}

// PrimaryOf returns the primary of a group.
func (c *Cluster) PrimaryOf(ctx context.Context, group string) (api.InstanceStatus, error) {
	st, err := c.Hosts[0].API.Status(ctx)
	if err != nil {
		return api.InstanceStatus{}, err
	}
	return primaryIn(st, group)
}

// Key is a routing key and the group that it selects.
type Key struct{ Name, Group string }

// Keys finds routing keys of a class, so many in each group that runs here.
// The document may have more groups.
func (c *Cluster) Keys(ctx context.Context, class, prefix string, perGroup int) ([]Key, error) {
	found := map[string]int{}
	var list []Key
	for i := 0; len(list) < perGroup*len(c.Groups); i++ {
		name := prefix + strconv.Itoa(i)
		x, err := c.Hosts[0].API.Explain(ctx, api.ExplainQuery{Service: c.Service, Class: class, Key: name})
		if err != nil {
			return nil, err
		}
		group := string(x.Group)
		if !slices.Contains(c.Groups, group) || found[group] == perGroup {
			continue
		}
		found[group]++
		list = append(list, Key{name, group})
	}
	return list, nil
}

// Rows counts, at each group's primary itself, the rows of tables.
func (c *Cluster) Rows(ctx context.Context, tables ...string) (map[ledger.Row]int, error) {
	st, err := c.Hosts[0].API.Status(ctx)
	if err != nil {
		return nil, err
	}
	rows := map[ledger.Row]int{}
	for _, group := range c.Groups {
		in, err := primaryIn(st, group)
		if err != nil {
			return nil, err
		}
		if err := c.readGroup(ctx, rows, group, in.Address, tables); err != nil {
			return nil, err
		}
	}
	return rows, nil
}

// readGroup adds the rows of the instance at address.
func (c *Cluster) readGroup(ctx context.Context, rows map[ledger.Row]int, group, address string, tables []string) error {
	conn, err := c.Direct(ctx, address)
	if err != nil {
		return err
	}
	defer conn.Close(ctx)
	for _, table := range tables {
		keys, err := readKeys(ctx, conn, table)
		if err != nil {
			return err
		}
		for _, key := range keys {
			rows[ledger.Row{Group: group, Table: table, Key: key}]++
		}
	}
	return nil
}

// Direct connects to an instance itself, past the system.
func (c *Cluster) Direct(ctx context.Context, address string) (*pgx.Conn, error) {
	return pgx.Connect(ctx, "postgres://demo@"+address+"/"+c.Service+
		"?sslmode=disable&default_query_exec_mode=exec&application_name="+standin.PlatformName)
}

func readKeys(ctx context.Context, conn *pgx.Conn, table string) ([]string, error) {
	result, err := conn.Query(ctx, "SELECT key FROM "+table)
	if err != nil {
		return nil, err
	}
	return pgx.CollectRows(result, pgx.RowTo[string])
}

// HTTPAddresses returns those of all hosts.
func (c *Cluster) HTTPAddresses() []string {
	var list []string
	for _, h := range c.Hosts {
		list = append(list, h.HTTP)
	}
	return list
}

// request sends a request without a body and returns the body of its answer.
func request(ctx context.Context, method, url string) (io.ReadCloser, error) {
	ctx, stop := context.WithTimeout(ctx, apiTimeout)
	req, err := http.NewRequestWithContext(ctx, method, url, nil)
	if err != nil {
		stop()
		return nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		stop()
		return nil, err
	}
	if resp.StatusCode/100 != 2 {
		stop()
		return nil, errors.Join(fmt.Errorf("%s: %s", url, resp.Status), resp.Body.Close())
	}
	return &body{resp.Body, stop}, nil
}

// body ends its request when it is closed.
type body struct {
	io.ReadCloser
	stop context.CancelFunc
}

// Close implements io.Closer.
func (b *body) Close() error {
	defer b.stop()
	return b.ReadCloser.Close()
}

// Pause waits for d or until ctx ends.
func Pause(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
