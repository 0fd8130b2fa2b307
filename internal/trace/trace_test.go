package trace

import (
	"bytes"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// The log files of three hosts with different clocks. They contain two attempts
// at one instance and one attempt at another.
const (
	entryFile = `{"msg":"host started","time":"2026-12-04T10:00:00Z"}
{"attempt":1,"instance":"g-2","msg":"route","request":"10.0.0.1-a-1","time":"2026-12-04T10:00:05Z"}
{"attempt":1,"instance":"g-1","msg":"route","request":"10.0.0.1-a-2","time":"2026-12-04T10:00:05Z"}
{"attempt":1,"instance":"g-2","msg":"attempt refused","request":"10.0.0.1-a-1","time":"2026-12-04T10:00:06Z"}
{"attempt":2,"instance":"g-1","msg":"route","request":"10.0.0.1-a-1","time":"2026-12-04T10:00:07Z"}
{"attempt":2,"instance":"g-1","msg":"attempt refused","request":"10.0.0.1-a-1","time":"2026-12-04T10:00:08Z"}
{"attempt":3,"instance":"g-2","msg":"route","request":"10.0.0.1-a-1","time":"2026-12-04T10:00:09Z"}
`
	ownerFile = `not a line of a host, with 10.0.0.1-a-1 in it
{"instance":"g-2","msg":"not admitted","reason":"queue_too_long","request":"10.0.0.1-a-1","time":"2026-12-04T09:00:00Z"}
{"instance":"g-2","msg":"not admitted","reason":"too_late","request":"10.0.0.1-a-1","time":"2026-12-04T09:00:04Z"}
`
	otherFile = `  12.3456 edge-1 {"instance":"g-1","msg":"not admitted","request":"10.0.0.1-a-1","time":"2026-12-04T23:00:00Z"}
`
)

func TestLinesOfAllHostsInOrder(t *testing.T) {
	var lines []Line
	for _, f := range []struct{ name, text string }{{"owner.log", ownerFile}, {"other.log", otherFile}, {"entry.log", entryFile}} {
		found, err := Read(strings.NewReader(f.text), f.name, "10.0.0.1-a-1")
		assert.NilError(t, err)
		lines = append(lines, found...)
	}
	var got []string
	for _, l := range Order(lines) {
		got = append(got, l.Source+" "+l.Message+" "+l.Instance)
	}
	assert.DeepEqual(t, got, []string{
		"entry.log route g-2",
		"owner.log not admitted g-2",
		"entry.log attempt refused g-2",
		"entry.log route g-1",
		"edge-1 not admitted g-1",
		"entry.log attempt refused g-1",
		"entry.log route g-2",
		"owner.log not admitted g-2",
	})
}

// Callers report problems by the id that they gave a request. RequestIDs must
// return the ids under which the hosts logged it.
func TestRequestsOfACaller(t *testing.T) {
	log := `{"caller_id":"5c0e7a21","msg":"route","request":"10.0.0.1-a-1"}
{"caller_id":"5c0e7a21","msg":"request failed","request":"10.0.0.1-a-1"}
{"caller_id":"5c0e7a21-2","msg":"route","request":"10.0.0.1-a-2"}
`
	ids, err := RequestIDs(strings.NewReader(log), "entry.log", "5c0e7a21")
	assert.NilError(t, err)
	assert.DeepEqual(t, ids, []string{"10.0.0.1-a-1"})
}

func TestLinesWithoutTheirEntryHost(t *testing.T) {
	lines, err := Read(strings.NewReader(ownerFile), "owner.log", "10.0.0.1-a-1")
	assert.NilError(t, err)
	assert.DeepEqual(t, Order(lines), lines)
	assert.Equal(t, len(Order(nil)), 0)
}

func TestLineThatIsTooLong(t *testing.T) {
	_, err := Read(strings.NewReader(strings.Repeat("x", maxLineBytes+1)), "big.log", "r")
	assert.ErrorContains(t, err, "big.log")
}

func TestPrint(t *testing.T) {
	var out bytes.Buffer
	assert.NilError(t, Print(&out, []Line{{Source: "h1", Text: "{}"}, {Source: "h2", Text: "{}"}}))
	assert.Equal(t, out.String(), "h1 {}\nh2 {}\n")
}
