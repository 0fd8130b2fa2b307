package config

import "github.com/tailscale/hujson"

// FileKind is the kind of a configuration file.
type FileKind uint8

// The kinds of file.
const (
	FileUnknown FileKind = iota
	FileDocument
	FileSettings
)

// KindOf detects the kind of a file from its top-level members: a document has
// service or classes, settings have host or failure_domain.
func KindOf(src []byte) FileKind {
	r := &reader{src: src}
	root, ok := r.parseRoot()
	if !ok {
		return FileUnknown
	}
	obj, ok := root.val.Value.(*hujson.Object)
	if !ok {
		return FileUnknown
	}
	for i := range obj.Members {
		switch obj.Members[i].Name.Value.(hujson.Literal).String() {
		case "service", "classes":
			return FileDocument
		case "host", "failure_domain":
			return FileSettings
		}
	}
	return FileUnknown
}

// UnknownKindError returns the error for a file that is neither a document nor
// settings: its syntax error, or a problem that neither "service" nor "host" was
// found.
func UnknownKindError(name string, src []byte) error {
	r := &reader{name: name, src: src}
	if root, ok := r.parseRoot(); ok {
		root.problem("found neither \"service\" (a service document) nor \"host\" (settings)")
	}
	return r.err()
}
