package docs

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestProofNamesTestsThatExist holds each test that PROOF.md names, as
// package.TestName, against the test files of that package.
func TestProofNamesTestsThatExist(t *testing.T) {
	page, err := os.ReadFile("PROOF.md")
	assert.NilError(t, err)
	named := regexp.MustCompile("`((?:internal|standin)[a-z0-9/]*)\\.((?:Test|Fuzz)\\w+)`").FindAllStringSubmatch(string(page), -1)
	assert.Assert(t, len(named) > 0)
	for _, n := range named {
		files, err := filepath.Glob(filepath.Join("..", n[1], "*.go"))
		assert.NilError(t, err)
		var src strings.Builder
		for _, f := range files {
			b, err := os.ReadFile(f)
			assert.NilError(t, err)
			src.Write(b)
		}
		assert.Assert(t, strings.Contains(src.String(), "func "+n[2]+"("), "%s.%s", n[1], n[2])
	}
}
