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

// parseDocuments reads the documents that changed. They were checked before
// they were agreed; one that cannot be read keeps its last version.
func parseDocuments(log logrus.FieldLogger, known map[string]*config.Document, old, next *control.View) *map[string]*config.Document {
	parsed := make(map[string]*config.Document, len(next.Documents))
	for service, doc := range next.Documents {
		parsed[service] = known[service]
		if old.Documents[service].Version == doc.Version && parsed[service] != nil {
			continue
		}
		d, err := config.ParseDocument(service, doc.Body)
		if err != nil {
			log.WithError(err).WithField("service", service).Error("a document in force cannot be read")
			continue
		}
		parsed[service] = d
		log.WithFields(logrus.Fields{"service": service, "version": doc.Version, "digest": doc.Digest}).Info("document in force")
	}
	return &parsed
}

// declaration gathers what the documents say about the work of a group. Where
// services share a group, the lowest floors count. The declared rate of a
// class is spread over its groups.
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
	return out
}

// Document implements gateway.Directory.
func (d *directory) Document(service string) *config.Document {
	return (*d.documents.Load())[service]
}
