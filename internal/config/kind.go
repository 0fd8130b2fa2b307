package config

import "github.com/tailscale/hujson"

// FileKind says which of the two files a text is.
type FileKind uint8

// The kinds of file.
const (
	FileUnknown FileKind = iota
	FileDocument
	FileSettings
)

// KindOf tells a document and settings apart by their content: a document
// names a service, settings name a host.
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

// UnknownKind returns the problem of a file that is neither a document nor
// settings: its syntax error, or that it names no service and no host.
func UnknownKind(name string, src []byte) error {
	r := &reader{name: name, src: src}
	if root, ok := r.parseRoot(); ok {
		root.problem("found neither \"service\" (a service document) nor \"host\" (settings)")
	}
	return r.err()
}
