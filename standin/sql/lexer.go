package sql

import (
	"fmt"
	"strings"
)

// SyntaxError is a query that lies outside the subset.
type SyntaxError struct {
	// Near is the token at which reading stopped.
	Near string
	// Want is what was expected there.
	Want string
}

// Error returns the message.
func (e *SyntaxError) Error() string {
	return fmt.Sprintf("syntax error near %q: expected %s", e.Near, e.Want)
}

type tokenKind uint8

const (
	tokenEnd tokenKind = iota
	tokenWord
	tokenString
	tokenNumber
	tokenParam
	tokenSymbol
)

// token is one token. For words, text is in lower case; for strings it is the
// value; for parameters it is the number without the dollar sign.
type token struct {
	kind tokenKind
	text string
}

type lexer struct {
	src string
	pos int
}

// tokens splits src.
func tokens(src string) ([]token, error) {
	l := lexer{src: src}
	var list []token
	for {
		if err := l.skipBlank(); err != nil {
			return nil, err
		}
		if l.pos == len(l.src) {
			return list, nil
		}
		t, err := l.next()
		if err != nil {
			return nil, err
		}
		list = append(list, t)
	}
}

// skipBlank skips white space and comments. Block comments nest.
func (l *lexer) skipBlank() error {
	for l.pos < len(l.src) {
		rest := l.src[l.pos:]
		switch {
		case strings.ContainsRune(" \t\r\n\f", rune(rest[0])):
			l.pos++
		case strings.HasPrefix(rest, "--"):
			end := strings.IndexByte(rest, '\n')
			if end < 0 {
				end = len(rest)
			}
			l.pos += end
		case strings.HasPrefix(rest, "/*"):
			if err := l.skipBlockComment(); err != nil {
				return err
			}
		default:
			return nil
		}
	}
	return nil
}

func (l *lexer) skipBlockComment() error {
	depth := 0
	for l.pos < len(l.src) {
		rest := l.src[l.pos:]
		switch {
		case strings.HasPrefix(rest, "/*"):
			depth++
			l.pos += 2
		case strings.HasPrefix(rest, "*/"):
			depth--
			l.pos += 2
		default:
			l.pos++
		}
		if depth == 0 {
			return nil
		}
	}
	return &SyntaxError{Near: "/*", Want: "the end of the comment"}
}

func (l *lexer) next() (token, error) {
	c := l.src[l.pos]
	switch {
	case c == '\'':
		return l.quoted('\'', tokenString)
	case c == '"':
		return l.quoted('"', tokenWord)
	case isLetter(c):
		return l.run(tokenWord, func(c byte) bool { return isLetter(c) || isDigit(c) }), nil
	case isDigit(c):
		return l.run(tokenNumber, func(c byte) bool { return isDigit(c) || c == '.' }), nil
	case c == '$':
		l.pos++
		t := l.run(tokenParam, isDigit)
		if t.text == "" {
			return token{}, &SyntaxError{Near: "$", Want: "a parameter number"}
		}
		return t, nil
	}
	l.pos++
	return token{tokenSymbol, string(c)}, nil
}

// quoted reads a literal in which the doubled quote stands for the quote.
func (l *lexer) quoted(quote byte, kind tokenKind) (token, error) {
	var b strings.Builder
	for i := l.pos + 1; i < len(l.src); i++ {
		if l.src[i] != quote {
			b.WriteByte(l.src[i])
			continue
		}
		if i+1 < len(l.src) && l.src[i+1] == quote {
			b.WriteByte(quote)
			i++
			continue
		}
		l.pos = i + 1
		return token{kind, b.String()}, nil
	}
	return token{}, &SyntaxError{Near: l.src[l.pos:], Want: "a closing quote"}
}

func (l *lexer) run(kind tokenKind, in func(byte) bool) token {
	start := l.pos
	for l.pos < len(l.src) && in(l.src[l.pos]) {
		l.pos++
	}
	text := l.src[start:l.pos]
	if kind == tokenWord {
		text = strings.ToLower(text)
	}
	return token{kind, text}
}

func isLetter(c byte) bool {
	return c == '_' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= 0x80
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }
