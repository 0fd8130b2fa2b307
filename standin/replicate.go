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
	// primaryPollInterval is how often an instance polls its peers for the primary.
	primaryPollInterval = 50 * time.Millisecond
	// peerRequestTimeout bounds the status requests to all peers, and the time to
	// read the headers of a request on the control port.
	peerRequestTimeout = 300 * time.Millisecond
	// maxPullWait is how long a primary waits for new entries before it answers
	// a pull with an empty batch.
	maxPullWait = 200 * time.Millisecond
	// pullTimeout bounds the request of one pull.
	pullTimeout = time.Second
)

// peerAddressHeader is the header with the control address of the requesting
// instance.
const peerAddressHeader = "X-Standin-Control-Address"

// peerStatus is the state that a peer reported.
type peerStatus struct {
	Address string // the control address of the peer
	State   state
}

// replicate pulls entries from the primary while the instance is a replica, and
// demotes the instance when a peer is the primary of a later term.
func (in *Instance) replicate() {
	for sleep(in.ctx, primaryPollInterval) == nil {
		if in.faults.waitUnfrozen(in.ctx) != nil {
			return
		}
		primary := in.findPrimary()
		if primary == "" {
			continue
		}
		in.pullUntil(primary, time.Now().Add(primaryPollInterval))
	}
}

// findPrimary returns the control address of the peer that is the primary of the
// highest term. It returns "" if there is none, if that term is below the last
// term of the instance, or if the instance is a primary itself. In the last case it
// demotes the instance if a peer is the primary of a later term.
func (in *Instance) findPrimary() string {
	best := peerStatus{}
	for _, p := range in.queryPeers() {
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

// queryPeers requests the state of all peers. The element of a peer that does not
// answer in time is zero.
func (in *Instance) queryPeers() []peerStatus {
	in.mu.Lock()
	peers := in.peers
	in.mu.Unlock()
	ctx, cancel := context.WithTimeout(in.ctx, peerRequestTimeout)
	defer cancel()
	answers := make([]peerStatus, len(peers))
	var wait sync.WaitGroup
	for i, address := range peers {
		wait.Go(func() {
			var st state
			if in.queryPeer(ctx, address, "/peer/status", nil, &st) == nil {
				answers[i] = peerStatus{address, st}
			}
		})
	}
	wait.Wait()
	return answers
}

// queryPeer sends a GET request to the peer at address and decodes its JSON
// answer. While a fault stops the traffic with the peer, queryPeer blocks, both
// before the request and before it returns the answer.
func (in *Instance) queryPeer(ctx context.Context, address, path string, query url.Values, answer any) error {
	if err := in.faults.waitUnblocked(ctx, address); err != nil {
		return err
	}
	u := url.URL{Scheme: "http", Host: address, Path: path, RawQuery: query.Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return err
	}
	req.Header.Set(peerAddressHeader, in.ControlAddress())
	resp, err := in.client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("peer %s: %s", address, resp.Status)
	}
	if err := json.NewDecoder(resp.Body).Decode(answer); err != nil {
		return err
	}
	return in.faults.waitUnblocked(ctx, address)
}

// pullUntil pulls from the primary until a pull fails or end has passed, and at
// least once.
func (in *Instance) pullUntil(primary string, end time.Time) {
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
	if err := in.queryPeer(ctx, primary, "/peer/log", query, &b); err != nil {
		return err
	}
	in.store.applyBatch(b, time.Now())
	return nil
}

// servePull answers the pull of a replica. Without new entries it waits for
// maxPullWait (long polling).
func (in *Instance) servePull(w http.ResponseWriter, r *http.Request) {
	number := func(name string) uint64 {
		n, _ := strconv.ParseUint(r.FormValue(name), 10, 64) // peers send valid numbers only
		return n
	}
	mark := table.Mark{Term: table.Term(number("term")), Position: table.Position(number("position"))}
	lastTerm, lag := table.Term(number("last_term")), time.Duration(number("lag_ns"))
	end := time.Now().Add(maxPullWait)
	for {
		now := time.Now()
		b, ready, wait, changed, err := in.store.pull(mark, lastTerm, lag, now)
		if err != nil {
			http.Error(w, err.Error(), http.StatusConflict)
			return
		}
		if ready || !now.Before(end) {
			in.respondToPeer(w, r, b)
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
