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
