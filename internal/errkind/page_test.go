package errkind

import (
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestPageListsEveryKind checks that the operators' page lists exactly the rows of
// the table, in the order of the constants.
func TestPageListsEveryKind(t *testing.T) {
	page, err := os.ReadFile("../../docs/ops/errors.md")
	assert.NilError(t, err)
	var rows []string
	for line := range strings.Lines(string(page)) {
		if strings.HasPrefix(line, "| ") && !strings.HasPrefix(line, "| Kind") {
			rows = append(rows, line)
		}
	}
	assert.Equal(t, len(rows), len(All()))
	repeat := map[bool]string{true: "yes", false: "no"}
	for i, k := range All() {
		a := k.Answer()
		want := strings.Join([]string{a.Name, a.SQLState, a.Message, a.Effect.String(), repeat[a.Repeat]}, " | ")
		advice, found := strings.CutPrefix(rows[i], "| "+want+" | ")
		assert.Assert(t, found, "row %q, expected %q", rows[i], want)
		assert.Assert(t, len(advice) > len(" |\n"), "no advice for %s", a.Name)
	}
}
