package bench

import (
	"maps"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/amaranthweir/amaranthweir/internal/bench/ledger"
	"github.com/amaranthweir/amaranthweir/internal/config"
)

// The range and precision of the histograms of answer times.
const (
	shortestTime = time.Microsecond
	longestTime  = time.Hour
	digits       = 3
)

// Report is what a run showed. Answer times count from when a request should
// have been sent, so a system that stalls cannot hide the requests that the
// stall held up.
type Report struct {
	Service  string  `json:"service"`
	Version  uint64  `json:"version"`
	Seed     uint64  `json:"seed"`
	Seconds  float64 `json:"seconds"`
	Floods   []Flood `json:"floods,omitempty"`
	Classes  []Row   `json:"classes"`
	Ranks    []Row   `json:"ranks"`
	Refusals []Count `json:"refusals"`
	// ReadsByRole are the reads that the hosts answered meanwhile.
	ReadsByRole map[string]int `json:"reads_by_role"`
	// StaleReads are the answered reads that may be old, StaleShare the share
	// of them that replicas served; zero when others read too, when callers gave up, or when the
	// hosts were not asked.
	StaleReads  int              `json:"stale_reads"`
	StaleShare  float64          `json:"stale_reads_by_replicas"`
	GapsMillis  map[string]int64 `json:"longest_gap_ms"` // in acknowledged writes, by group
	Repeats     ledger.Repeats   `json:"repeats"`
	UnknownHere int              `json:"unknown_there"`
	UnknownGone int              `json:"unknown_not_there"`
	Verdicts    []ledger.Verdict `json:"verdicts"`

	history *ledger.History
}

// Row sums up the requests of a class or of a rank.
type Row struct {
	Name    string `json:"name"`
	Sent    int    `json:"sent"`
	OK      int    `json:"ok"`
	NotRun  int    `json:"not_run"`
	Unknown int    `json:"unknown"`
	// InTime are the answers within the deadline of the class.
	InTime       int   `json:"in_time"`
	MedianMicros int64 `json:"median_us"`
	P99Micros    int64 `json:"p99_us"`
	P999Micros   int64 `json:"p999_us"`
	MaxMicros    int64 `json:"max_us"`

	times *hdrhistogram.Histogram
}

// Count is how often something was seen.
type Count struct {
	Kind  string `json:"kind"`
	Count int    `json:"count"`
}

func newRow(name string) *Row {
	return &Row{Name: name, times: hdrhistogram.New(shortestTime.Microseconds(), longestTime.Microseconds(), digits)}
}

func (w *Row) add(r ledger.Record, deadline time.Duration) {
	w.Sent++
	switch took := r.End - r.Intended; {
	case r.Outcome.OK():
		w.OK++
		_ = w.times.RecordValue(min(took, longestTime).Microseconds()) // in range by the line above
		if took <= deadline {
			w.InTime++
		}
	case r.Outcome.NotRun():
		w.NotRun++
	default:
		w.Unknown++
	}
}

func (w *Row) finish() Row {
	const median, p99, p999 = 50, 99, 99.9
	w.MedianMicros = w.times.ValueAtQuantile(median)
	w.P99Micros = w.times.ValueAtQuantile(p99)
	w.P999Micros = w.times.ValueAtQuantile(p999)
	w.MaxMicros = w.times.Max()
	return *w
}

// newReport sums up a history. Heartbeats count for the verdicts and the gaps,
// not for the answer times: their writers wait for each answer.
func newReport(cfg *Config, h *ledger.History, reads map[string]int) *Report {
	r := &Report{
		Service: cfg.Document.Service, Version: cfg.Document.Version, Seed: cfg.Seed,
		Seconds: cfg.Duration.Seconds(), Floods: cfg.Floods, ReadsByRole: reads,
		Repeats: h.Repeats, Verdicts: h.Verdicts(), history: h, GapsMillis: map[string]int64{},
	}
	r.sumUp(cfg.Document)
	for group, gap := range h.LongestGaps(cfg.Duration) {
		r.GapsMillis[group] = gap.Milliseconds()
	}
	kinds := h.RefusalsByKind()
	for _, kind := range slices.Sorted(maps.Keys(kinds)) {
		r.Refusals = append(r.Refusals, Count{kind, kinds[kind]})
	}
	if n := reads["replica"]; n <= r.StaleReads && r.StaleReads > 0 {
		r.StaleShare = float64(reads["replica"]) / float64(r.StaleReads)
	}
	r.UnknownHere, r.UnknownGone = h.UnknownWrites()
	return r
}

// sumUp fills the rows of the classes and ranks.
func (r *Report) sumUp(doc *config.Document) {
	classes := map[string]*Row{}
	var ranks [config.RankCount]*Row
	for rank := range config.RankCount {
		ranks[rank] = newRow(rank.String())
	}
	for _, rec := range r.history.Records {
		if rec.Op == ledger.OpHeartbeat {
			continue
		}
		class, _ := doc.Class(rec.Class)
		if classes[rec.Class] == nil {
			classes[rec.Class] = newRow(rec.Class)
		}
		classes[rec.Class].add(rec, class.Deadline)
		ranks[rec.Rank].add(rec, class.Deadline)
		if rec.Outcome.OK() && rec.Op != ledger.OpWrite && rec.Staleness > 0 {
			r.StaleReads++
		}
	}
	for _, name := range slices.Sorted(maps.Keys(classes)) {
		r.Classes = append(r.Classes, classes[name].finish())
	}
	for _, row := range ranks {
		if row.Sent > 0 {
			r.Ranks = append(r.Ranks, row.finish())
		}
	}
}

// Broken reports whether a promise was broken.
func (r *Report) Broken() bool {
	return slices.ContainsFunc(r.Verdicts, func(v ledger.Verdict) bool { return v.Result == ledger.Broken })
}
