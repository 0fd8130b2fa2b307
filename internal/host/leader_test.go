package host

import (
	"fmt"
	"io"
	"testing"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/amaranthweir/amaranthweir/internal/config"
	"github.com/amaranthweir/amaranthweir/internal/control"
	"github.com/amaranthweir/amaranthweir/internal/system/failover"
	"github.com/amaranthweir/amaranthweir/internal/system/lease"
)

// TestUpdateSystemsParsesEachDocumentOnce guards against quadratic work of a new
// leader. It compares allocations, which must grow linearly with the documents.
func TestUpdateSystemsParsesEachDocumentOnce(t *testing.T) {
	few, many := updateAllocations(t, 10), updateAllocations(t, 40)
	assert.Assert(t, many < 6*few, "%v allocations for 10 documents, %v for 40", few, many)
}

func updateAllocations(t *testing.T, documents int) float64 {
	log := logrus.New()
	log.SetOutput(io.Discard)
	s := control.NewState()
	for n := range documents {
		service := fmt.Sprint("service-", n)
		body := []byte(fmt.Sprintf(`{"service": %q, "version": 1, "groups": [{"name": "g%d", "instances": 3}],
			"classes": [{"name": "c", "rank": "normal", "access": "write", "group": "g%d", "deadline": "8s", "worth": 1, "repeatable": true}],
			"default_class": "c"}`, service, n, n))
		res := s.Apply(control.Command{PutDocument: &control.PutDocument{
			Service: service, Version: 1, Digest: config.DocumentDigest(body), Body: body,
		}})
		assert.NilError(t, res.Err())
	}
	view := s.View()
	return testing.AllocsPerRun(3, func() {
		l := &leader{log: log, appliedView: control.NewView(), failover: failover.New(failover.DefaultConfig(), lease.NewGrantor(lease.DefaultConfig()))}
		l.updateSystems(0, view)
	})
}
