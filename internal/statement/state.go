package statement

import "strings"

// sessionFunctions leave something on the connection that outlives the
// transaction, and that RESET does not take back or the proxy does not see.
var sessionFunctions = map[string]bool{
	"SET_CONFIG":                  true,
	"PG_ADVISORY_LOCK":            true,
	"PG_ADVISORY_LOCK_SHARED":     true,
	"PG_TRY_ADVISORY_LOCK":        true,
	"PG_TRY_ADVISORY_LOCK_SHARED": true,
}

// leftBehind returns the word by which a statement leaves state on its
// connection, or the empty string: a function that does so, or a temporary
// object. What a function of the database does inside is not seen.
func leftBehind(verb, text string) string {
	previous := ""
	header := verb == "CREATE" // up to the kind of the object
	for i := 0; i < len(text); {
		n := tokenLength(text[i:])
		token := text[i : i+n]
		i += n
		if !isWordByte(token[0]) && token[0] != '"' {
			continue
		}
		if !header && !ofInterest(token) {
			previous = ""
			continue
		}
		word := bareName(token)
		if sessionFunctions[word] {
			return word
		}
		if (word == "TEMP" || word == "TEMPORARY") && (header || previous == "INTO") {
			return word
		}
		header = header && createOptions[word]
		previous = word
	}
	return ""
}

// lengths has a bit for the length of each word that leftBehind looks for.
var lengths = func() (bits uint64) {
	for name := range sessionFunctions {
		bits |= 1 << len(name)
	}
	for _, word := range []string{"TEMP", "TEMPORARY", "INTO"} {
		bits |= 1 << len(word)
	}
	return bits
}()

// ofInterest reports whether a name may be one that leftBehind looks for. It
// spares most names the copy in upper case.
func ofInterest(token string) bool {
	if token[0] == '"' || strings.IndexByte(token, '.') >= 0 {
		return true
	}
	return len(token) < 64 && lengths&(1<<len(token)) != 0
}

// createOptions are the words that may stand between CREATE and TEMP.
var createOptions = map[string]bool{"CREATE": true, "OR": true, "REPLACE": true, "LOCAL": true, "GLOBAL": true}

// bareName returns a name in upper case, without its schema and quotes.
func bareName(token string) string {
	if i := strings.LastIndexByte(token, '.'); i >= 0 {
		token = token[i+1:]
	}
	return strings.ToUpper(strings.Trim(token, `"`))
}
