package config

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/tailscale/hujson"
)

// MaxFileBytes is the maximum size of a settings file or a document.
const MaxFileBytes = 1 << 20

// MaxProblems is the maximum number of problems reported for one file.
const MaxProblems = 200

// maxDepth is the maximum nesting depth of a file. It bounds the recursion of
// the parser, which recurses once per level.
const maxDepth = 32

// reader parses one file and collects its problems.
type reader struct {
	name     string
	src      []byte
	problems []offsetProblem
	omitted  int // problems found beyond MaxProblems
}

// offsetProblem is a problem with its byte offset, by which problems are sorted.
type offsetProblem struct {
	offset int
	Problem
}

// node is one value of the file, with its path.
type node struct {
	r    *reader
	path string
	val  *hujson.Value
}

// field describes one permitted member of an object.
type field struct {
	name     string
	required bool
	read     func(n node)
}

// parseRoot returns the top-level value of the file. If the file cannot be
// parsed, parseRoot records the problem and returns false.
func (r *reader) parseRoot() (node, bool) {
	if len(r.src) > MaxFileBytes {
		r.add(0, "", "the file has %d bytes, expected at most %d", len(r.src), MaxFileBytes)
		return node{}, false
	}
	if at, deep := tooDeep(r.src); deep {
		r.add(at, "", "nested too deep, expected at most %d levels", maxDepth)
		return node{}, false
	}
	val, err := hujson.Parse(r.src)
	if err != nil {
		r.addSyntax(err)
		return node{}, false
	}
	return node{r: r, val: &val}, true
}

// addSyntax records a syntax error. It extracts the position from the text of
// the parser's error.
func (r *reader) addSyntax(err error) {
	p := Problem{File: r.name, Line: 1, Column: 1}
	_, _ = fmt.Sscanf(err.Error(), "hujson: line %d, column %d:", &p.Line, &p.Column)
	if inner := errors.Unwrap(err); inner != nil {
		err = inner
	}
	p.Message = fmt.Sprintf("%v, expected JSON with comments", err)
	r.problems = append(r.problems, offsetProblem{offset: -1, Problem: p})
}

// add records a problem at a byte offset.
func (r *reader) add(offset int, path, format string, args ...any) {
	if len(r.problems) == MaxProblems {
		r.omitted++
		return
	}
	p := Problem{File: r.name, Field: path, Message: fmt.Sprintf(format, args...)}
	p.Line = 1 + bytes.Count(r.src[:offset], []byte("\n"))
	p.Column = offset - bytes.LastIndexByte(r.src[:offset], '\n')
	r.problems = append(r.problems, offsetProblem{offset: offset, Problem: p})
}

// err returns the collected problems as a *Problems, sorted by their offsets, or
// nil if there are none.
func (r *reader) err() error {
	if len(r.problems) == 0 {
		return nil
	}
	slices.SortStableFunc(r.problems, func(a, b offsetProblem) int { return a.offset - b.offset })
	all := &Problems{}
	for _, p := range r.problems {
		all.Items = append(all.Items, p.Problem)
	}
	if r.omitted > 0 {
		last := all.Items[len(all.Items)-1]
		last.Field, last.Message = "", fmt.Sprintf("and %d more problems", r.omitted)
		all.Items = append(all.Items, last)
	}
	return all
}

// problem records a problem at the position of n.
func (n node) problem(format string, args ...any) {
	n.r.add(n.val.StartOffset, n.path, format, args...)
}

// text returns the source text of the value, truncated for use in messages.
func (n node) text() string {
	const maxBytes = 40
	src := n.r.src[n.val.StartOffset:n.val.EndOffset]
	if len(src) > maxBytes {
		return string(bytes.ToValidUTF8(src[:maxBytes], nil)) + "..."
	}
	return string(src)
}

// object reads the members of an object. It records a problem for each unknown,
// duplicate or missing member, and reports whether the value is an object.
func (n node) object(fields ...field) bool {
	obj, ok := n.val.Value.(*hujson.Object)
	if !ok {
		n.problem("found %s, expected an object", n.text())
		return false
	}
	seen := map[string]bool{}
	for i := range obj.Members {
		n.member(&obj.Members[i], fields, seen)
	}
	for _, f := range fields {
		if f.required && !seen[f.name] {
			n.problem("the field %q is missing", f.name)
		}
	}
	return true
}

// member reads one member of an object with the matching field. seen holds the
// names of the members read so far.
func (n node) member(m *hujson.ObjectMember, fields []field, seen map[string]bool) {
	name := m.Name.Value.(hujson.Literal).String()
	child := node{r: n.r, path: joinPath(n.path, name), val: &m.Value}
	at := slices.IndexFunc(fields, func(f field) bool { return f.name == name })
	if at < 0 {
		n.r.add(m.Name.StartOffset, child.path, "unknown field, expected one of %s", fieldNames(fields))
		return
	}
	if seen[name] {
		n.r.add(m.Name.StartOffset, child.path, "the field stands twice, expected it once")
		return
	}
	seen[name] = true
	fields[at].read(child)
}

// list reads the elements of an array and returns their number, or -1 if the
// value is not an array. An array of more than limit elements is a problem, and
// its elements are not read.
func (n node) list(limit int, read func(n node)) int {
	arr, ok := n.val.Value.(*hujson.Array)
	if !ok {
		n.problem("found %s, expected an array", n.text())
		return -1
	}
	if len(arr.Elements) > limit {
		n.problem("found %d elements, expected at most %d", len(arr.Elements), limit)
		return len(arr.Elements)
	}
	for i := range arr.Elements {
		read(node{r: n.r, path: fmt.Sprintf("%s[%d]", n.path, i), val: &arr.Elements[i]})
	}
	return len(arr.Elements)
}

// joinPath appends a member name to a path.
func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// fieldNames returns the comma-separated names of fields for use in messages.
func fieldNames(fields []field) string {
	names := make([]string, len(fields))
	for i, f := range fields {
		names[i] = f.name
	}
	return strings.Join(names, ", ")
}

// tooDeep reports whether src is nested deeper than maxDepth, and at which
// offset. It ignores brackets in strings and comments.
func tooDeep(src []byte) (int, bool) {
	depth := 0
	for i := 0; i < len(src); i++ {
		switch c := src[i]; {
		case c == '"':
			i = skipString(src, i)
		case c == '/':
			i = skipComment(src, i)
		case c == '{' || c == '[':
			depth++
		case c == '}' || c == ']':
			depth--
		}
		if depth > maxDepth {
			return i, true
		}
	}
	return 0, false
}

// skipString returns the offset of the closing quote of the string that begins
// at i.
func skipString(src []byte, i int) int {
	for i++; i < len(src) && src[i] != '"'; i++ {
		if src[i] == '\\' {
			i++
		}
	}
	return i
}

// skipComment returns the offset of the last byte of the comment that begins at
// i, or i if there is no comment. It returns len(src) for an unterminated
// comment.
func skipComment(src []byte, i int) int {
	end := ""
	switch rest := src[i:]; {
	case bytes.HasPrefix(rest, []byte("//")):
		end = "\n"
	case bytes.HasPrefix(rest, []byte("/*")):
		end = "*/"
	default:
		return i
	}
	const opening = 2
	at := bytes.Index(src[i+opening:], []byte(end))
	if at < 0 {
		return len(src)
	}
	return i + opening + at + len(end) - 1
}
