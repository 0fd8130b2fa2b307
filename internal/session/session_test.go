package session

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/amaranthweir/amaranthweir/internal/errkind"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

// The seed and the number of checks of the randomized tests make their result
// reproducible. Use -rapid.seed=N and -rapid.checks=N to choose other values.
const (
	defaultSeed   = "20261204"
	defaultChecks = "2000"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", defaultSeed)
		_ = flag.Set("rapid.checks", defaultChecks)
	}
	_ = flag.Set("rapid.nofailfile", "true")
	fmt.Println("rapid seed", flag.Lookup("rapid.seed").Value)
	os.Exit(m.Run())
}

func testKey(fill byte) []byte { return bytes.Repeat([]byte{fill}, MinKeyBytes) }

func keyring(t testing.TB, fills ...byte) *Keyring {
	var secrets [][]byte
	for _, fill := range fills {
		secrets = append(secrets, testKey(fill))
	}
	k, err := NewKeyring(secrets)
	assert.NilError(t, err)
	return k
}

func sampleToken() *Token {
	token := NewToken("ledger")
	token.Raise("ledger-2", table.Mark{Term: 3, Position: 1 << 40})
	token.Raise("ledger-1", table.Mark{Term: 1, Position: 7})
	return token
}

func TestTokenIsAcceptedByEveryHost(t *testing.T) {
	token := sampleToken()
	encoded := keyring(t, 1).Encode(token)
	decoded, err := keyring(t, 1).Decode("ledger", encoded)
	assert.NilError(t, err)
	assert.Equal(t, decoded.Service(), "ledger")
	mark, ok := decoded.Floor("ledger-2")
	assert.Assert(t, ok)
	assert.Equal(t, mark, table.Mark{Term: 3, Position: 1 << 40})
	_, ok = decoded.Floor("ledger-3")
	assert.Assert(t, !ok)
	assert.Equal(t, keyring(t, 1).Encode(decoded), encoded)
	assert.Assert(t, len(encoded) <= 80, len(encoded))

	empty, err := keyring(t, 1).Decode("ledger", keyring(t, 1).Encode(NewToken("ledger")))
	assert.NilError(t, err)
	assert.Equal(t, len(empty.floors), 0)
}

func TestRaiseIsOrderIndependent(t *testing.T) {
	for _, marks := range [][]table.Mark{
		{{Term: 1, Position: 5}, {Term: 1, Position: 9}, {Term: 2, Position: 7}},
		{{Term: 2, Position: 7}, {Term: 1, Position: 9}, {Term: 1, Position: 5}},
		{{Term: 1, Position: 9}, {Term: 2, Position: 7}, {Term: 1, Position: 5}},
	} {
		token := NewToken("s")
		for _, mark := range marks {
			token.Raise("g", mark)
		}
		assert.Equal(t, token.floors[0], floor{
			group: "g", mark: table.Mark{Term: 2, Position: 9}, olderMark: table.Mark{Term: 1, Position: 9},
		})
	}
}

func TestForgedTokensAreRejected(t *testing.T) {
	k := keyring(t, 1)
	good := k.Encode(sampleToken())
	bad := map[string]string{
		"appended":   good + "A",
		"doubled":    good + good,
		"line break": good[:8] + "\n" + good[8:],
		"padded":     good + "=",
		"too long":   strings.Repeat("A", MaxTokenBytes+1),
		"other key":  keyring(t, 2).Encode(sampleToken()),
	}
	for i := range len(good) {
		bad[fmt.Sprintf("cut at %d", i)] = good[:i]
		for flip := 1; flip < 256; flip++ {
			b := []byte(good)
			b[i] ^= byte(flip)
			bad[fmt.Sprintf("byte %d flipped by %d", i, flip)] = string(b)
		}
	}
	for name, encoded := range bad {
		_, err := k.Decode("ledger", encoded)
		assert.Assert(t, errkind.Is(err, errkind.TokenInvalid), name)
		assert.Equal(t, errkind.Of(err).Effect, errkind.NotRun)
	}
	for _, service := range []string{"orderdesk", "ledges", "ledge", ""} {
		_, err := k.Decode(service, good)
		assert.Assert(t, errkind.Is(err, errkind.TokenInvalid), service)
	}
}

