// Command capacity reads measured slopes (cost per unit of size or rate) as JSON
// lines from standard input, prints them, and prints tables of the load that they
// imply for each mechanism. It ignores lines that are not JSON objects.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/amaranthweir/amaranthweir/internal/capacity"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(in io.Reader, out io.Writer) error {
	slopes, err := read(in, out)
	if err != nil {
		return err
	}
	if missing := slopes.Missing(); len(missing) > 0 {
		return fmt.Errorf("not measured: %s", strings.Join(missing, ", "))
	}
	sizes := capacity.ExpectedSizes()
	designs := []struct {
		title  string
		design capacity.Design
	}{
		{"whole tables", capacity.InitialDesign()},
		{"as built", capacity.CurrentDesign()},
		{"as proposed", capacity.ProposedDesign()},
	}
	for _, d := range designs {
		if err := printTable(out, d.title, capacity.Estimate(slopes, sizes, d.design)); err != nil {
			return err
		}
	}
	return nil
}

// read returns the slopes by name and prints the JSON line of each.
func read(in io.Reader, out io.Writer) (capacity.Figures, error) {
	slopes := capacity.Figures{}
	lines := bufio.NewScanner(in)
	for lines.Scan() {
		var f capacity.Figure
		if !strings.HasPrefix(lines.Text(), "{") || json.Unmarshal(lines.Bytes(), &f) != nil {
			continue
		}
		slopes[f.Name] = f.Value
		if _, err := fmt.Fprintln(out, lines.Text()); err != nil {
			return nil, err
		}
	}
	return slopes, lines.Err()
}

func printTable(out io.Writer, title string, rows []capacity.Cost) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "\n%s\trole\tkB/s\t%% of a core\tMB\n", title)
	for _, r := range rows {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", r.Mechanism, r.Role, number(r.BytesPerSecond/1e3), number(r.CorePercent), number(r.MemoryBytes/1e6))
	}
	sum := capacity.ControlTotal(rows)
	fmt.Fprintf(w, "control of a host that serves callers\tsum\t%s\t%s\t%s\n", number(sum.BytesPerSecond/1e3), number(sum.CorePercent), number(sum.MemoryBytes/1e6))
	limits := capacity.ControlLimits()
	fmt.Fprintf(w, "limit\t\t%s\t%s\t%s\n", number(limits.BytesPerSecond/1e3), number(limits.CorePercent), number(limits.MemoryBytes/1e6))
	return w.Flush()
}

// number formats v with three significant digits.
func number(v float64) string {
	if v >= 100 {
		return fmt.Sprintf("%.0f", v)
	}
	return fmt.Sprintf("%.3g", v)
}
