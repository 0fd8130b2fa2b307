package control

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/amaranthweir/amaranthweir/internal/errkind"
	"github.com/amaranthweir/amaranthweir/internal/table"
	"gotest.tools/v3/assert"
)

func beginTerm(term table.Term, candidate table.InstanceID) Command {
	return Command{BeginTerm: &BeginTerm{Group: "g", Term: term, Candidate: candidate}}
}

func setPrimary(term table.Term, primary table.InstanceID, start table.Position) Command {
	return Command{SetPrimary: &SetPrimary{Group: "g", Term: term, Primary: primary, TermStart: start}}
}

func assignOwner(instance table.InstanceID, host table.HostID, epoch table.Epoch) Command {
	return Command{AssignOwners: &AssignOwners{Ownerships: []table.Ownership{{Instance: instance, Host: host, Epoch: epoch}}}}
}

func setKeys(version uint64) Command {
	return Command{SetKeys: &SetKeys{Version: version, Keys: [][]byte{{byte(version)}}}}
}

func TestApply(t *testing.T) {
	badDigest := put("s", 1, "a")
	badDigest.PutDocument.Digest = "00"
	cases := map[string]struct {
		before  []Command
		command Command
		refusal Refusal
		changes uint64
	}{
		"first document":       {nil, put("s", 1, "a"), Accepted, 1},
		"next document":        {[]Command{put("s", 1, "a")}, put("s", 2, "b"), Accepted, 1},
		"same document":        {[]Command{put("s", 1, "a")}, put("s", 1, "a"), Accepted, 0},
		"resent after a later": {[]Command{put("s", 1, "a"), put("s", 2, "b")}, put("s", 1, "a"), Accepted, 0},
		"other document":       {[]Command{put("s", 1, "a")}, put("s", 1, "b"), RefusedConflict, 0},
		"old document":         {[]Command{put("s", 1, "a"), put("s", 2, "b")}, put("s", 1, "c"), RefusedOld, 0},
		"version zero":         {nil, put("s", 0, "a"), RefusedOld, 0},
		"version gap":          {[]Command{put("s", 1, "a")}, put("s", 3, "c"), RefusedGap, 0},
		"wrong digest":         {nil, badDigest, RefusedInvalid, 0},
		"new group":            {nil, beginTerm(4, "i1"), Accepted, 1},
		"higher term":          {[]Command{beginTerm(4, "i1")}, beginTerm(6, "i2"), Accepted, 1},
		"same term":            {[]Command{beginTerm(4, "i1")}, beginTerm(4, "i2"), RefusedConflict, 0},
		"lower term":           {[]Command{beginTerm(4, "i1")}, beginTerm(3, "i2"), RefusedOld, 0},
		"no candidate":         {nil, beginTerm(4, ""), RefusedInvalid, 0},
		"promoted":             {[]Command{beginTerm(4, "i1")}, setPrimary(4, "i1", 9), Accepted, 1},
		"promoted again":       {[]Command{beginTerm(4, "i1"), setPrimary(4, "i1", 9)}, setPrimary(4, "i1", 9), Accepted, 0},
		"promoted elsewhere":   {[]Command{beginTerm(4, "i1"), setPrimary(4, "i1", 9)}, setPrimary(4, "i1", 8), RefusedConflict, 0},
		"not the candidate":    {[]Command{beginTerm(4, "i1")}, setPrimary(4, "i2", 9), RefusedInvalid, 0},
		"promoted in old term": {[]Command{beginTerm(4, "i1")}, setPrimary(3, "i1", 9), RefusedOld, 0},
		"unknown group":        {nil, setPrimary(1, "i1", 9), RefusedGap, 0},
		"first owner":          {nil, assignOwner("i", "h1", 1), Accepted, 1},
		"next owner":           {[]Command{assignOwner("i", "h1", 1)}, assignOwner("i", "h2", 2), Accepted, 1},
		"same epoch":           {[]Command{assignOwner("i", "h1", 1)}, assignOwner("i", "h2", 1), RefusedConflict, 0},
		"epoch gap":            {[]Command{assignOwner("i", "h1", 1)}, assignOwner("i", "h2", 3), RefusedGap, 0},
		"first keys":           {nil, setKeys(1), Accepted, 1},
		"same keys version":    {[]Command{setKeys(1)}, setKeys(1), RefusedConflict, 0},
		"keys version gap":     {[]Command{setKeys(1)}, setKeys(3), RefusedGap, 0},
		"empty command":        {nil, Command{}, RefusedInvalid, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := NewState()
			var first []Result
			for _, before := range c.before {
				first = append(first, s.Apply(before))
			}
			revision := s.Revision()
			view, before := s.View(), fmt.Sprint(*s.View())
			r := s.Apply(c.command)
			assert.Equal(t, r.Refusal, c.refusal)
			assert.Equal(t, s.Revision(), revision+c.changes)
			assert.Equal(t, r.Err() == nil, c.refusal == Accepted)
			assert.Equal(t, fmt.Sprint(*view), before, "a View must be immutable")
			if c.refusal == Accepted && c.changes == 0 {
				// A resent document gets its first revision, a repeated SetPrimary
				// the current one.
				assert.Equal(t, r.Revision, max(first[0].Revision, uint64(len(c.before))*boolToOne(c.command.SetPrimary != nil)))
			}
		})
	}
}

