package typedserver

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/amaranthweir/amaranthweir/internal/errkind"
	"github.com/amaranthweir/amaranthweir/internal/typedproto"
)

// The answer must not claim more than is known. "Not run" is reported only if
// nothing ran, and a commit that may have run is reported as in doubt.
func TestErrorAnswer(t *testing.T) {
	notRun := errkind.New(errkind.NoPrimary, "")
	unknown := errkind.New(errkind.UpstreamLost, "")
	for name, c := range map[string]struct {
		err                error
		commitsWrite, inTx bool
		want               typedproto.Code
	}{
		"a read that did not run":              {notRun, false, false, typedproto.CodeBusy},
		"a read that may have run":             {unknown, false, false, typedproto.CodeFailed},
		"a write that did not run":             {notRun, true, false, typedproto.CodeBusy},
		"a write that may have run":            {unknown, true, false, typedproto.CodeInDoubt},
		"a statement of a transaction":         {unknown, false, true, typedproto.CodeAborted},
		"a commit that did not run":            {notRun, true, true, typedproto.CodeAborted},
		"a commit that may have run":           {unknown, true, true, typedproto.CodeInDoubt},
		"a read-only commit that may have run": {unknown, false, true, typedproto.CodeAborted},
		"a database that may have been added":  {errkind.New(errkind.ConfigurationOutdated, ""), false, false, typedproto.CodeBusy},
		"an unknown database":                  {errkind.New(errkind.UnknownClass, ""), false, false, typedproto.CodeNoDatabase},
	} {
		assert.Equal(t, errorAnswer(c.err, c.commitsWrite, c.inTx).Code, c.want, name)
	}
}
