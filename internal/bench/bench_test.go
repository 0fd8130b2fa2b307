package bench

import (
	"encoding/json"
	"fmt"
	"image/png"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/amaranthweir/amaranthweir/internal/api"
	"github.com/amaranthweir/amaranthweir/internal/bench/ledger"
	"github.com/amaranthweir/amaranthweir/internal/config"
	"github.com/amaranthweir/amaranthweir/internal/errkind"
	"github.com/amaranthweir/amaranthweir/standin"
)

const document = `{
  "service": "shop", "version": 3, "groups": [{"name": "g1"}],
  "classes": [
    {"name": "pay", "rank": "urgent", "access": "write", "group": "g1", "deadline": "10s", "rate_per_second": 60, "repeatable": false},
    {"name": "note", "access": "write", "group": "g1", "deadline": "10s", "rate_per_second": 60, "repeatable": true},
    {"name": "look", "access": "read", "group": "g1", "deadline": "10s", "rate_per_second": 60},
    {"name": "report", "rank": "background", "access": "read", "group": "g1", "staleness": "1s", "deadline": "10s"},
  ],
  "default_class": "look",
}`

func parseDocument(t *testing.T) *config.Document {
	t.Helper()
	doc, err := config.ParseDocument("shop.jsonc", []byte(document))
	assert.NilError(t, err)
	return doc
}

// TestArrivals checks the arrivals in each second against the rate with its floods,
// and that the same seed yields the same arrivals.
func TestArrivals(t *testing.T) {
	const seed, rate = 7, 1000
	t.Logf("seed %d", seed)
	floods := []Flood{{"a", 10, time.Second, 2 * time.Second}, {"a", 0.5, 1500 * time.Millisecond, 3 * time.Second}, {"b", 99, 0, time.Hour}}
	count := func() (n [4]int) {
		a := newArrivals(rate, "a", floods, seed, 1)
		for at := a.next(); at < 4*time.Second; at = a.next() {
			n[at/time.Second]++
		}
		return n
	}
	first := count()
	for second, want := range [4]float64{1000, 7500, 500, 1000} {
		got := float64(first[second])
		assert.Assert(t, got > 0.85*want && got < 1.15*want, "second %d: %v arrivals, expected about %v", second, got, want)
	}
	assert.Equal(t, count(), first)
}

func TestParseFlood(t *testing.T) {
	f, err := ParseFlood("stock-report=2.5@500ms-3s")
	assert.NilError(t, err)
	assert.Equal(t, f, Flood{"stock-report", 2.5, 500 * time.Millisecond, 3 * time.Second})
	for _, bad := range []string{"", "a", "a=2", "a=2@1s", "a=x@1s-2s", "a=2@1-2s", "a=2@2s-1s", "a=0@1s-2s", "a=2@-1s-2s"} {
		_, err := ParseFlood(bad)
		assert.ErrorContains(t, err, "expected class=FACTOR@FROM-TO", bad)
	}
}

func TestBind(t *testing.T) {
	for _, c := range []struct {
		tags            tags
		statement, want string
		args            []any
	}{
		{tags{"c", "k", ""}, "SELECT 1", "/* class=c key=k */ SELECT 1", nil},
		{tags{"c", "k", "r"}, "I {key}, {value}", "/* class=c key=k request_id=r */ I $1, $2", []any{"K", "V"}},
		{tags{"c", "k", ""}, "U {value} {key} {value}", "/* class=c key=k */ U $1 $2 $3", []any{"V", "K", "V"}},
	} {
		query, args := bind(c.tags, c.statement, "K", "V")
		assert.Equal(t, query, c.want)
		assert.DeepEqual(t, args, c.args)
	}
}

