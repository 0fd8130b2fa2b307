package statement

import "strings"

// sessionFunctions are the functions that leave state on the connection after the
// end of the transaction. RESET does not release advisory locks, and the proxy does
// not track settings that set_config changes.
var sessionFunctions = map[string]bool{
	"SET_CONFIG":                  true,
	"PG_ADVISORY_LOCK":            true,
	"PG_ADVISORY_LOCK_SHARED":     true,
	"PG_TRY_ADVISORY_LOCK":        true,
	"PG_TRY_ADVISORY_LOCK_SHARED": true,
}

// sessionStateWord returns the word that shows that a statement leaves state on its
// connection, in upper case, or the empty string if there is none. The word is the
// name of one of sessionFunctions, or TEMP or TEMPORARY where a temporary object is
// created. State left by functions that are defined in the database is not detected.
func sessionStateWord(verb, text string) string {
	previous := ""
	inOptions := verb == "CREATE" // until the object type, such as TABLE
	for i := 0; i < len(text); {
		n := tokenLength(text[i:])
		token := text[i : i+n]
		i += n
		if !isWordByte(token[0]) && token[0] != '"' {
			continue
		}
		if !inOptions && !mayBeRelevant(token) {
			previous = ""
			continue
		}
		word := bareName(token)
		if sessionFunctions[word] {
			return word
		}
		if (word == "TEMP" || word == "TEMPORARY") && (inOptions || previous == "INTO") {
			return word
		}
		inOptions = inOptions && createOptions[word]
		previous = word
	}
	return ""
}

// relevantLengths has bit n set if a word that sessionStateWord looks for is n bytes
// long.
var relevantLengths = func() (bits uint64) {
	for name := range sessionFunctions {
		bits |= 1 << len(name)
	}
	for _, word := range []string{"TEMP", "TEMPORARY", "INTO"} {
		bits |= 1 << len(word)
	}
	return bits
}()

// mayBeRelevant reports whether a token may be one of the words that
// sessionStateWord looks for. It avoids the conversion to upper case for most tokens.
func mayBeRelevant(token string) bool {
	if token[0] == '"' || strings.IndexByte(token, '.') >= 0 {
		return true
	}
	return len(token) < 64 && relevantLengths&(1<<len(token)) != 0
}

// createOptions are CREATE and the words that may stand between it and TEMP.
var createOptions = map[string]bool{"CREATE": true, "OR": true, "REPLACE": true, "LOCAL": true, "GLOBAL": true}

// bareName returns a name in upper case without its schema and quotes.
func bareName(token string) string {
	if i := strings.LastIndexByte(token, '.'); i >= 0 {
		token = token[i+1:]
	}
	return strings.ToUpper(strings.Trim(token, `"`))
}
