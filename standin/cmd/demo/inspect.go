package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/jackc/pgx/v5"

	"github.com/amaranthweir/amaranthweir/internal/api"
	"github.com/amaranthweir/amaranthweir/standin"
)

// yardsPerGroup is how many yards the load uses in each group.
const yardsPerGroup = 6

// settled waits until every host is ready and every group has a primary that
// accepts writes.
func (c *cluster) settled(ctx context.Context) error {
	return c.until(ctx, "every host and every group is ready", func(ctx context.Context) error {
		for _, h := range c.hosts {
			if err := getReady(ctx, h); err != nil {
				return err
			}
		}
		st, err := c.hosts[0].api.Status(ctx)
		if err != nil {
			return err
		}
		for _, group := range groups {
			if _, err := primaryIn(st, group); err != nil {
				return err
			}
		}
		return errors.Join(c.allOwned(st), inForceEverywhere(st))
	})
}

func getReady(ctx context.Context, h host) error {
	body, err := request(ctx, http.MethodGet, "http://"+h.http+api.PathReady)
	if err != nil {
		return fmt.Errorf("%s: %w", h.name, err)
	}
	return body.Close()
}

// inForceEverywhere checks that every host has the document in force.
func inForceEverywhere(st api.Status) error {
	for _, d := range st.Documents {
		if d.Service != service {
			continue
		}
		count := 0
		for _, h := range d.InForce {
			if h.Version == d.Version {
				count++
			}
		}
		if count < hostCount {
			return fmt.Errorf("the document is in force at %d of %d hosts", count, hostCount)
		}
		return nil
	}
	return errors.New("the document is not known yet")
}

// allOwned checks that every instance that runs has an owner.
func (c *cluster) allOwned(st api.Status) error {
	owned := 0
	for _, in := range st.Instances {
		if in.Owner != "" {
			owned++
		}
	}
	running := len(c.processes) - len(c.hosts)
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

func (c *cluster) primaryOf(ctx context.Context, group string) (string, error) {
	st, err := c.hosts[0].api.Status(ctx)
	if err != nil {
		return "", err
	}
	in, err := primaryIn(st, group)
	return string(in.Instance), err
}

// yard is a weighbridge yard. Its name is the key that selects the group.
type yard struct{ name, group string }

// yards finds yards whose group runs here. The document may have more groups.
func (c *cluster) yards(ctx context.Context) ([]yard, error) {
	found := map[string]int{}
	var list []yard
	for i := 0; len(list) < yardsPerGroup*len(groups); i++ {
		name := "yard-" + strconv.Itoa(i)
		x, err := c.hosts[0].api.Explain(ctx, api.ExplainQuery{Service: service, Class: classTicket, Key: name})
		if err != nil {
			return nil, err
		}
		group := string(x.Group)
		if !strings.Contains(strings.Join(groups, " "), group) || found[group] == yardsPerGroup {
			continue
		}
		found[group]++
		list = append(list, yard{name, group})
	}
	return list, nil
}

// row names a row that is in a group.
type row struct{ group, table, key string }

// rows reads, from each group's primary itself, what the load has written.
func (c *cluster) rows(ctx context.Context) (map[row]bool, error) {
	st, err := c.hosts[0].api.Status(ctx)
	if err != nil {
		return nil, err
	}
	rows := map[row]bool{}
	for _, group := range groups {
		in, err := primaryIn(st, group)
		if err != nil {
			return nil, err
		}
		if err := readGroup(ctx, rows, group, in.Address); err != nil {
			return nil, err
		}
	}
	return rows, nil
}

// readGroup adds the rows of the instance at address.
func readGroup(ctx context.Context, rows map[row]bool, group, address string) error {
	conn, err := pgx.Connect(ctx, "postgres://demo@"+address+"/"+service+"?sslmode=disable&application_name="+standin.PlatformName)
	if err != nil {
		return err
	}
	defer conn.Close(ctx)
	for _, table := range []string{tickets, settlements} {
		keys, err := readKeys(ctx, conn, table)
		if err != nil {
			return err
		}
		for _, key := range keys {
			rows[row{group, table, key}] = true
		}
	}
	return nil
}

func readKeys(ctx context.Context, conn *pgx.Conn, table string) ([]string, error) {
	result, err := conn.Query(ctx, "SELECT key FROM "+table)
	if err != nil {
		return nil, err
	}
	return pgx.CollectRows(result, pgx.RowTo[string])
}

// readsByRole adds up the reads of all hosts by the role of the instance that
// served them.
func (c *cluster) readsByRole(ctx context.Context) (map[string]int, error) {
	sum := map[string]int{}
	for _, h := range c.hosts {
		body, err := request(ctx, http.MethodGet, "http://"+h.http+api.PathMetrics)
		if err != nil {
			return nil, err
		}
		err = addReads(sum, body)
		if err := errors.Join(err, body.Close()); err != nil {
			return nil, err
		}
	}
	return sum, nil
}

// addReads adds the counter amaranthweir_reads_total of a metrics page to sum.
func addReads(sum map[string]int, page io.Reader) error {
	lines := bufio.NewScanner(page)
	for lines.Scan() {
		text, ok := strings.CutPrefix(lines.Text(), `amaranthweir_reads_total{role="`)
		if !ok {
			continue
		}
		role, number, _ := strings.Cut(text, `"} `)
		n, err := strconv.ParseFloat(number, 64)
		if err != nil {
			return err
		}
		sum[role] += int(n)
	}
	return lines.Err()
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
