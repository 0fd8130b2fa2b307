package front

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/amaranthweir/amaranthweir/internal/errkind"
	"github.com/amaranthweir/amaranthweir/internal/stmt"
)

// What a caller is promised follows from what is known: "not run" is said only
// where nothing ran, and an outcome that decides a write is never guessed.
func TestRefusals(t *testing.T) {
	notRun := errkind.New(errkind.NoPrimary, "")
	unknown := errkind.New(errkind.UpstreamLost, "")
	for name, c := range map[string]struct {
		err           error
		decides, inTx bool
		want          stmt.Code
	}{
		"a read that did not run":          {notRun, false, false, stmt.CodeBusy},
		"a read that may have run":         {unknown, false, false, stmt.CodeFailed},
		"a write that did not run":         {notRun, true, false, stmt.CodeBusy},
		"a write that may have run":        {unknown, true, false, stmt.CodeInDoubt},
		"a statement of a transaction":     {unknown, false, true, stmt.CodeAborted},
		"a commit that did not run":        {notRun, true, true, stmt.CodeAborted},
		"a commit that may have run":       {unknown, true, true, stmt.CodeInDoubt},
		"a commit of a read that may have": {unknown, false, true, stmt.CodeAborted},
		"a database that is not there":     {errkind.New(errkind.UnknownClass, ""), false, false, stmt.CodeNoDatabase},
	} {
		assert.Equal(t, refusal(c.err, c.decides, c.inTx).Code, c.want, name)
	}
}
