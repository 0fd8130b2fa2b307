package quota

import (
	"math"
	"time"

	"github.com/amaranthweir/amaranthweir/internal/table"
)

const (
	// urgentInterval is the shortest time between two calls.
	urgentInterval = 25 * time.Millisecond
	// starvedInterval is the shortest time between two calls if a request waits
	// and the leader had nothing to grant.
	starvedInterval = 100 * time.Millisecond
	// refillInterval is the shortest time between two calls if no request waits
	// and a stock runs low.
	refillInterval = 150 * time.Millisecond
	// reportInterval is the time after which the leader is told that operations
	// were used.
	reportInterval = 500 * time.Millisecond
	// limitedInterval is reportInterval for a workspace that has lately reached its
	// limit. What the leader does not know to be used keeps it from granting more.
	limitedInterval = 150 * time.Millisecond
	// renewInterval is the time between two calls of a host that holds
	// operations. It leaves time for another call before HolderExpiry.
	renewInterval = time.Second
	// idleAfter is how long a workspace must have had no request at the host
	// before its stock is given back.
	idleAfter = time.Second
	// stockTime is how long a stock should last.
	stockTime = time.Second
	// demandDecay is the time constant of the demand estimate.
	demandDecay = time.Second
	// returnPeriod is the length of a counting period. A taken operation can be
	// returned in the period in which it was taken and in the next one. Requests
	// that are refused for lack of room have waited up to their objective.
	returnPeriod = 500 * time.Millisecond
	// never is later than any moment.
	never = time.Duration(math.MaxInt64)
)

// Verdict is the result of Take.
type Verdict int

// The verdicts.
const (
	// Taken means that the operation may run.
	Taken Verdict = iota
	// Wait means that the leader must be asked first.
	Wait
	// Refused means that the workspace has reached its limit.
	Refused
)

// Permit identifies a taken operation. The zero value is that of a workspace
// without a limit.
type Permit struct {
	Workspace  string
	generation uint64
	period     int64
	returnable bool
}

// Holder keeps the operations that were granted to an entry host.
type Holder struct {
	host        table.HostID
	incarnation uint64
	sequence    uint64
	applied     uint64

	leadership uint64
	// generation numbers the spans in which stock stays valid. A stock of an
	// earlier generation is void.
	generation uint64
	valid      bool
	validUntil time.Duration
	// earlierUntil is when the stocks of the previous leader expire.
	earlierUntil      time.Duration
	earlierGeneration uint64

	stocks   map[string]*stock
	active   []*stock // with stock, waiting requests or a recent request
	calledAt time.Duration
	called   bool
}

// stock is what a host holds of one workspace.
type stock struct {
	name       string
	limit      Limit
	generation uint64
	current    int
	// earlier is what is left of the grants of the previous leader.
	earlier           int
	earlierGeneration uint64

	period      int64
	taken       [2]int // not finished, taken in the current and in the previous period
	waiting     int
	starved     bool // the latest answer left requests waiting
	reported    int  // what the leader counts as held
	refuseUntil time.Duration
	refused     bool          // refuseUntil was set before
	loweredAt   time.Duration // when the limit was last lowered
	demand      float64       // operations a second, decaying
	demandAt    time.Duration
	active      bool

	takenTotal, refusedTotal uint64
}

// NewHolder returns a holder that holds nothing.
func NewHolder(host table.HostID, incarnation uint64) *Holder {
	return &Holder{host: host, incarnation: incarnation, stocks: map[string]*stock{}}
}

// SetLimits puts limits in force at now. The stock of a workspace whose limit was
// lowered is dropped, together with what a call in flight may bring.
func (h *Holder) SetLimits(now time.Duration, limits map[string]Limit) {
	for name, l := range limits {
		s := h.stocks[name]
		if s == nil {
			s = &stock{name: name}
			h.stocks[name] = s
		}
		if l.RatePerSecond < s.limit.RatePerSecond || l.Burst < s.limit.Burst {
			s.current, s.earlier, s.taken = 0, 0, [2]int{}
			s.loweredAt = now
		}
		if l != s.limit {
			s.refuseUntil = 0
		}
		s.limit = l
	}
	for name := range h.stocks {
		if _, kept := limits[name]; !kept {
			delete(h.stocks, name)
		}
	}
	h.active = filterActive(h.active, func(s *stock) bool { return h.stocks[s.name] == s })
}

// Take takes an operation of a workspace. A workspace without a limit may always
// run operations.
func (h *Holder) Take(now time.Duration, workspace string) (Permit, Verdict) {
	s := h.stocks[workspace]
	if s == nil {
		return Permit{}, Taken
	}
	h.refresh(now, s)
	h.activate(s)
	s.noteDemand(now)
	return h.take(now, s)
}

