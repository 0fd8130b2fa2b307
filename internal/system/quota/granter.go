package quota

import (
	"math"
	"time"

	"github.com/amaranthweir/amaranthweir/internal/config"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

const (
	// sweepInterval is how often the granter looks for silent hosts.
	sweepInterval = 100 * time.Millisecond
	// stockShare is the part of the reserve that may lie at hosts in advance. The
	// rest is kept for requests that wait.
	stockShare = 0.75
	// scarceShare is the part of the reserve that is granted only to requests that
	// wait. A workspace that has reached its limit thus has little in stock at
	// hosts that its requests may leave.
	scarceShare = 0.25
	// maxRetry bounds how long a host refuses requests of a workspace that has
	// reached its limit before it asks again.
	maxRetry = 400 * time.Millisecond
	// startingTime is how long requests may wait for what a new leader mints, and
	// minStarting the least number of requests that may do so at a host. A new
	// leader has nothing to grant, also to workspaces that are far below their
	// limit.
	startingTime = time.Second
	minStarting  = 3
	// grantsPerRetry is how many operations are minted between the times at which
	// two refused hosts ask again.
	grantsPerRetry = 1
	// limitedFor is how long after its last refusal a workspace counts as limited.
	limitedFor = 2 * time.Second
)

// Granter mints and grants the operations of all workspaces at the control
// leader. Its state is soft: a new leader starts with an empty one.
type Granter struct {
	settings   config.QuotaSettings
	leadership uint64
	since      time.Duration // start of the leadership
	version    uint64        // of the limits
	accounts   map[string]*account
	holders    map[holderID]*holderRecord
	sweptAt    time.Duration
	changes    []Change
}

// holderID identifies a holder. A restarted host is another holder: what it held
// before counts until it expires.
type holderID struct {
	host        table.HostID
	incarnation uint64
}

// holderRecord is what the granter knows of one holder.
type holderRecord struct {
	sequence uint64        // of its latest call
	heardAt  time.Duration // time of its latest call
	// held is an upper bound of what the holder may still use, by workspace.
	held map[string]int
	// granted is what the answer to its latest call granted.
	granted map[string]int
}

// account holds the operations of one workspace.
type account struct {
	limit       Limit
	reserve     float64
	credit      float64 // operations that were minted and not granted
	at          time.Duration
	outstanding int // sum of holderRecord.held over all holders
	usage       usage
	// nextRetry is when the host that was refused last should ask again.
	nextRetry time.Duration
	refusedAt time.Duration // time of the latest refusal
	limited   bool
}

// Change reports that a workspace reached its limit or is under it again.
type Change struct {
	Workspace string
	Limited   bool
	Limit     Limit
	// Version is the version of the deployment that set the limit.
	Version uint64
	// Used is the number of operations used in the latest window.
	Used int
}

// NewGranter returns a granter that leads nothing yet.
func NewGranter(s *config.QuotaSettings) *Granter {
	g := &Granter{settings: *s}
	g.Lead(0, 0)
	return g
}

// Leadership returns the leadership that was last passed to Lead.
func (g *Granter) Leadership() uint64 { return g.leadership }

// Lead starts a leadership at now. Earlier leaders must not grant any more.
func (g *Granter) Lead(now time.Duration, leadership uint64) {
	g.leadership, g.since = leadership, now
	g.accounts = map[string]*account{}
	g.holders = map[holderID]*holderRecord{}
	g.version = 0
	g.changes = nil
}

// SetLimits puts the limits of a version of the deployment in force. What was
// minted above a lowered limit is lost.
func (g *Granter) SetLimits(now time.Duration, version uint64, limits map[string]Limit) {
	g.version = version
	for name, l := range limits {
		a := g.accounts[name]
		if a == nil {
			a = &account{at: now}
			g.accounts[name] = a
		}
		g.advance(now, a)
		a.limit, a.reserve = l, Reserve(&g.settings, l)
		g.advance(now, a)
	}
	for name, a := range g.accounts {
		if _, kept := limits[name]; !kept {
			g.advance(now, a)
			a.limit, a.reserve, a.credit = Limit{}, 0, 0
		}
	}
}

// Handle applies a report and returns the answer. The answer to a report that
// arrives after a later one of the same holder is empty.
func (g *Granter) Handle(now time.Duration, r *Report) Answer {
	g.sweep(now)
	answer := Answer{Leadership: g.leadership}
	id := holderID{r.Host, r.Incarnation}
	h := g.holders[id]
	if h == nil {
		h = &holderRecord{held: map[string]int{}, granted: map[string]int{}}
		g.holders[id] = h
	}
	if r.Sequence <= h.sequence {
		return answer
	}
	g.settle(now, h, r)
	h.sequence, h.heardAt = r.Sequence, now
	for i := range r.Entries {
		if grant := g.grant(now, h, &r.Entries[i]); grant != (Grant{}) {
			answer.Grants = append(answer.Grants, grant)
		}
	}
	return answer
}

// settle replaces what the granter knows of a holder by its report.
func (g *Granter) settle(now time.Duration, h *holderRecord, r *Report) {
	if r.Applied != h.sequence || r.Leadership != g.leadership {
		g.takeBackLost(now, h)
	}
	clear(h.granted)
	reported := map[string]int{}
	if r.Leadership == g.leadership {
		for i := range r.Entries {
			e := &r.Entries[i]
			if a := g.accounts[e.Workspace]; a != nil {
				reported[e.Workspace] = e.Held
				g.giveBack(now, h, a, e.Workspace, min(max(e.GivenBack, 0), h.held[e.Workspace]))
			}
		}
	}
	for name, before := range h.held {
		held := min(max(reported[name], 0), before)
		g.setHeld(now, h, name, held)
	}
}

// takeBackLost returns the operations of an answer that its holder never applied.
func (g *Granter) takeBackLost(now time.Duration, h *holderRecord) {
	for name, n := range h.granted {
		if a := g.accounts[name]; a != nil {
			g.giveBack(now, h, a, name, min(n, h.held[name]))
		}
	}
}

// giveBack moves n operations that a holder does not use back to the account.
func (g *Granter) giveBack(now time.Duration, h *holderRecord, a *account, name string, n int) {
	g.advance(now, a)
	h.held[name] -= n
	a.outstanding -= n
	a.credit += float64(n)
	g.advance(now, a)
}

// setHeld lowers what a holder holds of a workspace. The difference was used.
func (g *Granter) setHeld(now time.Duration, h *holderRecord, name string, held int) {
	used := h.held[name] - held
	if held == 0 {
		delete(h.held, name)
	} else {
		h.held[name] = held
	}
	a := g.accounts[name]
	if a == nil || used == 0 {
		return
	}
	// The cap of the time before applies to what was minted until now.
	g.advance(now, a)
	a.outstanding -= used
	a.usage.add(now, used, g.window())
	if a.limit == (Limit{}) && a.outstanding == 0 {
		delete(g.accounts, name)
	}
}

// grant answers one entry of a report. Requests that wait come first; the stock
// of a host grows by at most half of the rest, so that others find some too.
func (g *Granter) grant(now time.Duration, h *holderRecord, e *Entry) Grant {
	a := g.accounts[e.Workspace]
	if a == nil || e.Waiting+e.Wanted <= 0 {
		return Grant{}
	}
	g.advance(now, a)
	available := int(a.credit)
	n := min(max(e.Waiting, 0), available)
	room := int(a.reserve*stockShare) - a.outstanding - n
	spare := int(a.credit-a.reserve*scarceShare) - n
	stock := max(0, min(e.Wanted, (spare+1)/2, room))
	out := Grant{Workspace: e.Workspace, Granted: n + stock}
	if n < e.Waiting && !g.mayWait(now, a, e.Waiting) {
		g.noteRefusal(now, e.Workspace, a)
		out.RetryMillis = a.scheduleRetry(now).Milliseconds()
	}
	if out.Granted > 0 {
		a.credit -= float64(out.Granted)
		a.outstanding += out.Granted
		h.held[e.Workspace] += out.Granted
		h.granted[e.Workspace] = out.Granted
	}
	if out.Granted == 0 && out.RetryMillis == 0 {
		return Grant{}
	}
	return out
}

// mayWait reports whether requests of a host may wait for what a new leader mints
// instead of being refused.
func (g *Granter) mayWait(now time.Duration, a *account, waiting int) bool {
	share := a.limit.RatePerSecond * startingTime.Seconds() / float64(len(g.holders))
	return g.ramp(now) < 1 && waiting <= max(minStarting, int(share))
}

// advance mints the operations of the time until now, up to the cap.
func (g *Granter) advance(now time.Duration, a *account) {
	if now > a.at {
		a.credit += a.limit.RatePerSecond * (now - a.at).Seconds()
		a.at = now
	}
	room := a.reserve*g.ramp(now) - float64(a.outstanding)
	a.credit = math.Max(0, math.Min(a.credit, room))
}

// ramp returns the part of the reserve that this leader may use at now.
func (g *Granter) ramp(now time.Duration) float64 {
	return math.Min(1, float64(now-g.since)/float64(GranterExpiry))
}

// sweep drops the stock of silent holders, which counts as used, and notices
// workspaces that are no longer limited.
func (g *Granter) sweep(now time.Duration) {
	if now-g.sweptAt < sweepInterval {
		return
	}
	g.sweptAt = now
	for id, h := range g.holders {
		if now-h.heardAt < GranterExpiry {
			continue
		}
		for name := range h.held {
			g.setHeld(now, h, name, 0)
		}
		delete(g.holders, id)
	}
	for name, a := range g.accounts {
		if a.limited && now-a.refusedAt > limitedFor {
			a.limited = false
			g.addChange(now, name, a)
		}
	}
}

func (g *Granter) noteRefusal(now time.Duration, name string, a *account) {
	a.refusedAt = now
	if !a.limited {
		a.limited = true
		g.addChange(now, name, a)
	}
}

// scheduleRetry returns how long a refused host should wait before it asks again.
// Hosts come back one after the other, as fast as operations are minted.
func (a *account) scheduleRetry(now time.Duration) time.Duration {
	interval := time.Duration(grantsPerRetry / a.limit.RatePerSecond * float64(time.Second))
	next := max(a.nextRetry, now) + interval
	a.nextRetry = min(max(next, now+urgentInterval), now+maxRetry)
	return a.nextRetry - now
}

// maxChanges bounds the changes that wait for TakeChanges.
const maxChanges = 100

func (g *Granter) addChange(now time.Duration, name string, a *account) {
	if len(g.changes) < maxChanges {
		g.changes = append(g.changes, Change{
			Workspace: name, Limited: a.limited, Limit: a.limit, Version: g.version,
			Used: a.usage.last(now, g.window()),
		})
	}
}

// TakeChanges returns the changes since the last call.
func (g *Granter) TakeChanges() []Change {
	out := g.changes
	g.changes = nil
	return out
}

// Status describes one workspace for operators.
type Status struct {
	Workspace string
	Limit     Limit
	// Used is the approximate number of operations used in the latest window.
	Used int
	// Available is the number of operations that can be granted at once.
	Available int
	// AtHosts is the number of operations that hosts hold.
	AtHosts int
	Limited bool
}

// Statuses returns the status of each workspace that has a limit, in no
// particular order.
func (g *Granter) Statuses(now time.Duration) []Status {
	out := make([]Status, 0, len(g.accounts))
	for name, a := range g.accounts {
		g.advance(now, a)
		out = append(out, Status{
			Workspace: name, Limit: a.limit, Used: a.usage.last(now, g.window()),
			Available: int(a.credit), AtHosts: a.outstanding, Limited: a.limited,
		})
	}
	return out
}

// window returns the length of the window, or a second if none is set.
func (g *Granter) window() time.Duration {
	if g.settings.Window > 0 {
		return g.settings.Window
	}
	return time.Second
}

// usage counts used operations in the current and the previous period.
type usage struct {
	period  int64
	current int
	before  int
}

func (u *usage) rotate(now, window time.Duration) {
	switch period := int64(now / window); period - u.period {
	case 0:
	case 1:
		u.period, u.before, u.current = period, u.current, 0
	default:
		*u = usage{period: period}
	}
}

func (u *usage) add(now time.Duration, n int, window time.Duration) {
	u.rotate(now, window)
	u.current += n
}

// last estimates the use in the window that ends at now.
func (u *usage) last(now, window time.Duration) int {
	u.rotate(now, window)
	elapsed := float64(now%window) / float64(window)
	return u.current + int(float64(u.before)*(1-elapsed))
}
