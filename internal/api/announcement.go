package api

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
	"strings"

	"github.com/amaranthweir/amaranthweir/internal/config"
	"github.com/amaranthweir/amaranthweir/internal/dbedge"
	"github.com/amaranthweir/amaranthweir/internal/errkind"
)

// announcementFields maps the names of the members of an announcement to whether
// they are required.
var announcementFields = jsonNames(reflect.TypeFor[dbedge.Announcement]())

// DecodeAnnouncement parses and validates an announcement. Unknown, duplicate and
// missing members and values out of range are errors of kind
// errkind.BadRequest.
func DecodeAnnouncement(body []byte) (dbedge.Announcement, error) {
	var a dbedge.Announcement
	if err := checkMembers(body, announcementFields); err != nil {
		return a, errkind.Wrap(err, errkind.BadRequest, "announcement: %v", err)
	}
	if err := json.Unmarshal(body, &a); err != nil {
		return a, errkind.Wrap(err, errkind.BadRequest, "announcement: %v", err)
	}
	if err := validateAnnouncement(a); err != nil {
		return a, errkind.Wrap(err, errkind.BadRequest, "announcement: %v", err)
	}
	return a, nil
}

// validateAnnouncement checks the values of an announcement. Names are those of
// documents, and an instance states how many connections it accepts.
func validateAnnouncement(a dbedge.Announcement) error {
	names := []struct{ field, value string }{
		{"group", string(a.Group)},
		{"instance", string(a.Instance)},
		{"failure_domain", string(a.Domain)},
	}
	for _, n := range names {
		if !config.ValidName(n.value) {
			return fmt.Errorf("%s: found %.80q, expected %s", n.field, n.value, config.NameExpected)
		}
	}
	if a.Connections < 1 {
		return fmt.Errorf("connections: found %d, expected 1 to %d", a.Connections, dbedge.MaxConnections)
	}
	return a.Validate()
}

// checkMembers checks that body is a single flat JSON object. required maps the
// name of each permitted member to whether it must be present. No member may
// occur twice.
func checkMembers(body []byte, required map[string]bool) error {
	dec := json.NewDecoder(bytes.NewReader(body))
	if t, err := dec.Token(); err != nil || t != json.Delim('{') {
		return errors.New("expected a JSON object")
	}
	seen := map[string]bool{}
	for dec.More() {
		name, err := readMember(dec)
		if err != nil {
			return err
		}
		if _, known := required[name]; !known {
			return fmt.Errorf("unknown field %.80q", name)
		}
		if seen[name] {
			return fmt.Errorf("the field %q stands twice", name)
		}
		seen[name] = true
	}
	if _, err := dec.Token(); err != nil {
		return err
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return errors.New("expected nothing after the object")
	}
	for name, mustBePresent := range required {
		if mustBePresent && !seen[name] {
			return fmt.Errorf("the field %q is missing", name)
		}
	}
	return nil
}

// readMember reads one member of a flat object and returns its name.
func readMember(dec *json.Decoder) (string, error) {
	name, err := dec.Token()
	if err != nil {
		return "", err
	}
	value, err := dec.Token()
	if err != nil {
		return "", err
	}
	if _, composite := value.(json.Delim); composite || value == nil {
		return "", fmt.Errorf("the field %.80q: expected text, a number, true or false", name)
	}
	s, _ := name.(string)
	return s, nil
}

// jsonNames returns the JSON names of the fields of a struct, mapped to whether
// the field is required. All fields are required, except "leaving" and those tagged omitempty.
func jsonNames(t reflect.Type) map[string]bool {
	names := map[string]bool{}
	for i := range t.NumField() {
		name, option, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		names[name] = name != "leaving" && option != "omitempty"
	}
	return names
}
