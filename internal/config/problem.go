package config

import (
	"fmt"
	"strings"
)

// Problem is one error in a file, with its position.
type Problem struct {
	File string `json:"file"`
	// Line and Column start at one. Column counts bytes.
	Line   int `json:"line"`
	Column int `json:"column"`
	// Field is the path of the value, for example classes[2].deadline. It is
	// empty for a problem with the file as a whole.
	Field string `json:"field,omitempty"`
	// Message describes what was found and what was expected.
	Message string `json:"message"`
}

// String formats the problem as file:line:column: field: message, the format
// that editors recognize.
func (p Problem) String() string {
	prefix := fmt.Sprintf("%s:%d:%d: ", p.File, p.Line, p.Column)
	if p.Field == "" {
		return prefix + p.Message
	}
	return prefix + p.Field + ": " + p.Message
}

// Problems is the error that the parsers return. It lists the problems of a
// file in the order of their positions.
type Problems struct {
	Items []Problem
}

// Error returns the problems, one per line.
func (p *Problems) Error() string {
	lines := make([]string, len(p.Items))
	for i, item := range p.Items {
		lines[i] = item.String()
	}
	return strings.Join(lines, "\n")
}
