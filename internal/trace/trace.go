// Package trace merges the log lines of several hosts about one request, in
// order of cause and effect.
package trace

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
)

// maxLineBytes is the maximum length of a log line.
const maxLineBytes = 1 << 20

// Line is one log line about a request.
type Line struct {
	// Source identifies the host that wrote the line. It is the last word of the
	// prefix of the line in the file, or the file name if there is no prefix.
	Source string
	// Text is the line as written by the host, without the prefix.
	Text string
	// Message, Instance and Attempt are fields of the line. They are empty or
	// zero if the line does not have them.
	Message  string
	Instance string
	Attempt  int
}

// lineFields holds the fields of a log line that this package uses.
type lineFields struct {
	Request  string `json:"request"`
	CallerID string `json:"caller_id"`
	Message  string `json:"msg"`
	Instance string `json:"instance"`
	Attempt  int    `json:"attempt"`
}

// Read returns the lines of a file about the request with the given id, in their
// order in the file. Lines that no host wrote are skipped.
func Read(in io.Reader, file, request string) ([]Line, error) {
	var lines []Line
	err := scan(in, file, request, func(prefix, text []byte, f *lineFields) {
		if f.Request != request {
			return
		}
		lines = append(lines, Line{
			Source:   source(prefix, file),
			Text:     string(text),
			Message:  f.Message,
			Instance: f.Instance,
			Attempt:  f.Attempt,
		})
	})
	return lines, err
}

// RequestIDs returns the ids under which the hosts logged the requests to which a
// caller gave the id callerID. Only the log of the entry host has both ids.
func RequestIDs(in io.Reader, file, callerID string) ([]string, error) {
	var ids []string
	err := scan(in, file, callerID, func(_, _ []byte, f *lineFields) {
		if f.CallerID == callerID && !slices.Contains(ids, f.Request) {
			ids = append(ids, f.Request)
		}
	})
	return ids, err
}

// scan calls fn with each log line that contains substr. prefix is the text
// before the JSON object of the line, and text is the rest.
func scan(in io.Reader, file, substr string, fn func(prefix, text []byte, f *lineFields)) error {
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		begin := bytes.IndexByte(scanner.Bytes(), '{')
		if begin < 0 || !bytes.Contains(scanner.Bytes(), []byte(substr)) {
			continue
		}
		var f lineFields
		if json.Unmarshal(scanner.Bytes()[begin:], &f) != nil {
			continue // not a log line of a host
		}
		fn(scanner.Bytes()[:begin], scanner.Bytes()[begin:], &f)
	}
	if err := scanner.Err(); err != nil {
		return fmt.Errorf("%s: %w", file, err)
	}
	return nil
}

// source returns the last word of the prefix of a line, or the file name if the
// prefix is empty.
func source(prefix []byte, file string) string {
	words := bytes.Fields(prefix)
	if len(words) == 0 {
		return file
	}
	return string(words[len(words)-1])
}

// routeMessage is the message of the line that begins an attempt.
const routeMessage = "route"

// Order sorts the lines of all hosts by cause and effect. It does not compare the
// clocks of hosts. The lines of the entry host, which routes the request, keep
// their order, and the lines of an owner are inserted after the route line of the
// attempt at its instance.
func Order(lines []Line) []Line {
	entry := entrySource(lines)
	var entryLines, others []Line
	for _, l := range lines {
		if l.Source == entry {
			entryLines = append(entryLines, l)
		} else {
			others = append(others, l)
		}
	}
	var out []Line
	for i, l := range entryLines {
		out = append(out, l)
		if l.Message != routeMessage {
			continue
		}
		var matched []Line
		matched, others = splitAttempt(others, l.Instance, hasLaterAttempt(entryLines[i+1:], l.Instance))
		out = append(out, matched...)
	}
	return append(out, others...)
}

// entrySource returns the source of the host that routed the request, or of the
// first line if no host did.
func entrySource(lines []Line) string {
	for _, l := range lines {
		if l.Message == routeMessage {
			return l.Source
		}
	}
	if len(lines) == 0 {
		return ""
	}
	return lines[0].Source
}

// hasLaterAttempt reports whether a later attempt is routed to the same instance.
func hasLaterAttempt(later []Line, instance string) bool {
	for _, l := range later {
		if l.Message == routeMessage && l.Instance == instance {
			return true
		}
	}
	return false
}

// splitAttempt separates the lines about an instance that belong to one attempt
// from the rest. With hasLater, further attempts at the instance follow, and only
// the first line is matched. Otherwise all lines about the instance
// are matched.
func splitAttempt(lines []Line, instance string, hasLater bool) (matched, rest []Line) {
	for _, l := range lines {
		if l.Instance == instance && (len(matched) == 0 || !hasLater) {
			matched = append(matched, l)
		} else {
			rest = append(rest, l)
		}
	}
	return matched, rest
}

// Print writes the lines, each preceded by its source.
func Print(out io.Writer, lines []Line) error {
	for _, l := range lines {
		if _, err := fmt.Fprintf(out, "%s %s\n", l.Source, l.Text); err != nil {
			return err
		}
	}
	return nil
}
