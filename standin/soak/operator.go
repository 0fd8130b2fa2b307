package soak

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/amaranthweir/amaranthweir/internal/api"
	"github.com/amaranthweir/amaranthweir/internal/config"
	"github.com/amaranthweir/amaranthweir/internal/errkind"
	"github.com/amaranthweir/amaranthweir/internal/table"
	"github.com/amaranthweir/amaranthweir/standin/deploy"
)

// applyAttempts is how many hosts an operator asks before it gives up.
const applyAttempts = 3

// operator applies documents and asks for planned changes of primary.
type operator struct {
	soak *run

	mu     sync.Mutex
	newest uint64            // highest version known to be in force
	sent   map[uint64][]byte // a document that was accepted, by version
}

func newOperator(r *run) *operator {
	return &operator{soak: r, newest: 1, sent: map[uint64][]byte{1: r.document(1, "")}}
}

// send sends a document until a host answers whether it is in force, at applyAttempts
// hosts at most.
func (o *operator) send(ctx context.Context, number int, src []byte, version uint64) {
	hosts := o.soak.cluster.Hosts
	for attempt := range applyAttempts {
		if !o.apply(ctx, hosts[(number+attempt)%len(hosts)], src, version) || ctx.Err() != nil {
			return
		}
	}
}

// apply sends a document to one host and records the answer. It reports whether the
// operator should send it again.
func (o *operator) apply(ctx context.Context, h deploy.Host, src []byte, version uint64) (again bool) {
	c := Change{Begin: o.soak.recorder.now(), Version: version, Digest: config.DocumentDigest(src)}
	_, err := h.API.Apply(ctx, src)
	c.End = o.soak.recorder.now()
	var remote *api.RemoteError
	switch {
	case err == nil:
		c.Result = ChangeAccepted
		o.learn(version, src)
	case errors.As(err, &remote) && remote.Body.InForce != nil:
		c.Result = ChangeConflict
		c.InForceVersion, c.InForceDigest = remote.Body.InForce.Version, remote.Body.InForce.Digest
		o.learn(c.InForceVersion, nil)
	case remote != nil && remote.Body.Effect == errkind.NotRun.String():
		return true
	default:
		c.Result, again = ChangeUnknown, true
	}
	o.soak.recorder.add(func(hist *History) { hist.Changes = append(hist.Changes, c) })
	return again
}

// learn notes a version that is in force and, if known, its text.
func (o *operator) learn(version uint64, src []byte) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.newest = max(o.newest, version)
	if src != nil {
		o.sent[version] = src
	}
}

// next returns the version that follows the newest one.
func (o *operator) next() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.newest + 1
}

// earlier returns the oldest document that was accepted.
func (o *operator) earlier() (src []byte, version uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	version = o.newest
	for v := range o.sent {
		version = min(version, v)
	}
	if o.sent[version] == nil {
		version = 1
	}
	return o.sent[version], version
}

// run carries out one event. The number of the event selects the host that is asked
// first, and distinguishes documents of one version.
func (o *operator) run(ctx context.Context, number int, e Event) error {
	hosts := o.soak.cluster.Hosts
	switch e.Kind {
	case SwitchOver:
		// A refusal is no fault: the group may be without a primary.
		_, _ = hosts[number%len(hosts)].API.SwitchOver(ctx, api.SwitchOver{Group: table.GroupName(e.Target)})
	case ApplyRepeat:
		src, version := o.earlier()
		o.send(ctx, number, src, version)
	case ApplyRace:
		version := o.next()
		var wait sync.WaitGroup
		for side := range 2 {
			wait.Go(func() {
				o.send(ctx, number+side, o.soak.document(version, fmt.Sprintf("mark-%d-%d", number, side)), version)
			})
		}
		wait.Wait()
	default:
		version := o.next()
		o.send(ctx, number, o.soak.document(version, fmt.Sprintf("mark-%d", number)), version)
	}
	return nil
}

const (
	service = "soak"
	// The classes of the document. Writes of classOnce run at most once; reads of
	// classCurrent must be current, those of classStale may be staleness old.
	classOnce       = "once"
	classRepeatable = "repeatable"
	classCurrent    = "current"
	classStale      = "stale"
	// staleness is how old the reads of classStale may be.
	staleness = time.Second
)

// document returns the text of a version of the service document. The mark is the
// name of a further class, so that documents of one version can differ.
func (r *run) document(version uint64, mark string) []byte {
	var groups []map[string]any
	for _, g := range r.size.Groups {
		groups = append(groups, map[string]any{"name": g, "instances": instancesPerGroup})
	}
	class := func(name, access string, more map[string]any) map[string]any {
		c := map[string]any{"name": name, "access": access, "groups": r.size.Groups, "deadline": "3s"}
		for field, value := range more {
			c[field] = value
		}
		return c
	}
	classes := []map[string]any{
		class(classOnce, "write", map[string]any{"repeatable": false}),
		class(classRepeatable, "write", map[string]any{"repeatable": true, "rank": "urgent"}),
		class(classCurrent, "read", nil),
		class(classStale, "read", map[string]any{"staleness": staleness.String(), "rank": "background"}),
	}
	if mark != "" {
		classes = append(classes, class(mark, "read", nil))
	}
	src, err := json.Marshal(map[string]any{
		"service": service, "version": version, "groups": groups, "classes": classes, "default_class": classCurrent,
	})
	if err != nil {
		panic(err) // maps of strings and numbers always encode
	}
	return src
}
