// Package trace puts the log lines of several hosts about one request in the
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

// maxLineBytes bounds one log line.
const maxLineBytes = 1 << 20

// Line is one log line about the request.
type Line struct {
	// Source names the host that wrote the line: what stands before it in the
	// file without the moment, or the name of the file.
	Source string
	// Text is the line as it was written.
	Text string
	// Message, Instance and Attempt are fields of it; empty or zero where the
	// line has none.
	Message  string
	Instance string
	Attempt  int
}

// fields are those that Read looks at.
type fields struct {
	Request  string `json:"request"`
	CallerID string `json:"caller_id"`
	Message  string `json:"msg"`
	Instance string `json:"instance"`
	Attempt  int    `json:"attempt"`
}

// Read returns the lines about a request in a file, in their order there. Lines
// of other programs between them are passed over.
func Read(in io.Reader, file, request string) ([]Line, error) {
	var lines []Line
	err := scan(in, file, request, func(prefix, text []byte, f *fields) {
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

// Requests returns the names, in the logs, of the requests that a caller named
// id; a file of the entry host tells them.
func Requests(in io.Reader, file, id string) ([]string, error) {
	var names []string
	err := scan(in, file, id, func(_, _ []byte, f *fields) {
		if f.CallerID == id && !slices.Contains(names, f.Request) {
			names = append(names, f.Request)
		}
	})
	return names, err
}

// scan calls each with the log lines that contain a word, and with what stands
// before them.
func scan(in io.Reader, file, word string, each func(prefix, text []byte, f *fields)) error {
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		begin := bytes.IndexByte(scanner.Bytes(), '{')
		if begin < 0 || !bytes.Contains(scanner.Bytes(), []byte(word)) {
			continue
		}
		var f fields
		if json.Unmarshal(scanner.Bytes()[begin:], &f) != nil {
			continue // not a line of a host
		}
		each(scanner.Bytes()[:begin], scanner.Bytes()[begin:], &f)
	}
	if err := scanner.Err(); err != nil {
		return fmt.Errorf("%s: %w", file, err)
	}
	return nil
}

// source is the last word of what stands before a line.
func source(prefix []byte, file string) string {
	words := bytes.Fields(prefix)
	if len(words) == 0 {
		return file
	}
	return string(words[len(words)-1])
}

// routed is the message of the decision that begins an attempt.
const routed = "route"

// Order puts the lines of all hosts in order. The clocks of hosts are not
// compared: the entry host, which routes, gives the frame, and the lines of an
// owner follow the attempt that was routed to its instance.
func Order(lines []Line) []Line {
	entry := entrySource(lines)
	var frame, others []Line
	for _, l := range lines {
		if l.Source == entry {
			frame = append(frame, l)
		} else {
			others = append(others, l)
		}
	}
	var out []Line
	for n, l := range frame {
		out = append(out, l)
		if l.Message != routed {
			continue
		}
		var mine []Line
		mine, others = split(others, l.Instance, routedAgain(frame[n+1:], l.Instance))
		out = append(out, mine...)
	}
	return append(out, others...)
}

// entrySource returns the host that routed the request, or the first one.
func entrySource(lines []Line) string {
	for _, l := range lines {
		if l.Message == routed {
			return l.Source
		}
	}
	if len(lines) == 0 {
		return ""
	}
	return lines[0].Source
}

// routedAgain reports whether a later attempt goes to the instance too.
func routedAgain(later []Line, instance string) bool {
	for _, l := range later {
		if l.Message == routed && l.Instance == instance {
			return true
		}
	}
	return false
}

// split takes the lines about an instance that belong to one attempt: all of
// them, or the first where others follow.
func split(lines []Line, instance string, again bool) (mine, rest []Line) {
	for _, l := range lines {
		if l.Instance == instance && (len(mine) == 0 || !again) {
			mine = append(mine, l)
		} else {
			rest = append(rest, l)
		}
	}
	return mine, rest
}

// Print writes the lines with their hosts.
func Print(out io.Writer, lines []Line) error {
	for _, l := range lines {
		if _, err := fmt.Fprintf(out, "%s %s\n", l.Source, l.Text); err != nil {
			return err
		}
	}
	return nil
}