func TestKeyRotation(t *testing.T) {
	old, both, swapped, next := keyring(t, 1), keyring(t, 1, 2), keyring(t, 2, 1), keyring(t, 2)
	for _, c := range []struct {
		name       string
		sign, read *Keyring
		ok         bool
	}{
		{"added, signed by the old key", both, old, true},
		{"added, old token read by a host that has the new key", old, both, true},
		{"moved to the front, read by a host that has not moved it yet", swapped, both, true},
		{"moved to the front, old token", old, swapped, true},
		{"removed, new token", swapped, next, true},
		{"removed, old token", old, next, false},
		{"new key before every host has it", swapped, old, false},
	} {
		_, err := c.read.Decode("ledger", c.sign.Encode(sampleToken()))
		assert.Equal(t, err == nil, c.ok, c.name)
	}
}

func TestKeyValidation(t *testing.T) {
	for name, secrets := range map[string][][]byte{
		"none":  nil,
		"short": {testKey(1), testKey(2)[1:]},
	} {
		_, err := NewKeyring(secrets)
		assert.Assert(t, errkind.Is(err, errkind.ConfigInvalid), name)
	}
	secrets, err := ParseKeys([]string{"00ff"})
	assert.NilError(t, err)
	assert.DeepEqual(t, secrets, [][]byte{{0, 255}})
	_, err = ParseKeys([]string{"xyz"})
	assert.Assert(t, errkind.Is(err, errkind.ConfigInvalid))
}

func TestLargestTokenFitsTheBound(t *testing.T) {
	token := NewToken("ledger")
	for i := range MaxGroups {
		name := table.GroupName(fmt.Sprintf("%0*d", maxNameBytes, i))
		assert.NilError(t, token.CheckCapacity(name))
		token.Raise(name, table.Mark{Term: ^table.Term(0), Position: ^table.Position(0)})
		assert.NilError(t, token.CheckCapacity(name))
	}
	assert.Assert(t, errkind.Is(token.CheckCapacity("one-more"), errkind.CallerLimit))
	encoded := keyring(t, 1).Encode(token)
	assert.Assert(t, len(encoded) <= MaxTokenBytes)
	decoded, err := keyring(t, 1).Decode("ledger", encoded)
	assert.NilError(t, err)
	assert.Equal(t, len(decoded.floors), MaxGroups)
}

func TestCheckLost(t *testing.T) {
	var history table.TermHistory
	history.Add(2, 50)
	history.Add(3, 120)
	full := history
	for term := range table.Term(table.MaxTermBegins) {
		full.Add(term+4, 900)
	}
	for _, c := range []struct {
		name   string
		mark   table.Mark
		agreed table.Group
		lost   bool
	}{
		{"current term", table.Mark{Term: 3, Position: 999}, table.Group{Term: 3, History: history}, false},
		{"kept by the next term", table.Mark{Term: 2, Position: 120}, table.Group{Term: 3, History: history}, false},
		{"beyond the next term", table.Mark{Term: 2, Position: 121}, table.Group{Term: 3, History: history}, true},
		{"lost two terms ago, below the start of the current one", table.Mark{Term: 1, Position: 51}, table.Group{Term: 3, History: history}, true},
		{"term that this host has not learned of yet", table.Mark{Term: 4, Position: 999}, table.Group{Term: 3, History: history}, false},
		{"older than the recorded history", table.Mark{Term: 1, Position: 1}, table.Group{Term: 19, History: full}, true},
		{"no history, kept", table.Mark{Term: 2, Position: 120}, table.Group{Term: 3, TermStart: 120}, false},
		{"no history, lost", table.Mark{Term: 2, Position: 121}, table.Group{Term: 3, TermStart: 120}, true},
		{"no history, promoting", table.Mark{Term: 2, Position: 121}, table.Group{Term: 3, TermStart: 60, Phase: table.PhasePromoting}, false},
	} {
		token := NewToken("ledger")
		token.Raise("g", c.mark)
		err := token.CheckLost("g", &c.agreed)
		assert.Equal(t, errkind.Is(err, errkind.TokenLost), c.lost, c.name)
		assert.NilError(t, token.CheckLost("other", &c.agreed))
		token.DropFloor("g")
		assert.NilError(t, token.CheckLost("g", &c.agreed))
	}
}

