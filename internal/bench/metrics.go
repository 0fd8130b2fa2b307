package bench

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/amaranthweir/amaranthweir/internal/api"
)

// ReadsByRole sums the answered reads of several hosts by the role of the instance
// that served them. The addresses are the HTTP addresses of the hosts.
func ReadsByRole(ctx context.Context, addresses []string) (map[string]int, error) {
	sum := map[string]int{}
	for _, address := range addresses {
		if err := addHostReads(ctx, sum, address); err != nil {
			return nil, fmt.Errorf("metrics of %s: %w", address, err)
		}
	}
	return sum, nil
}

// addHostReads fetches the metrics of one host and adds its reads to sum.
func addHostReads(ctx context.Context, sum map[string]int, address string) (err error) {
	ctx, stop := context.WithTimeout(ctx, apiTimeout)
	defer stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+api.PathMetrics, nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, resp.Body.Close()) }()
	if resp.StatusCode != http.StatusOK {
		return errors.New(resp.Status)
	}
	return addReads(sum, resp.Body)
}

// addReads adds the values of amaranthweir_reads_total on a metrics page to sum,
// by role.
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