// TakeAgain is Take for a request that has waited since an earlier Take.
func (h *Holder) TakeAgain(now time.Duration, workspace string) (Permit, Verdict) {
	s := h.stocks[workspace]
	if s == nil {
		return Permit{}, Taken
	}
	h.refresh(now, s)
	return h.take(now, s)
}

func (h *Holder) take(now time.Duration, s *stock) (Permit, Verdict) {
	switch {
	case s.earlier > 0:
		s.earlier--
		s.takenTotal++
		return Permit{Workspace: s.name}, Taken
	case s.current > 0:
		s.current--
		s.taken[0]++
		s.takenTotal++
		return Permit{Workspace: s.name, generation: s.generation, period: s.period, returnable: true}, Taken
	case now < s.refuseUntil:
		s.refusedTotal++
		return Permit{}, Refused
	}
	return Permit{}, Wait
}

// Return gives back an operation that no instance has run. It is lost if it was
// taken too long ago.
func (h *Holder) Return(now time.Duration, p Permit) {
	if s := h.forget(now, p); s != nil {
		s.current++
		s.takenTotal--
	}
}

// Finish records that an operation will not be returned.
func (h *Holder) Finish(now time.Duration, p Permit) { h.forget(now, p) }

// forget stops counting an operation as one that may be returned. It returns nil
// if the operation cannot be returned any more.
func (h *Holder) forget(now time.Duration, p Permit) *stock {
	s := h.stocks[p.Workspace]
	if s == nil || !p.returnable {
		return nil
	}
	h.refresh(now, s)
	age := s.period - p.period
	if p.generation != s.generation || age < 0 || age > 1 || s.taken[age] == 0 {
		return nil
	}
	s.taken[age]--
	return s
}

// AddWaiting changes the number of requests of a workspace that wait.
func (h *Holder) AddWaiting(workspace string, delta int) {
	if s := h.stocks[workspace]; s != nil {
		s.waiting = max(0, s.waiting+delta)
	}
}

// RetryAfter returns how long requests of a workspace are still refused.
func (h *Holder) RetryAfter(now time.Duration, workspace string) time.Duration {
	if s := h.stocks[workspace]; s != nil {
		return max(0, s.refuseUntil-now)
	}
	return 0
}

// NextCall returns when to call the leader, or a moment in the far future if
// there is nothing to report.
func (h *Holder) NextCall(now time.Duration) time.Duration {
	interval := never
	for _, s := range h.active {
		h.refresh(now, s)
		interval = min(interval, s.callInterval(now))
	}
	if interval == never || !h.called {
		return h.orNow(interval, now)
	}
	return h.calledAt + interval
}

// orNow returns now unless interval is never.
func (h *Holder) orNow(interval, now time.Duration) time.Duration {
	if interval == never {
		return never
	}
	return now
}

// callInterval returns the time between two calls that the stock requires.
func (s *stock) callInterval(now time.Duration) time.Duration {
	switch {
	case s.waiting > 0 && s.starved:
		return starvedInterval
	case s.waiting > 0 && now >= s.refuseUntil:
		return urgentInterval
	case now >= s.refuseUntil && 2*s.current < s.target(now):
		return refillInterval
	case s.held() != s.reported && s.refused && now < s.refuseUntil+limitedFor:
		return limitedInterval
	case s.held() != s.reported || s.surplus(now) > 0:
		return reportInterval
	case s.held() > 0:
		return renewInterval
	}
	return never
}

// Compose builds the next report. Stock that is not needed is given back.
func (h *Holder) Compose(now time.Duration) *Report {
	h.sequence++
	h.calledAt, h.called = now, true
	r := &Report{
		Host: h.host, Incarnation: h.incarnation, Sequence: h.sequence,
		Leadership: h.leadership, Applied: h.applied,
	}
	h.active = filterActive(h.active, func(s *stock) bool {
		h.refresh(now, s)
		e := s.entry(now)
		if e != (Entry{Workspace: s.name}) {
			r.Entries = append(r.Entries, e)
			return true
		}
		return s.reported != 0 || now-s.demandAt < idleAfter
	})
	return r
}

// entry returns the entry of the stock in a report.
func (s *stock) entry(now time.Duration) Entry {
	e := Entry{Workspace: s.name, GivenBack: s.surplus(now)}
	s.current -= e.GivenBack
	e.Held = s.held()
	if now >= s.refuseUntil {
		e.Waiting = s.waiting
		e.Wanted = max(0, s.target(now)-s.current)
	}
	return e
}

// Apply applies the answer to a report that was composed at sentAt. The answer
// to a report that was given up must not be applied.
func (h *Holder) Apply(sentAt, now time.Duration, r *Report, a *Answer) {
	h.lapse(now)
	h.changeLeader(a.Leadership)
	h.applied = r.Sequence
	if until := sentAt + HolderExpiry; now < until {
		h.valid, h.validUntil = true, until
	}
	for i := range r.Entries {
		e := &r.Entries[i]
		if s := h.stocks[e.Workspace]; s != nil && r.Leadership == a.Leadership {
			h.refresh(now, s)
			s.reported = e.Held
		}
		if s := h.stocks[e.Workspace]; s != nil {
			s.starved = e.Waiting > 0
		}
	}
	h.markReported(r)
	for _, g := range a.Grants {
		h.applyGrant(sentAt, now, g)
	}
}

