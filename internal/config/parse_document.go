package config

import (
	"crypto/sha256"
	"encoding/hex"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/tailscale/hujson"

	"github.com/amaranthweir/amaranthweir/internal/table"
)

// Default values of a document.
const (
	DefaultInstances       = 3
	DefaultDeadline        = 2 * time.Second
	DefaultWorth           = 1
	DefaultNormalFloor     = 20 // percent
	DefaultBackgroundFloor = 10 // percent
	DefaultRequestWindow   = 15 * time.Minute
)

// Limits of the values in a document.
const (
	maxGroups        = 10_000
	maxClasses       = 1_000
	maxInstances     = 15
	maxWorth         = 1_000
	maxRate          = 1e9
	maxStaleness     = 24 * time.Hour
	minDeadline      = time.Millisecond
	maxDeadline      = 10 * time.Minute
	minRequestWindow = time.Second
	maxRequestWindow = 7 * 24 * time.Hour
	maxPercent       = 100
)

var (
	rankNames   = []string{"urgent", "normal", "background"}
	accessNames = []string{"read", "write"}
)

// String returns the name of the rank as written in documents.
func (r Rank) String() string {
	if int(r) >= len(rankNames) {
		return "unknown"
	}
	return rankNames[r]
}

// String returns the name of the access as written in documents.
func (a Access) String() string {
	if int(a) >= len(accessNames) {
		return "unknown"
	}
	return accessNames[a]
}

// Class returns the class with the given name.
func (d *Document) Class(name string) (*Class, bool) {
	for i := range d.Classes {
		if d.Classes[i].Name == name {
			return &d.Classes[i], true
		}
	}
	return nil, false
}

// DocumentDigest returns the hexadecimal SHA-256 of the document without its
// comments, white space and trailing commas. Two documents that differ only in
// these have the same digest and are treated as equal. The order of members is
// significant. Text that is not valid JSON with comments, or is nested too
// deeply, is hashed unchanged.
func DocumentDigest(src []byte) string {
	content := src
	if _, deep := tooDeep(src); !deep {
		if minimized, err := hujson.Minimize(slices.Clone(src)); err == nil {
			content = minimized
		}
	}
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:])
}

// ParseDocument parses and validates the document of a service. The name of the
// file is used only in problems. The error is a *Problems that lists every
// problem found, up to MaxProblems.
func ParseDocument(name string, src []byte) (*Document, error) {
	r := &reader{name: name, src: src}
	root, ok := r.parseRoot()
	if !ok {
		return nil, r.err()
	}
	p := &documentParser{}
	p.read(root)
	if err := r.err(); err != nil {
		return nil, err
	}
	return &p.doc, nil
}

// documentParser builds a document. It keeps the nodes that the checks across
// several fields report as positions.
type documentParser struct {
	doc            Document
	classes        []classParser
	declaredGroups map[table.GroupName]bool
	defaultClass   node // the value of default_class
	floors         node // the value of rank_floors
}

// classParser builds a class and keeps the nodes that later checks report as
// positions.
type classParser struct {
	class       Class
	pos         node
	staleness   node
	repeatable  node
	ackReplicas node
	groups      []node
}

// isSet reports whether the field of the node is present in the file.
func (n node) isSet() bool { return n.val != nil }

func (p *documentParser) read(root node) {
	d := &p.doc
	d.RankFloors = [RankCount]int{RankNormal: DefaultNormalFloor, RankBackground: DefaultBackgroundFloor}
	d.RequestWindow = DefaultRequestWindow
	p.declaredGroups = map[table.GroupName]bool{}
	ok := root.object(
		field{"service", true, func(n node) { d.Service, _ = n.name() }},
		field{"version", true, func(n node) { d.Version = n.integer(1, math.MaxInt64) }},
		field{"groups", true, p.readGroups},
		field{"classes", true, p.readClasses},
		field{"default_class", true, func(n node) { p.defaultClass = n; d.Default, _ = n.name() }},
		field{"rank_floors", false, p.readFloors},
		field{"request_window", false, func(n node) {
			d.RequestWindow = n.duration(minRequestWindow, maxRequestWindow)
		}},
	)
	if ok {
		p.check()
	}
}

func (p *documentParser) readGroups(n node) {
	if n.list(maxGroups, p.readGroup) == 0 {
		n.problem("expected at least one group")
	}
}

func (p *documentParser) readGroup(n node) {
	g := GroupSpec{Instances: DefaultInstances}
	n.object(
		field{"name", true, func(n node) {
			s, ok := n.name()
			if !ok {
				return
			}
			g.Name = table.GroupName(s)
			if p.declaredGroups[g.Name] {
				n.problem("the group %q stands twice, expected it once", s)
			}
			p.declaredGroups[g.Name] = true
		}},
		field{"instances", false, func(n node) { g.Instances = int(n.integer(1, maxInstances)) }},
	)
	p.doc.Groups = append(p.doc.Groups, g)
}

