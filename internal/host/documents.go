package host

import (
	"slices"

	"github.com/sirupsen/logrus"

	"github.com/amaranthweir/amaranthweir/internal/config"
	"github.com/amaranthweir/amaranthweir/internal/control"
	"github.com/amaranthweir/amaranthweir/internal/owner"
	"github.com/amaranthweir/amaranthweir/internal/system/admission"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

// parseDocuments parses the documents that changed between two control states.
// Documents are checked before they are committed; a service whose document
// cannot be parsed keeps the last parsed version.
func parseDocuments(log logrus.FieldLogger, known map[string]*config.Document, old, next *control.View) *map[string]*config.Document {
	parsed := make(map[string]*config.Document, len(next.Documents))
	for service, doc := range next.Documents {
		parsed[service] = known[service]
		if old.Documents[service].Version == doc.Version && parsed[service] != nil {
			continue
		}
		d, err := config.ParseDocument(service, doc.Body)
		if err != nil {
			log.WithError(err).WithField("service", service).Error("cannot parse the document in force")
			continue
		}
		parsed[service] = d
		log.WithFields(logrus.Fields{"service": service, "version": doc.Version, "digest": doc.Digest}).Info("document in force")
	}
	return &parsed
}

// declaration returns the classes and rank floors that the documents declare
// for a group. If several services share the group, the lowest floor of each
// rank applies. The declared rate of a class is split evenly over its groups.
func (d *directory) declaration(group table.GroupName) owner.AdmissionConfig {
	var out owner.AdmissionConfig
	first := true
	for _, doc := range *d.documents.Load() {
		named := false
		for i := range doc.Classes {
			c := &doc.Classes[i]
			if !slices.Contains(c.Groups, group) {
				continue
			}
			named = true
			out.Classes = append(out.Classes, admission.Class{
				Name:          c.Name,
				Rank:          c.Rank,
				RatePerSecond: c.RatePerSecond / float64(len(c.Groups)),
				Weight:        c.Worth,
				Objective:     c.Objective,
			})
		}
		if !named {
			continue
		}
		for rank, floor := range doc.RankFloors {
			if first || floor < out.Floors[rank] {
				out.Floors[rank] = floor
			}
		}
		first = false
	}
	out.Weights = d.workspaceWeights()
	return out
}

// workspaceWeights returns the relative shares of the workspaces where they compete
// for slots, which are their rate limits. It is nil if the deployment limits none.
func (d *directory) workspaceWeights() map[string]float64 {
	deployment := d.deployment.Load()
	if deployment == nil {
		return nil
	}
	var weights map[string]float64
	for i := range deployment.Workspaces {
		w := &deployment.Workspaces[i]
		if w.RatePerSecond <= 0 {
			continue
		}
		if weights == nil {
			weights = make(map[string]float64, len(deployment.Workspaces))
		}
		weights[w.Name] = w.RatePerSecond
	}
	return weights
}

// Document implements gateway.Directory.
func (d *directory) Document(service string) *config.Document {
	return (*d.documents.Load())[service]
}
