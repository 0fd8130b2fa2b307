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

// figure is one measured value as a JSON line. Bound is empty for a value that
// is there for comparison only.
type figure struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Unit  string  `json:"unit"`
	Bound string  `json:"bound,omitempty"`
	Pass  bool    `json:"pass"`
}

// UnmarshalJSON takes the bound as text, or as a number that it must not exceed.
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

// writer writes figures as JSON lines and remembers them.
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

// failed counts the figures beyond their bound.
func (w *writer) failed() int {
	n := 0
	for _, f := range w.figures {
		if !f.Pass {
			n++
		}
	}
	return n
}

// record is a committed set of figures: a line that says where they come from,
// then the figures.
type record struct {
	Commit  string `json:"commit"`
	Machine string `json:"machine"`
	figures []figure
}

// readRecord reads a file of figures.
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

// compare prints each figure beside the one of an earlier record.
func compare(out io.Writer, earlier *record, now []figure) {
	before := map[string]figure{}
	for _, f := range earlier.figures {
		before[f.Name] = f
	}
	fmt.Fprintf(out, "compared with the figures of %s on %s\n", earlier.Commit, earlier.Machine)
	for _, f := range now {
		b, ok := before[f.Name]
		delete(before, f.Name)
		switch {
		case !ok:
			fmt.Fprintf(out, "  new      %-64s %12s %s\n", f.Name, short(f.Value), f.Unit)
		case b.Pass && !f.Pass:
			fmt.Fprintf(out, "  WORSE    %-64s %12s -> %s %s, the bound is %s\n", f.Name, short(b.Value), short(f.Value), f.Unit, f.Bound)
		default:
			fmt.Fprintf(out, "  %-8s %-64s %12s -> %s %s\n", change(b.Value, f.Value), f.Name, short(b.Value), short(f.Value), f.Unit)
		}
	}
	for _, f := range earlier.figures {
		if _, ok := before[f.Name]; ok {
			fmt.Fprintf(out, "  not run  %-64s %12s before\n", f.Name, short(f.Value))
		}
	}
}

// short prints a value with four digits.
func short(v float64) string { return strconv.FormatFloat(v, 'g', 4, 64) }

// change returns the change from a to b in percent.
func change(a, b float64) string {
	switch {
	case a == b:
		return "same"
	case a == 0:
		return "from 0"
	}
	return fmt.Sprintf("%+.0f%%", 100*(b-a)/a)
}