func TestParseWorkload(t *testing.T) {
	doc := parseDocument(t)
	w, err := ParseWorkload("w.jsonc", []byte(`{"classes": {"look": {"statements": ["SELECT 1", "SELECT 2"]}}} /* comment */`), doc)
	assert.NilError(t, err)
	assert.DeepEqual(t, w.Classes["look"].Statements, []string{"SELECT 1", "SELECT 2"})
	assert.DeepEqual(t, w.Classes["pay"], DefaultWorkload(doc).Classes["pay"])
	assert.Equal(t, w.Heartbeat.Class, "pay")
	for src, want := range map[string]string{
		`{`:              "w.jsonc",
		`{"clases": {}}`: "unknown field",
		`{"classes": {"x": {"statements": ["SELECT 1"]}}}`:                            `no class "x"`,
		`{"classes": {"look": {"statements": []}}}`:                                   "at least one statement",
		`{"classes": {"pay": {"statements": ["SELECT 1"], "check": "SELECT {key}"}}}`: "{key}",
		`{"classes": {"pay": {"statements": ["INSERT {key}"]}}}`:                      "a check",
		`{"heartbeat": {"class": "look"}}`:                                            `"look" is not a write class of the document`,
	} {
		_, err := ParseWorkload("w.jsonc", []byte(src), doc)
		assert.ErrorContains(t, err, want, src)
	}
}

func TestAddReads(t *testing.T) {
	page := "# TYPE amaranthweir_reads_total counter\n" +
		"amaranthweir_reads_total{role=\"primary\"} 3\namaranthweir_reads_total{role=\"replica\"} 1.2e+03\nother 9\n"
	sum := map[string]int{"primary": 1}
	assert.NilError(t, addReads(sum, strings.NewReader(page)))
	assert.DeepEqual(t, sum, map[string]int{"primary": 4, "replica": 1200})
	assert.Assert(t, addReads(sum, strings.NewReader("amaranthweir_reads_total{role=\"replica\"} x\n")) != nil)
}

// startFakeHost serves the HTTP interface of a host for which every key belongs to
// group g1. It returns the address.
func startFakeHost(t *testing.T) string {
	t.Helper()
	mux := http.NewServeMux()
	respond := func(v any) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(v) }
	}
	mux.HandleFunc(api.PathStatus, respond(api.Status{Groups: []api.GroupStatus{{Group: "g1", Primary: "a"}}}))
	mux.HandleFunc(api.PathExplain, respond(api.Explanation{Group: "g1"}))
	mux.HandleFunc(api.PathMetrics, func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintln(w, `amaranthweir_reads_total{role="replica"} 5`)
	})
	s := httptest.NewServer(mux)
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// runAgainst runs the load against stand-in databases that do not replicate to each
// other.
func runAgainst(t *testing.T, databases int) *Report {
	t.Helper()
	cfg := Config{
		Document: parseDocument(t), HTTPAddress: startFakeHost(t), Duration: 500 * time.Millisecond, DefaultRate: 60, Seed: 1,
		SessionsPerClass: 32, RoamEvery: 2, KeysPerGroup: 1, HeartbeatEvery: 10 * time.Millisecond,
		Floods: []Flood{{"report", 3, 100 * time.Millisecond, 300 * time.Millisecond}},
	}
	cfg.Workload, cfg.MetricsFrom = DefaultWorkload(cfg.Document), []string{cfg.HTTPAddress}
	for range databases {
		sc := standin.DefaultConfig("g1", "a")
		sc.Primary, sc.Connections, sc.Slots, sc.OpenCost, sc.StatementTime = true, 500, 100, 0, 0
		instance, err := standin.Start(sc)
		assert.NilError(t, err)
		t.Cleanup(func() { _ = instance.Close() })
		cfg.Entries = append(cfg.Entries, instance.Address())
	}
	t.Logf("seed %d", cfg.Seed)
	r, err := Run(t.Context(), cfg)
	assert.NilError(t, err)
	return r
}

// TestOneDatabaseKeepsThePromises checks that a run against one database reports no
// broken promise and sends exactly the requests that the seed yields.
func TestOneDatabaseKeepsThePromises(t *testing.T) {
	r := runAgainst(t, 1)
	assert.Assert(t, !r.Broken(), "%+v", r.Verdicts)
	for _, i := range []int{0, 2, 3} {
		assert.Equal(t, r.Verdicts[i].Result, ledger.Kept, "%+v", r.Verdicts[i])
	}
	for _, stats := range r.Classes {
		sent := 0
		a := newArrivals(60, stats.Name, r.Floods, 1, map[string]uint64{"pay": 0, "note": 2, "look": 4, "report": 6}[stats.Name])
		for a.next() < 500*time.Millisecond {
			sent++
		}
		assert.Equal(t, stats.Sent, sent, stats.Name)
		assert.Equal(t, stats.OK, sent, stats.Name)
	}
}

