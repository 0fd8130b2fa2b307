package cli

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestTrace(t *testing.T) {
	entry := writeFile(t, `{"attempt":1,"instance":"g-1","msg":"route","request":"r-1"}
{"attempt":1,"instance":"g-1","msg":"attempt refused","request":"r-1"}
`)
	owner := writeFile(t, `{"instance":"g-1","msg":"not admitted","request":"r-1"}
`)
	code, out, errOut := run(t, &fakeHost{}, nil, "trace", "--request", "r-1", owner, entry)
	assert.Equal(t, code, ExitOK, errOut)
	assert.Equal(t, out, entry+` {"attempt":1,"instance":"g-1","msg":"route","request":"r-1"}
`+owner+` {"instance":"g-1","msg":"not admitted","request":"r-1"}
`+entry+` {"attempt":1,"instance":"g-1","msg":"attempt refused","request":"r-1"}
`)
	code, _, errOut = run(t, &fakeHost{}, nil, "trace", "--request", "r-2", owner, entry)
	assert.Equal(t, code, ExitFailed)
	assert.Equal(t, errOut, "amaranthweir: no line about request \"r-2\" in 2 files\n")
}