// entry is one write in a modelled log. Every entry has a unique id.
type entry struct{ id int }

// observation is an entry that the session has seen, and its index in the log.
type observation struct {
	index int
	entry entry
}

// modelInstance is a modelled instance with the term and the content of its log.
type modelInstance struct {
	term table.Term
	log  []entry
}

func (c modelInstance) mark() table.Mark {
	return table.Mark{Term: c.term, Position: table.Position(len(c.log))}
}

// model simulates one group with its history, replicas that lag or have
// diverged, and one session with everything that it has seen. The host of the
// session may not have learned of the latest change of primary.
type model struct {
	primary   modelInstance
	replicas  []modelInstance
	agreed    table.Group
	known     table.Group // what the host has learned of agreed
	token     *Token
	observed  map[observation]bool
	nextID    int
	failovers int
}

func newModel() *model {
	m := &model{primary: modelInstance{term: 1}, token: NewToken("s"), observed: map[observation]bool{}}
	m.agreed = table.Group{Name: "g", Term: 1}
	m.agreed.History.Add(1, 0)
	m.known = m.agreed
	return m
}

// write appends an entry to the log, written by the session itself or by
// another one.
func (m *model) write(own bool) {
	m.nextID++
	m.primary.log = append(slices.Clone(m.primary.log), entry{m.nextID})
	if own {
		m.observe(m.primary)
	}
}

// observe records that the session has seen everything that c holds.
func (m *model) observe(c modelInstance) {
	m.token.Raise("g", c.mark())
	for i, e := range c.log {
		m.observed[observation{i, e}] = true
	}
}

// holdsAllObserved reports whether a log contains everything that the session
// has seen.
func (m *model) holdsAllObserved(log []entry) bool {
	for s := range m.observed {
		if s.index >= len(log) || log[s.index] != s.entry {
			return false
		}
	}
	return true
}

// failOver changes the primary and loses the end of the log. It does nothing
// while the host has not learned of the previous change.
func (m *model) failOver(t *rapid.T) {
	if m.known != m.agreed || m.failovers == table.MaxTermBegins-2 {
		return
	}
	m.failovers++
	kept := rapid.IntRange(0, len(m.primary.log)).Draw(t, "kept")
	m.primary.log = slices.Clone(m.primary.log[:kept])
	m.primary.term += table.Term(rapid.IntRange(1, 3).Draw(t, "terms"))
	m.agreed.Term, m.agreed.TermStart = m.primary.term, table.Position(kept)
	m.agreed.History.Add(m.agreed.Term, m.agreed.TermStart)
}

// replicate adds a replica that holds a prefix of the primary's log.
func (m *model) replicate(t *rapid.T) {
	held := rapid.IntRange(0, len(m.primary.log)).Draw(t, "replicated")
	m.replicas = append(m.replicas, modelInstance{term: m.primary.term, log: m.primary.log[:held]})
}

// read serves the session from a random replica if its floor allows it.
func (m *model) read(t *rapid.T) {
	if len(m.replicas) == 0 {
		return
	}
	from := rapid.SampledFrom(m.replicas).Draw(t, "replica")
	want, used := m.token.Floor("g")
	if used && !from.mark().Holds(want) {
		return
	}
	if !m.holdsAllObserved(from.log) && m.known == m.agreed {
		t.Fatalf("replica %v may serve floor %v, but does not hold all of %v", from, want, m.observed)
	}
	m.observe(from)
}

// check verifies CheckLost: every loss that it reports is real, and every real
// loss is reported once the host knows the latest term.
func (m *model) check(t *rapid.T) {
	lost := m.token.CheckLost("g", &m.known) != nil
	missing := !m.holdsAllObserved(m.primary.log)
	if lost && !missing || missing && !lost && m.known == m.agreed {
		t.Fatalf("CheckLost reported a loss: %t, but the session saw %v and the log is %v", lost, m.observed, m.primary.log)
	}
	if lost {
		m.token.DropFloor("g")
		m.observed = map[observation]bool{}
	}
}

