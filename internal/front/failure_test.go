package front

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/amaranthweir/amaranthweir/internal/errkind"
	"github.com/amaranthweir/amaranthweir/internal/stmt"
)

// The answer must not claim more than is known. "Not run" is reported only if
// nothing ran, and a commit that may have run is reported as in doubt.
func TestErrorAnswer(t *testing.T) {
	notRun := errkind.New(errkind.NoPrimary, "")
	unknown := errkind.New(errkind.UpstreamLost, "")
	for name, c := range map[string]struct {
		err                error
		commitsWrite, inTx bool
		want               stmt.Code
	}{
		"a read that did not run":              {notRun, false, false, stmt.CodeBusy},
		"a read that may have run":             {unknown, false, false, stmt.CodeFailed},
		"a write that did not run":             {notRun, true, false, stmt.CodeBusy},
		"a write that may have run":            {unknown, true, false, stmt.CodeInDoubt},
		"a statement of a transaction":         {unknown, false, true, stmt.CodeAborted},
		"a commit that did not run":            {notRun, true, true, stmt.CodeAborted},
		"a commit that may have run":           {unknown, true, true, stmt.CodeInDoubt},
		"a read-only commit that may have run": {unknown, false, true, stmt.CodeAborted},
		"an unknown database":                  {errkind.New(errkind.UnknownClass, ""), false, false, stmt.CodeNoDatabase},
	} {
		assert.Equal(t, errorAnswer(c.err, c.commitsWrite, c.inTx).Code, c.want, name)
	}
}
