package api

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"reflect"
	"strings"

	"github.com/amaranthweir/amaranthweir/internal/config"
	"github.com/amaranthweir/amaranthweir/internal/dbedge"
	"github.com/amaranthweir/amaranthweir/internal/errkind"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

// Limits of the values in an announcement.
const (
	maxSlots       = 10_000
	maxConnections = 100_000
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

// validateAnnouncement checks the values of an announcement.
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
	if err := validateAddress(a.Address); err != nil {
		return err
	}
	if a.Role != table.RolePrimary.String() && a.Role != table.RoleReplica.String() {
		return fmt.Errorf("role: found %.80q, expected primary or replica", a.Role)
	}
	if a.Slots < 1 || a.Slots > maxSlots {
		return fmt.Errorf("slots: found %d, expected 1 to %d", a.Slots, maxSlots)
	}
	if a.Connections < 1 || a.Connections > maxConnections {
		return fmt.Errorf("connections: found %d, expected 1 to %d", a.Connections, maxConnections)
	}
	return nil
}

// validateAddress checks that s is the ip:port of a single instance, to which a
// host can connect.
func validateAddress(s string) error {
	addr, err := netip.ParseAddrPort(s)
	if err != nil || addr.Port() == 0 || addr.Addr().Zone() != "" {
		return fmt.Errorf("address: found %.80q, expected ip:port", s)
	}
	if addr.Addr().IsUnspecified() || addr.Addr().IsMulticast() {
		return fmt.Errorf("address: found %.80q, expected the address of one instance", s)
	}
	return nil
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
