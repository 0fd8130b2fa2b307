package statement

import "strings"

// split splits an SQL text at the semicolons outside quotes and comments.
func split(sql string) []string {
	if strings.IndexByte(sql, ';') < 0 {
		return []string{sql}
	}
	var parts []string
	start := 0
	for i := 0; i < len(sql); {
		if sql[i] == ';' {
			parts = append(parts, sql[start:i])
			i++
			start = i
			continue
		}
		i += tokenLength(sql[i:])
	}
	return append(parts, sql[start:])
}

// tokenLength returns the length of the token at the start of s: a quoted string, a
// comment, a word, or a single byte. s must not be empty.
func tokenLength(s string) int {
	switch s[0] {
	case '\'':
		return quotedLength(s, '\'', false)
	case '"':
		return quotedLength(s, '"', false)
	case 'E', 'e':
		if len(s) > 1 && s[1] == '\'' {
			return 1 + quotedLength(s[1:], '\'', true)
		}
	case '$':
		return dollarLength(s)
	case '-', '/':
		if n := commentLength(s); n > 0 {
			return n
		}
	}
	if isWordByte(s[0]) {
		return wordLength(s)
	}
	return 1
}

// wordLength returns the length of the word at the start of s. Reading a word as a
// whole prevents an E or $ inside it from being taken for the start of a quote.
func wordLength(s string) int {
	i := 0
	for i < len(s) && (isWordByte(s[i]) || s[i] == '$') {
		i++
	}
	return i
}

// quotedLength returns the length of the quoted string at the start of s. A doubled
// quote does not end the string; with escapes set, neither does a quote after a
// backslash. A string that is not closed extends to the end of s.
func quotedLength(s string, quote byte, escapes bool) int {
	for i := 1; i < len(s); i++ {
		switch {
		case escapes && s[i] == '\\':
			i++
		case s[i] != quote:
		case i+1 < len(s) && s[i+1] == quote:
			i++
		default:
			return i + 1
		}
	}
	return len(s)
}

// dollarLength returns the length of the dollar-quoted string at the start of s, or 1
// if there is none. A string that is not closed extends to the end of s.
func dollarLength(s string) int {
	end := 1
	for end < len(s) && isWordByte(s[end]) && s[end] != '.' {
		end++
	}
	if end >= len(s) || s[end] != '$' || (end > 1 && s[1] >= '0' && s[1] <= '9') {
		return 1
	}
	tag := s[:end+1]
	closing := strings.Index(s[len(tag):], tag)
	if closing < 0 {
		return len(s)
	}
	return len(tag) + closing + len(tag)
}
