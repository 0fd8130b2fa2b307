package admission

import "time"

const (
	// shareMargin is the factor by which the slot time of a workspace may exceed its
	// fair share in the long run before the workspace loses the precedence of its
	// rank. The shares of two workspaces of the same size differ by chance.
	shareMargin = 1.2
	// shareBurst is the slot time that a workspace may use at once beyond its fair
	// share. It covers a few requests that arrive together.
	shareBurst = 200 * time.Millisecond
	// shareWindow is how long a workspace can save up its fair share.
	shareWindow = time.Second
	// shareEntryTTL is how long an unused entry is kept.
	shareEntryTTL = 10 * time.Second
)

// shares accounts for the slot time that each workspace receives in all ranks. Where
// workspaces compete, one that has used up its fair share is served only when no
// other has queued work that can start. Fair shares of the slots are proportional to
// the weights of the workspaces, and what one does not use goes on to the others.
type shares struct {
	weights     map[string]float64
	totalWeight float64
	slots       int
	byName      map[string]*share
	waiting     int           // workspaces with queued requests
	work        time.Duration // expected service time of all queued requests
	sweptAt     time.Duration
}

// share is the account of one workspace.
type share struct {
	credit    float64 // slot time left, in nanoseconds; negative beyond the fair share
	updatedAt time.Duration
	queued    int
	work      time.Duration // expected service time of the queued requests
	running   int
}

// setWeights replaces the weights. A workspace without a weight has the mean weight.
func (s *shares) setWeights(weights map[string]float64) {
	s.weights = weights
	s.totalWeight = 0
	for _, w := range weights {
		s.totalWeight += w
	}
}

// rate returns the fair share of a workspace in slots, with the margin.
func (s *shares) rate(workspace string) float64 {
	part := 1 / float64(max(1, len(s.weights), len(s.byName)))
	if weight, ok := s.weights[workspace]; ok {
		part = weight / s.totalWeight
	}
	return shareMargin * float64(s.slots) * part
}

// get returns the account of a workspace, with its credit at now.
func (s *shares) get(now time.Duration, workspace string) *share {
	s.sweep(now)
	a := s.byName[workspace]
	if a == nil {
		if s.byName == nil {
			s.byName = map[string]*share{}
		}
		a = &share{credit: float64(shareBurst), updatedAt: now}
		s.byName[workspace] = a
	}
	rate := s.rate(workspace)
	gain := rate * float64(max(0, now-a.updatedAt))
	a.credit = min(a.credit+gain, float64(shareBurst)+rate*float64(shareWindow))
	a.updatedAt = now
	return a
}

// sweep removes unused accounts once per shareEntryTTL.
func (s *shares) sweep(now time.Duration) {
	if now-s.sweptAt < shareEntryTTL {
		return
	}
	s.sweptAt = now
	for name, a := range s.byName {
		if a.queued == 0 && a.running == 0 && now-a.updatedAt >= shareEntryTTL {
			delete(s.byName, name)
		}
	}
}

func (s *shares) enqueue(now time.Duration, r *Request) {
	a := s.get(now, r.Workspace)
	r.share = a
	if a.queued == 0 {
		s.waiting++
	}
	a.queued++
	a.work += r.cost
	s.work += r.cost
}

func (s *shares) dequeue(r *Request) {
	a := r.share
	a.queued--
	a.work -= r.cost
	s.work -= r.cost
	if a.queued == 0 {
		s.waiting--
	}
}

// started charges the expected cost of r.
func (s *shares) started(r *Request) {
	r.share.running++
	r.share.credit -= float64(r.cost)
}

// finished corrects the charge for r to the service time ran.
func (s *shares) finished(r *Request, ran time.Duration) {
	r.share.running--
	r.share.credit -= float64(ran - r.cost)
}

// contended reports whether more than one workspace has queued requests.
func (s *shares) contended() bool { return s.waiting > 1 }

// isAhead reports whether a workspace has used up its fair share.
func (s *shares) isAhead(now time.Duration, workspace string) bool {
	return s.get(now, workspace).credit < 0
}
