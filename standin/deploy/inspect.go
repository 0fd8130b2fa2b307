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

// WaitReady waits until every host is ready and has the document in force, every
// group has a stable primary, and every running instance has an owner.
func (c *Cluster) WaitReady(ctx context.Context) error {
	return c.retry(ctx, "every host and every group is ready", func(ctx context.Context) error {
		for _, h := range c.Hosts {
			if err := checkReady(ctx, h); err != nil {
				return err
			}
		}
		st, err := c.Hosts[0].API.Status(ctx)
		if err != nil {
			return err
		}
		for _, group := range c.Groups {
			if _, err := findPrimary(st, group); err != nil {
				return err
			}
		}
		return errors.Join(c.checkOwners(st), c.checkInForce(st))
	})
}

func checkReady(ctx context.Context, h Host) error {
	body, err := request(ctx, http.MethodGet, "http://"+h.HTTPAddress+api.PathReady)
	if err != nil {
		return fmt.Errorf("%s: %w", h.Name, err)
	}
	return body.Close()
}

// checkInForce returns an error unless every host has the document in force.
func (c *Cluster) checkInForce(st api.Status) error {
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
	return errors.New("the hosts do not know the document yet")
}

// InForce reports whether every host has the given version of the document in
// force.
func (c *Cluster) InForce(ctx context.Context, version uint64) bool {
	st, err := c.Hosts[0].API.Status(ctx)
	if err != nil || c.checkInForce(st) != nil {
		return false
	}
	return slices.ContainsFunc(st.Documents, func(d api.DocumentStatus) bool {
		return d.Service == c.Service && d.Version == version
	})
}

// checkOwners returns an error unless every running instance has an owner.
func (c *Cluster) checkOwners(st api.Status) error {
	owned := 0
	for _, in := range st.Instances {
		if in.Owner != "" {
			owned++
		}
	}
	running := len(c.ProcessIDs()) - len(c.Hosts)
	if owned < running {
		return fmt.Errorf("%d of %d instances have an owner", owned, running)
	}
	return nil
}

// findPrimary returns the primary of a group according to st, or an error if the
// group is not stable.
func findPrimary(st api.Status, group string) (api.InstanceStatus, error) {
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

// PrimaryOf returns the current primary of a group.
func (c *Cluster) PrimaryOf(ctx context.Context, group string) (api.InstanceStatus, error) {
	st, err := c.Hosts[0].API.Status(ctx)
	if err != nil {
		return api.InstanceStatus{}, err
	}
	return findPrimary(st, group)
}

// RoutingKey is a routing key and the group to which it routes.
type RoutingKey struct{ Name, Group string }

// RoutingKeys returns perGroup routing keys of a class for each group of the
// deployment. It tries prefix0, prefix1 and so on, and skips keys of groups that the
// document has but the deployment does not run.
func (c *Cluster) RoutingKeys(ctx context.Context, class, prefix string, perGroup int) ([]RoutingKey, error) {
	found := map[string]int{}
	var list []RoutingKey
	for i := 0; len(list) < perGroup*len(c.Groups); i++ {
		name := prefix + strconv.Itoa(i)
		explained, err := c.Hosts[0].API.Explain(ctx, api.ExplainQuery{Service: c.Service, Class: class, Key: name})
		if err != nil {
			return nil, err
		}
		group := string(explained.Group)
		if !slices.Contains(c.Groups, group) || found[group] == perGroup {
			continue
		}
		found[group]++
		list = append(list, RoutingKey{name, group})
	}
	return list, nil
}

// Rows returns how often each row of tables exists. It reads the rows from the
// primary of each group directly, not through the proxy.
func (c *Cluster) Rows(ctx context.Context, tables ...string) (map[ledger.Row]int, error) {
	st, err := c.Hosts[0].API.Status(ctx)
	if err != nil {
		return nil, err
	}
	rows := map[ledger.Row]int{}
	for _, group := range c.Groups {
		in, err := findPrimary(st, group)
		if err != nil {
			return nil, err
		}
		if err := c.addGroupRows(ctx, rows, group, in.Address, tables); err != nil {
			return nil, err
		}
	}
	return rows, nil
}

// addGroupRows adds the rows of the tables of the instance at address to rows.
func (c *Cluster) addGroupRows(ctx context.Context, rows map[ledger.Row]int, group, address string, tables []string) error {
	conn, err := c.ConnectDirect(ctx, address)
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

// ConnectDirect connects to an instance directly, not through the proxy.
func (c *Cluster) ConnectDirect(ctx context.Context, address string) (*pgx.Conn, error) {
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

// SessionKeys returns the keys that sign the session tokens, in hexadecimal.
func (c *Cluster) SessionKeys() []string { return []string{c.key} }

// HTTPAddresses returns the HTTP addresses of all hosts.
func (c *Cluster) HTTPAddresses() []string {
	var list []string
	for _, h := range c.Hosts {
		list = append(list, h.HTTPAddress)
	}
	return list
}

// request sends a request without a body and returns the body of the response. It
// returns an error for a status other than 2xx.
func request(ctx context.Context, method, url string) (io.ReadCloser, error) {
	ctx, cancel := context.WithTimeout(ctx, apiTimeout)
	req, err := http.NewRequestWithContext(ctx, method, url, nil)
	if err != nil {
		cancel()
		return nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		cancel()
		return nil, err
	}
	if resp.StatusCode/100 != 2 {
		cancel()
		return nil, errors.Join(fmt.Errorf("%s: %s", url, resp.Status), resp.Body.Close())
	}
	return &body{resp.Body, cancel}, nil
}

// body is a response body that cancels the context of its request when it is
// closed.
type body struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close implements io.Closer.
func (b *body) Close() error {
	defer b.cancel()
	return b.ReadCloser.Close()
}

// Sleep waits for d. It returns the error of ctx if ctx ends first.
func Sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
