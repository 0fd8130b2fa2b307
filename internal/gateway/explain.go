package gateway

import (
	"time"

	"github.com/amaranthweir/amaranthweir/internal/config"
	"github.com/amaranthweir/amaranthweir/internal/errkind"
	"github.com/amaranthweir/amaranthweir/internal/system/routing"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

// Explanation describes how the gateway would route a request of a new session.
type Explanation struct {
	Class      *config.Class
	Group      table.GroupName
	Decision   routing.Decision
	Candidates []routing.Candidate
	At         time.Duration // on the clock of the gateway
}

// Explain routes a request of the class without running it. An empty class
// selects the default class. The key may be empty if the class has only one
// group.
func (g *Gateway) Explain(service, class, key string) (*Explanation, error) {
	doc := g.cfg.Directory.Document(service)
	if doc == nil {
		return nil, g.notFound(errkind.UnknownClass, "no document for the service %q is in force", service)
	}
	c, err := g.findClass(doc, class)
	if err != nil {
		return nil, err
	}
	group, err := chooseGroup(c, key)
	if err != nil {
		return nil, err
	}
	view := g.cfg.Directory.Groups().Lookup(group)
	now := g.cfg.Clock()
	x := &Explanation{Class: c, Group: group, At: now}
	x.Decision = routing.Choose(now, &routing.Query{
		Access:    c.Access,
		Staleness: c.Staleness,
		Deadline:  now + c.Deadline,
		Objective: c.Objective,
		Rank:      c.Rank,
		Home:      g.cfg.Domain,
	}, view)
	if view != nil {
		x.Candidates = view.Candidates
	}
	return x, nil
}
