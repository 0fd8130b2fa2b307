package sql

import (
	"fmt"
	"strings"
)

// SyntaxError is the error of a query outside the supported subset.
type SyntaxError struct {
	// Near is the token at which parsing stopped.
	Near string
	// Want describes the token that was expected there.
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

// token is a lexical token. The text of an unquoted word is in lower case, that of
// a quoted word or a string is its value without the quotes, and that of a
// parameter is its number without the dollar sign.
type token struct {
	kind tokenKind
	text string
}

type lexer struct {
	src string
	pos int
}

// tokenize splits src into tokens without white space and comments.
func tokenize(src string) ([]token, error) {
	l := lexer{src: src}
	var list []token
	for {
		if err := l.skipSpaceAndComments(); err != nil {
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

// skipSpaceAndComments skips white space and comments. Block comments nest, as in
// PostgreSQL.
func (l *lexer) skipSpaceAndComments() error {
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
		return l.scanQuoted('\'', tokenString)
	case c == '"':
		return l.scanQuoted('"', tokenWord)
	case isLetter(c):
		return l.scanWhile(tokenWord, func(c byte) bool { return isLetter(c) || isDigit(c) }), nil
	case isDigit(c):
		return l.scanWhile(tokenNumber, func(c byte) bool { return isDigit(c) || c == '.' }), nil
	case c == '$':
		l.pos++
		t := l.scanWhile(tokenParam, isDigit)
		if t.text == "" {
			return token{}, &SyntaxError{Near: "$", Want: "a parameter number"}
		}
		return t, nil
	}
	l.pos++
	return token{tokenSymbol, string(c)}, nil
}

// scanQuoted reads a quoted literal, in which two quotes stand for one.
func (l *lexer) scanQuoted(quote byte, kind tokenKind) (token, error) {
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

// scanWhile reads a token that consists of the bytes for which in returns true.
func (l *lexer) scanWhile(kind tokenKind, in func(byte) bool) token {
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
