package soak

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/amaranthweir/amaranthweir/internal/api"
	"github.com/amaranthweir/amaranthweir/standin/deploy"
)

const (
	// observeInterval is the time between two questions to a host.
	observeInterval = 200 * time.Millisecond
	// roleInterval is the time between two questions to an instance about its role.
	roleInterval = 50 * time.Millisecond
	// observeTimeout bounds one question.
	observeTimeout = time.Second
)

// startObservers starts to ask each host for the document in force and each instance
// for its role and its work, at their own addresses, until ctx ends.
func startObservers(ctx context.Context, r *run) *observers {
	o := &observers{run: r}
	for _, h := range r.cluster.Hosts {
		o.running.Go(func() { o.repeat(ctx, observeInterval, func(ctx context.Context) { o.askHost(ctx, h) }) })
	}
	for _, u := range r.cluster.Upstreams {
		o.running.Go(func() { o.repeat(ctx, roleInterval, func(ctx context.Context) { o.askRole(ctx, u) }) })
		o.running.Go(func() { o.repeat(ctx, observeInterval, func(ctx context.Context) { o.askWork(ctx, u) }) })
	}
	return o
}

type observers struct {
	run     *run
	running sync.WaitGroup
}

func (o *observers) wait() { o.running.Wait() }

func (o *observers) repeat(ctx context.Context, interval time.Duration, ask func(context.Context)) {
	for deploy.Sleep(ctx, interval) == nil {
		askCtx, cancel := context.WithTimeout(ctx, observeTimeout)
		ask(askCtx)
		cancel()
	}
}

// askHost records the document that a host shows. No answer is no reading.
func (o *observers) askHost(ctx context.Context, h deploy.Host) {
	reading := Reading{Host: h.Name, Start: o.run.injector.startsOf(h.Name), Begin: o.run.recorder.now()}
	reading.Ready = getJSON(ctx, "http://"+h.HTTPAddress+api.PathReady, &struct{}{}) == nil
	st, err := h.API.Status(ctx)
	if err != nil || reading.Start != o.run.injector.startsOf(h.Name) {
		return
	}
	for _, d := range st.Documents {
		if d.Service == service {
			reading.Version, reading.Digest = d.Version, d.Digest
		}
	}
	o.run.recorder.add(func(hist *History) { hist.Readings = append(hist.Readings, reading) })
}

// askRole records the role and the term that an instance shows to its peers.
func (o *observers) askRole(ctx context.Context, u deploy.Upstream) {
	reading := RoleReading{Group: u.Group, Instance: u.Name, Begin: o.run.recorder.now()}
	var st struct {
		Primary  bool
		LastTerm uint64
	}
	if getJSON(ctx, "http://"+u.ControlAddress+"/peer/status", &st) != nil {
		return
	}
	reading.End, reading.Primary, reading.Term = o.run.recorder.now(), st.Primary, st.LastTerm
	o.run.recorder.add(func(hist *History) { hist.Roles = append(hist.Roles, reading) })
}

// askWork records how many statements an instance has run.
func (o *observers) askWork(ctx context.Context, u deploy.Upstream) {
	reading := WorkReading{Instance: u.Name, Begin: o.run.recorder.now()}
	var stats struct{ Finished int }
	if getJSON(ctx, "http://"+u.ControlAddress+"/stats", &stats) != nil {
		return
	}
	reading.Finished = stats.Finished
	o.run.recorder.add(func(hist *History) { hist.Work = append(hist.Work, reading) })
}

// getJSON sends a GET request and decodes the answer. It returns an error for a status
// other than 200.
func getJSON(ctx context.Context, url string, answer any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errNotOK
	}
	return json.NewDecoder(resp.Body).Decode(answer)
}

// errNotOK is the error of an answer with another status than 200.
var errNotOK = errors.New("the status of the answer is not 200")