// TestTwoDatabasesBreakThePromises checks that a run detects a split brain: sessions
// move between two databases that do not replicate to each other.
func TestTwoDatabasesBreakThePromises(t *testing.T) {
	r := runAgainst(t, 2)
	assert.Equal(t, r.Verdicts[0].Result, ledger.Broken, "%+v", r.Verdicts[0])
	assert.Equal(t, r.Verdicts[2].Result, ledger.Broken, "%+v", r.Verdicts[2])
}

// TestLatencyStartsAtTheIntendedArrival guards against latencies that are measured
// from the actual send time, which would hide the delay that a stall caused.
func TestLatencyStartsAtTheIntendedArrival(t *testing.T) {
	h := ledger.New()
	add := func(class string, rank config.Rank, o ledger.Outcome, intended, end time.Duration) {
		h.Add(ledger.Record{Op: ledger.OpRead, Class: class, Rank: rank, Outcome: o, Intended: intended, Begin: end, End: end, Staleness: time.Second})
	}
	add("report", config.RankBackground, ledger.Acknowledged, 0, 11*time.Second)
	add("report", config.RankBackground, ledger.Acknowledged, time.Second, 3*time.Second)
	add("look", config.RankNormal, ledger.Outcome{Kind: "no_primary", Effect: errkind.NotRun}, 0, time.Second)
	add("look", config.RankNormal, ledger.Outcome{Kind: "upstream_lost", Effect: errkind.Unknown}, 0, time.Second)
	cfg := &Config{Document: parseDocument(t), Duration: 12 * time.Second, Floods: []Flood{{"report", 2, 0, time.Second}}}
	r := newReport(cfg, h.History(nil), map[string]int{"replica": 1})
	assert.Equal(t, len(r.Classes), 2)
	look, report := r.Classes[0], r.Classes[1]
	assert.DeepEqual(t, []int{look.Sent, look.OK, look.NotRun, look.Unknown}, []int{2, 0, 1, 1})
	assert.DeepEqual(t, []int{report.Sent, report.OK, report.InTime}, []int{2, 2, 1})
	assert.Assert(t, report.MaxMicros >= 11e6 && report.MaxMicros < 11.1e6, report.MaxMicros)
	assert.Equal(t, r.StaleShare, 0.5)
	assert.DeepEqual(t, r.Refusals, []Count{{"no_primary", 1}, {"upstream_lost", 1}})

	var text strings.Builder
	assert.NilError(t, r.Print(&text))
	for _, want := range []string{"50.0 % of the reads that allow staleness (1 of 2)", "no_primary", "not checked", "flood: report at 2 times"} {
		assert.Assert(t, strings.Contains(text.String(), want), text.String())
	}
	file := filepath.Join(t.TempDir(), "plot.png")
	assert.NilError(t, r.Plot(file))
	f, err := os.Open(file)
	assert.NilError(t, err)
	defer f.Close()
	image, err := png.Decode(f)
	assert.NilError(t, err)
	assert.Assert(t, image.Bounds().Dx() > 600)
}

func TestValidate(t *testing.T) {
	for want, change := range map[string]func(*Config){
		"a document":        func(c *Config) { c.Document = nil },
		"no entry":          func(c *Config) { c.Entries = nil },
		"the duration":      func(c *Config) { c.Duration = 0 },
		"at least 1":        func(c *Config) { c.RoamEvery = 0 },
		"heartbeats":        func(c *Config) { c.HeartbeatEvery = 0 },
		"rate x=1":          func(c *Config) { c.Rates = map[string]float64{"x": 1} },
		"rate pay=-1":       func(c *Config) { c.Rates = map[string]float64{"pay": -1} },
		`flood of "x": the`: func(c *Config) { c.Floods = []Flood{{Class: "x"}} },
	} {
		doc := parseDocument(t)
		c := Config{
			Document: doc, Workload: DefaultWorkload(doc), Entries: []string{"127.0.0.1:1"}, Duration: time.Second,
			SessionsPerClass: 1, RoamEvery: 1, KeysPerGroup: 1, HeartbeatEvery: time.Second,
		}
		assert.NilError(t, c.validate())
		change(&c)
		assert.ErrorContains(t, c.validate(), want)
	}
}
