package cli

import (
	"fmt"
	"io"
	"runtime"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/amaranthweir/amaranthweir/internal/api"
)

// statusCommand prints a host's view of the system.
type statusCommand struct {
	hostFlags
	outputFlag
}

// Run requests the status from the host and prints it.
func (c *statusCommand) Run(env *environment) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	s, err := client.Status(env.ctx)
	if err != nil {
		return c.printRemoteError(env, err)
	}
	return c.print(env.out, s, func() { printStatus(env.out, s) })
}

// printStatus prints a status as tables.
func printStatus(out io.Writer, s api.Status) {
	fmt.Fprintf(out, "host %s in %s, ready %t, control leader %s, control revision %d\n",
		s.Host, s.Domain, s.Ready, dash(s.Leader), s.ControlRevision)
	t := newTable(out, "SERVICE", "VERSION", "DIGEST", "IN FORCE")
	for _, d := range s.Documents {
		t.row(d.Service, d.Version, shortDigest(d.Digest), inForce(d))
	}
	t.end()
	t = newTable(out, "HOST", "FAILURE DOMAIN", "PEER ADDRESS", "STATE", "CONTROL", "DRAINING")
	for _, h := range s.Hosts {
		t.row(h.Host, h.Domain, h.PeerAddress, h.State, h.Control, h.Draining)
	}
	t.end()
	t = newTable(out, "GROUP", "TERM", "PHASE", "PRIMARY", "WAITS FOR")
	for _, g := range s.Groups {
		t.row(g.Group, g.Term, g.Phase, dash(g.Primary), dash(g.WaitsFor))
	}
	t.end()
	t = newTable(out, "INSTANCE", "GROUP", "FAILURE DOMAIN", "ROLE", "TERM", "POSITION", "OWNER", "EPOCH", "LEAVING", "AGE")
	for _, i := range s.Instances {
		age := time.Duration(i.AgeMillis) * time.Millisecond
		t.row(i.Instance, i.Group, i.Domain, i.Role, i.Term, i.Position, dash(i.Owner), i.Epoch, i.Leaving, age)
	}
	t.end()
	printWorkspaces(out, s.Workspaces)
}

// printWorkspaces prints the workspaces with a rate limit, if there are any.
func printWorkspaces(out io.Writer, workspaces []api.WorkspaceStatus) {
	if len(workspaces) == 0 {
		return
	}
	t := newTable(out, "WORKSPACE", "RATE", "BURST", "USED IN WINDOW", "AVAILABLE", "AT HOSTS", "LIMITED")
	for _, w := range workspaces {
		t.row(w.Workspace, w.RatePerSecond, w.Burst, w.UsedInWindow, w.Available, w.AtHosts, w.Limited)
	}
	t.end()
}

// inForce describes how many hosts have the committed version of a document in
// force, and which hosts have another version.
func inForce(d api.DocumentStatus) string {
	var others []string
	for _, h := range d.InForce {
		if h.Version != d.Version {
			others = append(others, fmt.Sprintf("%s has %d", h.Host, h.Version))
		}
	}
	text := fmt.Sprintf("%d of %d hosts", len(d.InForce)-len(others), len(d.InForce))
	if len(others) > 0 {
		text += "; " + strings.Join(others, ", ")
	}
	return text
}

// explainCommand prints how a host would route a request.
type explainCommand struct {
	Service string `required:"" help:"The service, as callers name it."`
	Class   string `help:"The class; without it, the default class of the document."`
	Key     string `help:"The key that selects the group, where the class has more than one."`
	hostFlags
	outputFlag
}

// Run requests the explanation from the host and prints it.
func (c *explainCommand) Run(env *environment) error {
	q := api.ExplainQuery{Service: c.Service, Class: c.Class, Key: c.Key}
	client, err := c.client()
	if err != nil {
		return err
	}
	e, err := client.Explain(env.ctx, q)
	if err != nil {
		return c.printRemoteError(env, err)
	}
	return c.print(env.out, e, func() { printExplanation(env.out, e) })
}

// printExplanation prints a routing decision and the candidates considered.
func printExplanation(out io.Writer, e api.Explanation) {
	fmt.Fprintf(out, "service %s, class %s (%s %s), key %s, group %s\n",
		e.Service, e.Class, e.Rank, e.Access, dash(e.Key), dash(e.Group))
	if e.Chosen == "" {
		fmt.Fprintf(out, "refused with %s: %s\n", dash(e.Refusal), e.Reason)
	} else {
		fmt.Fprintf(out, "goes to %s, owned by %s: %s\n", e.Chosen, dash(e.Owner), e.Reason)
	}
	t := newTable(out, "CANDIDATE", "OWNER", "ROLE", "TERM", "POSITION", "PROVEN AGE", "QUEUE WAIT", "HINT AGE", "AVOIDED", "USABLE", "REASON")
	for _, c := range e.Candidates {
		age := "-"
		if c.ProvenAgeMillis != nil {
			age = (time.Duration(*c.ProvenAgeMillis) * time.Millisecond).String()
		}
		wait, hintAge := "-", "-"
		if c.QueueWaitMillis != nil && c.HintAgeMillis != nil {
			wait = time.Duration(*c.QueueWaitMillis * float64(time.Millisecond)).String()
			hintAge = (time.Duration(*c.HintAgeMillis) * time.Millisecond).String()
		}
		t.row(c.Instance, dash(c.Owner), c.Role, c.Term, c.Position, age, wait, hintAge, c.Avoided, c.Usable, c.Reason)
	}
	t.end()
}

// versionCommand prints the version of this build.
type versionCommand struct {
	outputFlag
}

// versionReply is the output of the version command.
type versionReply struct {
	Version string `json:"version"`
	Go      string `json:"go"`
}

// Run prints the version of this build.
func (c *versionCommand) Run(env *environment) error {
	v := versionReply{Version: Version, Go: runtime.Version()}
	return c.print(env.out, v, func() { fmt.Fprintln(env.out, "amaranthweir", v.Version, v.Go) })
}

// textTable prints rows with aligned columns.
type textTable struct{ w *tabwriter.Writer }

// newTable prints an empty line and starts a table with the given headings.
func newTable(out io.Writer, headings ...string) textTable {
	const padding = 2
	t := textTable{w: tabwriter.NewWriter(out, 0, 0, padding, ' ', 0)}
	fmt.Fprintln(t.w)
	fmt.Fprintln(t.w, strings.Join(headings, "\t"))
	return t
}

func (t textTable) row(cells ...any) {
	texts := make([]string, len(cells))
	for i, c := range cells {
		texts[i] = fmt.Sprint(c)
	}
	fmt.Fprintln(t.w, strings.Join(texts, "\t"))
}

func (t textTable) end() { _ = t.w.Flush() }

// dash returns s, or "-" for an empty table cell.
func dash[T ~string](s T) string {
	if s == "" {
		return "-"
	}
	return string(s)
}

// shortDigest returns the first 12 digits of a digest.
func shortDigest(s string) string {
	const digits = 12
	return s[:min(digits, len(s))]
}
