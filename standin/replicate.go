package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/amaranthweir/amaranthweir/internal/table"
)

const (
	// lookInterval is how often an instance asks its fellows for the primary.
	lookInterval = 50 * time.Millisecond
	// askTimeout bounds one question to a fellow.
	askTimeout = 300 * time.Millisecond
	// pullWait is how long a primary keeps a replica waiting for entries.
	pullWait = 200 * time.Millisecond
	// pullTimeout bounds one pull.
	pullTimeout = time.Second
)

// fellowHeader names the control address of the instance that asks.
const fellowHeader = "X-Standin-Control-Address"

// peerStatus is what an instance tells its fellows.
type peerStatus struct {
	Address string // its control address, set by who asks
	State   state
}

// replicate pulls from the primary while the instance is a replica, and makes
// it a replica when a fellow is the primary of a later term.
func (in *Instance) replicate() {
	for sleep(in.ctx, lookInterval) == nil {
		if in.faults.thawed(in.ctx) != nil {
			return
		}
		primary := in.findPrimary()
		if primary == "" {
			continue
		}
		in.followUntil(primary, time.Now().Add(lookInterval))
	}
}

// findPrimary returns the control address of the fellow that is the primary
// of the highest term, if this term is not below that of the instance.
func (in *Instance) findPrimary() string {
	best := peerStatus{}
	for _, p := range in.askPeers() {
		if p.State.Primary && p.State.LastTerm > best.State.LastTerm {
			best = p
		}
	}
	own := in.store.state()
	if own.Primary {
		in.store.mu.Lock()
		defer in.store.mu.Unlock()
		in.store.demoteBelow(best.State.LastTerm)
		return ""
	}
	if best.State.LastTerm < own.LastTerm {
		return ""
	}
	return best.Address
}

// askPeers returns the answers of the fellows that answer in time.
func (in *Instance) askPeers() []peerStatus {
	in.mu.Lock()
	peers := in.peers
	in.mu.Unlock()
	ctx, cancel := context.WithTimeout(in.ctx, askTimeout)
	defer cancel()
	answers := make([]peerStatus, len(peers))
	var wait sync.WaitGroup
	for i, address := range peers {
		wait.Go(func() {
			var st state
			if in.ask(ctx, address, "/peer/status", nil, &st) == nil {
				answers[i] = peerStatus{address, st}
			}
		})
	}
	wait.Wait()
	return answers
}

// ask sends a question to a fellow.
func (in *Instance) ask(ctx context.Context, address, path string, query url.Values, answer any) error {
	if err := in.faults.pass(ctx, address); err != nil {
		return err
	}
	u := url.URL{Scheme: "http", Host: address, Path: path, RawQuery: query.Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return err
	}
	req.Header.Set(fellowHeader, in.ControlAddress())
	resp, err := in.client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("fellow %s: %s", address, resp.Status)
	}
	if err := json.NewDecoder(resp.Body).Decode(answer); err != nil {
		return err
	}
	return in.faults.pass(ctx, address)
}

// followUntil pulls from the primary until a pull fails, and at least once.
func (in *Instance) followUntil(primary string, end time.Time) {
	for {
		if in.pullOnce(primary) != nil || time.Now().After(end) {
			return
		}
	}
}

func (in *Instance) pullOnce(primary string) error {
	ctx, cancel := context.WithTimeout(in.ctx, pullTimeout)
	defer cancel()
	own := in.store.state()
	query := url.Values{
		"term":      {strconv.FormatUint(uint64(own.Mark.Term), 10)},
		"position":  {strconv.FormatUint(uint64(own.Mark.Position), 10)},
		"last_term": {strconv.FormatUint(uint64(own.LastTerm), 10)},
		"lag_ns":    {strconv.FormatInt(in.lag.Load(), 10)},
	}
	var b batch
	if err := in.ask(ctx, primary, "/peer/log", query, &b); err != nil {
		return err
	}
	in.store.follow(b, time.Now())
	return nil
}

// servePull answers the pull of a replica.
func (in *Instance) servePull(w http.ResponseWriter, r *http.Request) {
	number := func(name string) uint64 {
		n, _ := strconv.ParseUint(r.FormValue(name), 10, 64) // a fellow sends numbers
		return n
	}
	mark := table.Mark{Term: table.Term(number("term")), Position: table.Position(number("position"))}
	lastTerm, lag := table.Term(number("last_term")), time.Duration(number("lag_ns"))
	end := time.Now().Add(pullWait)
	for {
		now := time.Now()
		b, ready, wait, changed, err := in.store.pull(mark, lastTerm, lag, now)
		if err != nil {
			http.Error(w, err.Error(), http.StatusConflict)
			return
		}
		if ready || !now.Before(end) {
			in.answer(w, r, b)
			return
		}
		if wait == 0 || wait > end.Sub(now) {
			wait = end.Sub(now)
		}
		timer := time.NewTimer(wait)
		select {
		case <-changed:
		case <-timer.C:
		case <-r.Context().Done():
			timer.Stop()
			return
		}
		timer.Stop()
	}
}