func (p *documentParser) readClasses(n node) {
	if n.list(maxClasses, p.readClass) == 0 {
		n.problem("expected at least one class")
	}
}

func (p *documentParser) readFloors(n node) {
	p.floors = n
	floor := func(r Rank) field {
		return field{r.String(), false, func(n node) {
			p.doc.RankFloors[r] = int(n.integer(0, maxPercent))
		}}
	}
	n.object(floor(RankUrgent), floor(RankNormal), floor(RankBackground))
}

func (p *documentParser) readClass(n node) {
	c := classParser{pos: n, class: Class{
		Rank: RankNormal, Deadline: DefaultDeadline, Worth: DefaultWorth,
	}}
	class := &c.class
	var group, groups node
	ok := n.object(
		field{"name", true, func(n node) { c.pos = n; class.Name, _ = n.name() }},
		field{"rank", false, func(n node) { class.Rank = choice[Rank](n, rankNames, strings.Join(rankNames, ", ")) }},
		field{"access", true, func(n node) { class.Access = choice[Access](n, accessNames, strings.Join(accessNames, ", ")) }},
		field{"group", false, func(n node) { group = n; c.readGroup(n) }},
		field{"groups", false, func(n node) { groups = n; n.list(maxGroups, c.readGroup) }},
		field{"staleness", false, func(n node) { c.staleness = n; class.Staleness = n.duration(0, maxStaleness) }},
		field{"deadline", false, func(n node) { class.Deadline = n.duration(minDeadline, maxDeadline) }},
		field{"worth", false, func(n node) { class.Worth = int(n.integer(1, maxWorth)) }},
		field{"rate_per_second", false, func(n node) { class.RatePerSecond = n.number(maxRate) }},
		field{"repeatable", false, func(n node) { c.repeatable = n; class.Repeatable = n.boolean() }},
		field{"ack_replicas", false, func(n node) { c.ackReplicas = n; class.AckReplicas = int(n.integer(0, 1)) }},
	)
	if !ok {
		return
	}
	if group.isSet() == groups.isSet() {
		n.problem("expected either the field \"group\" or the field \"groups\"")
	} else if groups.isSet() && len(c.groups) == 0 {
		groups.problem("expected at least one group")
	}
	c.applyDefaults()
	p.classes = append(p.classes, c)
}

func (c *classParser) readGroup(n node) {
	if s, ok := n.name(); ok {
		c.groups = append(c.groups, n)
		c.class.Groups = append(c.class.Groups, table.GroupName(s))
	}
}

// applyDefaults sets the defaults that depend on the access of the class. A read
// is repeatable. A write is not repeatable, and one replica must hold it before
// it is acknowledged.
func (c *classParser) applyDefaults() {
	if !c.repeatable.isSet() {
		c.class.Repeatable = c.class.Access == AccessRead
	}
	if !c.ackReplicas.isSet() && c.class.Access == AccessWrite {
		c.class.AckReplicas = 1
	}
}

// check validates the constraints between fields.
func (p *documentParser) check() {
	seen := map[string]bool{}
	for _, c := range p.classes {
		p.checkClass(c)
		if c.class.Name == "" {
			continue
		}
		if seen[c.class.Name] {
			c.pos.problem("the class %q stands twice, expected it once", c.class.Name)
		}
		seen[c.class.Name] = true
		p.doc.Classes = append(p.doc.Classes, c.class)
	}
	if p.doc.Default != "" && !seen[p.doc.Default] {
		p.defaultClass.problem("no class is named %q, expected the name of a listed class", p.doc.Default)
	}
	p.checkFloors()
}

func (p *documentParser) checkClass(c classParser) {
	class := c.class
	if class.Access == AccessRead && !class.Repeatable {
		c.repeatable.problem("a read is always repeatable, expected true or \"access\": \"write\"")
	}
	if class.Access == AccessRead && class.AckReplicas > 0 {
		c.ackReplicas.problem("a read waits for no replica, expected 0 or \"access\": \"write\"")
	}
	if class.Access == AccessWrite && c.staleness.isSet() {
		c.staleness.problem("a write has no staleness, expected no such field or \"access\": \"read\"")
	}
	seen := make(map[table.GroupName]bool, len(c.groups))
	for i, n := range c.groups {
		name := class.Groups[i]
		if !p.declaredGroups[name] {
			n.problem("no group is named %q, expected the name of a listed group", name)
		}
		if seen[name] {
			n.problem("the group %q stands twice, expected it once", name)
		}
		seen[name] = true
	}
}

func (p *documentParser) checkFloors() {
	sum := 0
	for _, f := range p.doc.RankFloors {
		sum += f
	}
	if sum > maxPercent {
		p.floors.problem("the floors add to %d percent, expected at most %d", sum, maxPercent)
	}
}
