// Package synthetic makes answers that no upstream gave, in the shape that the
// protocol wants for the messages they answer.
package synthetic

import (
	"encoding/binary"

	"github.com/jackc/pgx/v5/pgproto3"
)

// headerBytes is the length of a message's type and length.
const headerBytes = 5

// Answer answers encoded messages, up to the final ReadyForQuery, as a command
// that returned no rows and ended with tag.
func Answer(messages []byte, tag string) []byte {
	var answer []byte
	ForEachMessage(messages, func(kind byte, _ []byte) {
		if m := answerTo(kind, tag); m != nil {
			answer, _ = m.Encode(answer) // these messages always encode
		}
	})
	return answer
}

func answerTo(kind byte, tag string) pgproto3.BackendMessage {
	switch kind {
	case 'P':
		return &pgproto3.ParseComplete{}
	case 'B':
		return &pgproto3.BindComplete{}
	case 'D':
		return &pgproto3.NoData{}
	case 'C':
		return &pgproto3.CloseComplete{}
	case 'Q', 'E':
		return &pgproto3.CommandComplete{CommandTag: []byte(tag)}
	default:
		return nil
	}
}

// ForEachMessage calls take with the type and the body of each whole message in messages.
func ForEachMessage(messages []byte, take func(kind byte, body []byte)) {
	for rest := messages; len(rest) >= headerBytes; {
		n := 1 + int(binary.BigEndian.Uint32(rest[1:]))
		if n < headerBytes || n > len(rest) {
			return
		}
		take(rest[0], rest[headerBytes:n])
		rest = rest[n:]
	}
}
