package statement

import "strings"

// split cuts an SQL text at the semicolons that lie outside of quotes and
// comments.
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

// tokenLength returns how many bytes of s belong together: a quoted string, a
// comment, or one byte.
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

// wordLength keeps a name together, so that an E or $ inside it starts no
// quote.
func wordLength(s string) int {
	i := 0
	for i < len(s) && (isWordByte(s[i]) || s[i] == '$') {
		i++
	}
	return i
}

// quotedLength returns the length of the quoted string that s starts with. A
// doubled quote stands for itself; with escapes, so does one after a
// backslash.
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

// dollarLength returns the length of the dollar-quoted string that s starts
// with, or 1 where s starts none.
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
