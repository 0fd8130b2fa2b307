package main

import (
	"fmt"
	"strings"
	"time"
)

// lineBreaks sends writes whose data holds a line feed. The protocol ends a line with
// CR LF, so such a write is one message.
func lineBreaks(d *deployment, trouble bool) ([]string, error) {
	separator := " "
	if trouble {
		separator = "\n"
	}
	sent := map[string]string{}
	for n := range 10 {
		sent[fmt.Sprintf("two-lines-%d", n)] = fmt.Sprintf("WRITE note%d first line%ssecond line", n, separator)
		sent[fmt.Sprintf("quoted-%d", n)] = fmt.Sprintf("WRITE mail%d he wrote:%sQUERY not-sent-%d WRITE price%d 0", n, separator, n, n)
	}
	n, answered := 0, 0
	for id, text := range sent {
		n++
		c, err := open(d.rec, "c", d.entryAddress(n), "lepu270")
		if err != nil {
			return nil, err
		}
		if a, err := c.query(id, text, 2*time.Second); err == nil && a.code == "" {
			answered++
		}
		time.Sleep(100 * time.Millisecond)
		c.close()
	}
	d.rec.say("%d writes were sent, %d were answered with success", len(sent), answered)
	if !trouble && answered < len(sent) {
		return nil, fmt.Errorf("only %d of %d writes were served", answered, len(sent))
	}
	return changedStatements(d.group, sent), nil
}

// changedStatements checks the rule UNASKED: each statement that an instance was sent is
// one of a client, with the same text, or of the system itself, whose id is "-".
func changedStatements(g *group, sent map[string]string) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var findings []string
	for _, r := range g.runs {
		text, known := sent[r.id]
		switch {
		case r.id == "-" || strings.HasPrefix(r.id, "ready"):
		case !known:
			findings = append(findings, fmt.Sprintf("UNASKED: %s was sent the statement %s %q, which no client sent", r.instance, r.id, r.text))
		case r.text != text:
			findings = append(findings, fmt.Sprintf("UNASKED: %s was sent %s as %q; the client sent %q", r.instance, r.id, r.text, text))
		}
	}
	return findings
}
