package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
)

// figure is a measured value, printed as a JSON line. Bound is empty for a value
// that is printed for comparison only.
type figure struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Unit  string  `json:"unit"`
	Bound string  `json:"bound,omitempty"`
	Pass  bool    `json:"pass"`
}

// UnmarshalJSON accepts the bound as text such as ">= 0.95", or as a number, which
// is an upper bound.
func (f *figure) UnmarshalJSON(data []byte) error {
	type plain figure
	var raw struct {
		plain
		Bound json.RawMessage `json:"bound"`
	}
	if err := json.Unmarshal(data, &raw); err != nil {
		return err
	}
	*f = figure(raw.plain)
	if len(raw.Bound) == 0 {
		return nil
	}
	if raw.Bound[0] == '"' {
		return json.Unmarshal(raw.Bound, &f.Bound)
	}
	f.Bound = "<= " + string(raw.Bound)
	return nil
}

func atMost(name string, value, bound float64, unit string) figure {
	return figure{name, value, unit, "<= " + number(bound), value <= bound}
}

func atLeast(name string, value, bound float64, unit string) figure {
	return figure{name, value, unit, ">= " + number(bound), value >= bound}
}

func unbounded(name string, value float64, unit string) figure {
	return figure{Name: name, Value: value, Unit: unit, Pass: true}
}

func number(v float64) string { return strconv.FormatFloat(v, 'g', -1, 64) }

// writer writes figures as JSON lines and collects them.
type writer struct {
	out     io.Writer
	figures []figure
}

func (w *writer) add(figures ...figure) error {
	enc := json.NewEncoder(w.out)
	enc.SetEscapeHTML(false)
	for _, f := range figures {
		if err := enc.Encode(f); err != nil {
			return err
		}
		w.figures = append(w.figures, f)
	}
	return nil
}

// countFailed returns the number of figures that do not meet their bound.
func (w *writer) countFailed() int {
	n := 0
	for _, f := range w.figures {
		if !f.Pass {
			n++
		}
	}
	return n
}

// record is a file of figures. Its first line names the commit and the machine, and
// each further line is a figure.
type record struct {
	Commit  string `json:"commit"`
	Machine string `json:"machine"`
	figures []figure
}

// readRecord reads a file of figures. The first line may be missing.
func readRecord(file string) (*record, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	r := &record{}
	lines := bufio.NewScanner(bytes.NewReader(data))
	for n := 1; lines.Scan(); n++ {
		if n == 1 && !strings.Contains(lines.Text(), `"name"`) {
			if err := json.Unmarshal(lines.Bytes(), r); err != nil {
				return nil, fmt.Errorf("%s:1: %w", file, err)
			}
			continue
		}
		var f figure
		if err := json.Unmarshal(lines.Bytes(), &f); err != nil {
			return nil, fmt.Errorf("%s:%d: %w", file, n, err)
		}
		r.figures = append(r.figures, f)
	}
	return r, lines.Err()
}

// write writes the record to a file.
func (r *record) write(file string) (err error) {
	f, err := os.Create(file)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	if err := json.NewEncoder(f).Encode(r); err != nil {
		return err
	}
	w := writer{out: f}
	return w.add(r.figures...)
}

// compare prints each figure with its value in an earlier record.
func compare(out io.Writer, earlier *record, current []figure) {
	before := map[string]figure{}
	for _, f := range earlier.figures {
		before[f.Name] = f
	}
	fmt.Fprintf(out, "compared with the figures of %s on %s\n", earlier.Commit, earlier.Machine)
	for _, f := range current {
		b, ok := before[f.Name]
		delete(before, f.Name)
		switch {
		case !ok:
			fmt.Fprintf(out, "  new      %-64s %12s %s\n", f.Name, formatValue(f.Value), f.Unit)
		case b.Pass && !f.Pass:
			fmt.Fprintf(out, "  WORSE    %-64s %12s -> %s %s, the bound is %s\n", f.Name, formatValue(b.Value), formatValue(f.Value), f.Unit, f.Bound)
		default:
			fmt.Fprintf(out, "  %-8s %-64s %12s -> %s %s\n", percentChange(b.Value, f.Value), f.Name, formatValue(b.Value), formatValue(f.Value), f.Unit)
		}
	}
	for _, f := range earlier.figures {
		if _, ok := before[f.Name]; ok {
			fmt.Fprintf(out, "  not run  %-64s %12s before\n", f.Name, formatValue(f.Value))
		}
	}
}

// formatValue formats a value with four significant digits.
func formatValue(v float64) string { return strconv.FormatFloat(v, 'g', 4, 64) }

// percentChange returns the text of the change from a to b in percent.
func percentChange(a, b float64) string {
	switch {
	case a == b:
		return "same"
	case a == 0:
		return "from 0"
	}
	return fmt.Sprintf("%+.0f%%", 100*(b-a)/a)
}