// markReported clears what the leader counted of workspaces that the report left
// out.
func (h *Holder) markReported(r *Report) {
	for _, s := range h.active {
		listed := false
		for i := range r.Entries {
			listed = listed || r.Entries[i].Workspace == s.name
		}
		if !listed {
			s.reported = 0
		}
	}
}

// applyGrant adds a grant to the stock of its workspace.
func (h *Holder) applyGrant(sentAt, now time.Duration, g Grant) {
	s := h.stocks[g.Workspace]
	if s == nil {
		return
	}
	h.refresh(now, s)
	h.activate(s)
	s.reported += g.Granted
	s.starved = s.starved && g.Granted == 0 && g.RetryMillis == 0
	if h.valid && sentAt >= s.loweredAt {
		s.current += g.Granted
	}
	if g.RetryMillis > 0 {
		s.refuseUntil = now + time.Duration(g.RetryMillis)*time.Millisecond
		s.refused = true
	}
}

// changeLeader keeps the stocks of the previous leader until they expire. Those
// of leaders before it are dropped.
func (h *Holder) changeLeader(leadership uint64) {
	if leadership == h.leadership {
		return
	}
	h.leadership = leadership
	h.earlierUntil, h.earlierGeneration = 0, h.generation
	if h.valid {
		h.earlierUntil = h.validUntil
	}
	h.generation++
	h.valid = false
}

// lapse voids all stocks if no leader has answered for HolderExpiry.
func (h *Holder) lapse(now time.Duration) {
	if h.valid && now >= h.validUntil {
		h.valid = false
		h.generation++
	}
}

// refresh brings a stock up to date: its generation and its counting period.
func (h *Holder) refresh(now time.Duration, s *stock) {
	h.lapse(now)
	if s.generation != h.generation {
		s.earlier = 0
		if s.generation == h.earlierGeneration {
			s.earlier = s.current
			s.earlierGeneration = s.generation
		}
		s.generation = h.generation
		s.current, s.taken, s.reported = 0, [2]int{}, 0
	}
	if s.earlier > 0 && (now >= h.earlierUntil || s.earlierGeneration != h.earlierGeneration) {
		s.earlier = 0
	}
	switch period := int64(now / returnPeriod); period - s.period {
	case 0:
	case 1:
		s.period, s.taken = period, [2]int{0, s.taken[0]}
	default:
		s.period, s.taken = period, [2]int{}
	}
}

// held returns what the leader must count as not used.
func (s *stock) held() int { return s.current + s.taken[0] + s.taken[1] }

// target returns how many operations the host should have in stock.
func (s *stock) target(now time.Duration) int {
	if now-s.demandAt >= idleAfter {
		return 0
	}
	// The latest request alone, which counts as one, needs no stock.
	return int(max(0, s.demandNow(now)*stockTime.Seconds()-0.5))
}

// surplus returns how many operations should be given back.
func (s *stock) surplus(now time.Duration) int {
	switch target := s.target(now); {
	case now-s.demandAt >= idleAfter && s.waiting == 0:
		return s.current
	case s.current > 2*target+2:
		return s.current - target
	}
	return 0
}

func (s *stock) noteDemand(now time.Duration) {
	s.demand = s.demandNow(now) + 1/demandDecay.Seconds()
	s.demandAt = now
}

func (s *stock) demandNow(now time.Duration) float64 {
	return s.demand * math.Exp(-float64(now-s.demandAt)/float64(demandDecay))
}

func (h *Holder) activate(s *stock) {
	if !s.active {
		s.active = true
		h.active = append(h.active, s)
	}
}

// filterActive returns the stocks for which keep returns true and marks the
// others as not active.
func filterActive(stocks []*stock, keep func(*stock) bool) []*stock {
	kept := stocks[:0]
	for _, s := range stocks {
		if keep(s) {
			kept = append(kept, s)
			continue
		}
		s.active = false
	}
	clear(stocks[len(kept):])
	return kept
}

// Totals holds the operations of one workspace at this host since its start.
type Totals struct {
	Workspace      string
	Taken, Refused uint64
}

// Totals returns the totals of the workspaces that had requests at this host, in
// no particular order.
func (h *Holder) Totals() []Totals {
	var out []Totals
	for _, s := range h.stocks {
		if s.takenTotal+s.refusedTotal > 0 {
			out = append(out, Totals{Workspace: s.name, Taken: s.takenTotal, Refused: s.refusedTotal})
		}
	}
	return out
}