func boolToOne(b bool) uint64 {
	if b {
		return 1
	}
	return 0
}

func TestRefusalNamesWhatIsInForce(t *testing.T) {
	s := NewState()
	accepted := put("s", 1, "a")
	s.Apply(accepted)
	err := s.Apply(put("s", 1, "b")).Err()
	assert.Assert(t, errkind.Is(err, errkind.ConfigConflict))
	assert.ErrorContains(t, err, "version 1 with digest "+accepted.PutDocument.Digest)
}

// randomCommand returns a random command. Names and versions come from small
// ranges, so that a part of the commands is accepted.
func randomCommand(rng *rand.Rand) Command {
	n := rng.Uint64N(12)
	name := fmt.Sprint(rng.IntN(3))
	switch rng.IntN(5) {
	case 0:
		return put(name, n, fmt.Sprint(rng.IntN(2)))
	case 1:
		return beginTerm(table.Term(n), "i1")
	case 2:
		return setPrimary(table.Term(n), "i1", 7)
	case 3:
		return assignOwner(table.InstanceID(name), "h1", table.Epoch(n))
	default:
		return setKeys(n)
	}
}

// TestStateIsDeterministic applies the same random commands to two states, one
// of which is restored from snapshots of the other at random. A view follows by
// deltas. Both states and the view must stay equal.
func TestStateIsDeterministic(t *testing.T) {
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 0))
		a, b, follower := NewState(), NewState(), NewView()
		for range 400 {
			command := randomCommand(rng)
			assert.DeepEqual(t, a.Apply(command), b.Apply(command))
			snapshot, err := a.Snapshot()
			assert.NilError(t, err)
			if rng.IntN(20) == 0 {
				b = NewState()
				assert.NilError(t, b.Restore(snapshot))
			}
			if rng.IntN(5) == 0 {
				delta, err := a.View().EncodeDelta(follower.Revision)
				assert.NilError(t, err)
				follower, err = follower.ApplyDelta(delta)
				assert.NilError(t, err)
				want, _ := a.View().EncodeDelta(0)
				got, _ := follower.EncodeDelta(0)
				assert.Assert(t, bytes.Equal(want, got), "seed %d", seed)
			}
		}
	}
}

func TestDeltas(t *testing.T) {
	s := NewState()
	s.Apply(put("s", 1, "a"))
	first := s.View()
	oldDelta, _ := first.EncodeDelta(0)
	for version := uint64(2); version <= 3*minKeptChanges; version++ {
		s.Apply(put("s", version, "a"))
	}
	last := s.View()
	_, err := last.ApplyDelta(oldDelta)
	assert.Assert(t, errors.Is(err, ErrLowerRevision))
	lastDelta, _ := last.EncodeDelta(last.Revision - 1)
	_, err = first.ApplyDelta(lastDelta)
	assert.Assert(t, errors.Is(err, ErrDeltaGap))
	full, _ := last.EncodeDelta(first.Revision)
	next, err := first.ApplyDelta(full)
	assert.NilError(t, err)
	assert.Equal(t, next.Revision, last.Revision)
	same, err := next.ApplyDelta(full)
	assert.NilError(t, err)
	assert.Equal(t, same, next)
	_, err = first.ApplyDelta([]byte("{"))
	assert.Assert(t, err != nil)
}