func (m *model) step(t *rapid.T) {
	switch rapid.SampledFrom([]string{"write", "other", "replicate", "fail", "race", "read", "learn"}).Draw(t, "step") {
	case "write":
		m.write(true)
	case "other":
		m.write(false)
	case "replicate":
		m.replicate(t)
	case "fail":
		m.failOver(t)
	case "race": // the primary changes between the check and the write
		m.failOver(t)
		m.write(false)
		m.write(true)
	case "read":
		m.read(t)
	case "learn":
		m.known = m.agreed
	}
}

// A session must never read from a replica that does not hold what the session
// has seen, and must learn of each loss. The test runs random writes, lossy
// failovers, and reads from lagging or diverged replicas, at a host that learns
// of failovers late.
func TestReadYourWrites(t *testing.T) {
	keys := keyring(t, 1)
	rapid.Check(t, func(t *rapid.T) {
		m := newModel()
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			m.check(t)
			m.step(t)
			again, err := keys.Decode("s", keys.Encode(m.token))
			assert.NilError(t, err)
			assert.Assert(t, slices.Equal(again.floors, m.token.floors))
			m.token = again
		}
	})
}

func FuzzDecode(f *testing.F) {
	k := keyring(f, 1)
	f.Add(k.Encode(sampleToken()), appendPayload(nil, sampleToken().floors))
	f.Add("", []byte{255, 255})
	f.Fuzz(func(t *testing.T, encoded string, raw []byte) {
		if token, err := k.Decode("ledger", encoded); err == nil {
			assert.Equal(t, k.Encode(token), encoded)
		} else {
			assert.Assert(t, errkind.Is(err, errkind.TokenInvalid))
		}
		// A payload with a valid MAC may come from a host that runs another
		// build.
		floors, err := parsePayload(raw)
		if err != nil {
			return
		}
		again, err := parsePayload(appendPayload(nil, floors))
		assert.NilError(t, err)
		assert.Equal(t, len(again), len(floors))
	})
}

func TestKeyringIsSafeForConcurrentUse(t *testing.T) {
	k := keyring(t, 1, 2)
	var group errgroup.Group
	for i := range 8 {
		group.Go(func() error {
			service := fmt.Sprintf("service-%d", i)
			for range 200 {
				if _, err := k.Decode(service, k.Encode(NewToken(service))); err != nil {
					return err
				}
			}
			return nil
		})
	}
	assert.NilError(t, group.Wait())
}

func tokenOf(groups int) *Token {
	token := NewToken("ledger")
	for i := range groups {
		token.Raise(table.GroupName(fmt.Sprintf("ledger-%d", i)), table.Mark{Term: 3, Position: 1 << 40})
	}
	return token
}

func BenchmarkEncode(b *testing.B) {
	for _, groups := range []int{1, 3, 16, MaxGroups} {
		b.Run(fmt.Sprintf("groups=%d", groups), func(b *testing.B) {
			k, token := keyring(b, 1), tokenOf(groups)
			b.ReportAllocs()
			for b.Loop() {
				k.Encode(token)
			}
			b.ReportMetric(float64(len(k.Encode(token))), "bytes/token")
		})
	}
}

func BenchmarkDecode(b *testing.B) {
	for _, groups := range []int{1, 3, 16, MaxGroups} {
		b.Run(fmt.Sprintf("groups=%d", groups), func(b *testing.B) {
			k := keyring(b, 1)
			encoded := k.Encode(tokenOf(groups))
			b.ReportAllocs()
			for b.Loop() {
				_, _ = k.Decode("ledger", encoded)
			}
		})
	}
}

func BenchmarkFloorRaiseCheckLost(b *testing.B) {
	token, agreed := sampleToken(), &table.Group{Term: 3}
	agreed.History.Add(3, 5)
	b.ReportAllocs()
	for b.Loop() {
		mark, _ := token.Floor("ledger-2")
		mark.Position++
		token.Raise("ledger-2", mark)
		_ = token.CheckLost("ledger-2", agreed)
	}
}
