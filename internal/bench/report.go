package bench

import (
	"maps"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/amaranthweir/amaranthweir/internal/bench/ledger"
	"github.com/amaranthweir/amaranthweir/internal/config"
)

// The range and the precision of the latency histograms.
const (
	minLatency        = time.Microsecond
	maxLatency        = time.Hour
	significantDigits = 3
)

// Report holds the results of a run. Latencies are measured from the intended send
// time of a request, so that they include the time by which a stall delayed the
// sending. This avoids coordinated omission.
type Report struct {
	Service  string         `json:"service"`
	Version  uint64         `json:"version"`
	Seed     uint64         `json:"seed"`
	Seconds  float64        `json:"seconds"`
	Floods   []Flood        `json:"floods,omitempty"`
	Classes  []RequestStats `json:"classes"`
	Ranks    []RequestStats `json:"ranks"`
	Refusals []Count        `json:"refusals"`
	// ReadsByRole holds the number of reads that the hosts answered during the
	// run, by the role of the instance.
	ReadsByRole map[string]int `json:"reads_by_role"`
	// StaleReads counts the answered reads of classes that allow staleness.
	// StaleShare is the fraction of StaleReads that replicas served. It is zero
	// if that fraction is unknown: no host was asked for its metrics, or the
	// replicas served more reads than StaleReads, because there were other callers
	// or because callers gave up waiting.
	StaleReads     int              `json:"stale_reads"`
	StaleShare     float64          `json:"stale_reads_by_replicas"`
	GapsMillis     map[string]int64 `json:"longest_gap_ms"` // in acknowledged writes, by group
	Repeats        ledger.Repeats   `json:"repeats"`
	UnknownPresent int              `json:"unknown_there"`
	UnknownAbsent  int              `json:"unknown_not_there"`
	Verdicts       []ledger.Verdict `json:"verdicts"`

	history *ledger.History
}

// RequestStats summarizes the requests of a class or of a rank.
type RequestStats struct {
	Name    string `json:"name"`
	Sent    int    `json:"sent"`
	OK      int    `json:"ok"`
	NotRun  int    `json:"not_run"`
	Unknown int    `json:"unknown"`
	// InTime counts the answers within the deadline of the class.
	InTime       int   `json:"in_time"`
	MedianMicros int64 `json:"median_us"`
	P99Micros    int64 `json:"p99_us"`
	P999Micros   int64 `json:"p999_us"`
	MaxMicros    int64 `json:"max_us"`

	latencies *hdrhistogram.Histogram
}

// Count holds the number of refusals or failures of one kind.
type Count struct {
	Kind  string `json:"kind"`
	Count int    `json:"count"`
}

// newRequestStats returns empty statistics with the name.
func newRequestStats(name string) *RequestStats {
	return &RequestStats{Name: name, latencies: hdrhistogram.New(minLatency.Microseconds(), maxLatency.Microseconds(), significantDigits)}
}

// add counts one request.
func (s *RequestStats) add(r ledger.Record, deadline time.Duration) {
	s.Sent++
	switch latency := r.End - r.Intended; {
	case r.Outcome.OK():
		s.OK++
		_ = s.latencies.RecordValue(min(latency, maxLatency).Microseconds()) // min keeps the value in range
		if latency <= deadline {
			s.InTime++
		}
	case r.Outcome.NotRun():
		s.NotRun++
	default:
		s.Unknown++
	}
}

// finish returns the statistics with the percentiles filled in.
func (s *RequestStats) finish() RequestStats {
	const median, p99, p999 = 50, 99, 99.9
	s.MedianMicros = s.latencies.ValueAtQuantile(median)
	s.P99Micros = s.latencies.ValueAtQuantile(p99)
	s.P999Micros = s.latencies.ValueAtQuantile(p999)
	s.MaxMicros = s.latencies.Max()
	return *s
}

// newReport summarizes a history. Heartbeats count for the verdicts and the gaps
// but not for the latencies, because a writer of heartbeats waits for each answer
// before it sends the next heartbeat.
func newReport(cfg *Config, h *ledger.History, reads map[string]int) *Report {
	r := &Report{
		Service: cfg.Document.Service, Version: cfg.Document.Version, Seed: cfg.Seed,
		Seconds: cfg.Duration.Seconds(), Floods: cfg.Floods, ReadsByRole: reads,
		Repeats: h.Repeats, Verdicts: h.Verdicts(), history: h, GapsMillis: map[string]int64{},
	}
	r.aggregate(cfg.Document)
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
	r.UnknownPresent, r.UnknownAbsent = h.UnknownWrites()
	return r
}

// aggregate fills in the statistics by class and by rank.
func (r *Report) aggregate(doc *config.Document) {
	classes := map[string]*RequestStats{}
	var ranks [config.RankCount]*RequestStats
	for rank := range config.RankCount {
		ranks[rank] = newRequestStats(rank.String())
	}
	for _, rec := range r.history.Records {
		if rec.Op == ledger.OpHeartbeat {
			continue
		}
		class, _ := doc.Class(rec.Class)
		if classes[rec.Class] == nil {
			classes[rec.Class] = newRequestStats(rec.Class)
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
	for _, stats := range ranks {
		if stats.Sent > 0 {
			r.Ranks = append(r.Ranks, stats.finish())
		}
	}
}

// Broken reports whether the run found a broken promise.
func (r *Report) Broken() bool {
	return slices.ContainsFunc(r.Verdicts, func(v ledger.Verdict) bool { return v.Result == ledger.Broken })
}
