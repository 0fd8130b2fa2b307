package config

import (
	"fmt"
	"strings"
)

// Problem is one fault of a file, with its place.
type Problem struct {
	File string `json:"file"`
	// Line and Column count from one; columns count bytes.
	Line   int `json:"line"`
	Column int `json:"column"`
	// Field is the path of the value, for example classes[2].deadline. It is
	// empty for the file as a whole.
	Field string `json:"field,omitempty"`
	// Message says what was found and what was expected.
	Message string `json:"message"`
}

// String returns the problem in the form that editors understand:
// file:line:column: field: message.
func (p Problem) String() string {
	place := fmt.Sprintf("%s:%d:%d: ", p.File, p.Line, p.Column)
	if p.Field == "" {
		return place + p.Message
	}
	return place + p.Field + ": " + p.Message
}

// Problems is the error that the parsers return: every problem of a file, in
// the order of the file.
type Problems struct {
	Items []Problem
}

// Error returns one line for each problem.
func (p *Problems) Error() string {
	lines := make([]string, len(p.Items))
	for i, item := range p.Items {
		lines[i] = item.String()
	}
	return strings.Join(lines, "\n")
}
