// Package synthetic generates PostgreSQL protocol answers without an upstream.
// An answer has the message sequence that the protocol requires.
package synthetic

import (
	"encoding/binary"

	"github.com/jackc/pgx/v5/pgproto3"
)

// headerBytes is the size of a message header: one type byte and the length.
const headerBytes = 5

// Answer returns the answer to encoded messages, without the final
// ReadyForQuery. All commands return no rows and complete with tag.
func Answer(messages []byte, tag string) []byte {
	var answer []byte
	ForEachMessage(messages, func(kind byte, _ []byte) {
		if m := answerFor(kind, tag); m != nil {
			answer, _ = m.Encode(answer) // these messages always encode
		}
	})
	return answer
}

// answerFor returns the answer to a message of the given type, or nil if the
// message has none.
func answerFor(kind byte, tag string) pgproto3.BackendMessage {
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

// ForEachMessage calls handle with the type and the body of each complete
// message in messages. It stops at the first incomplete or malformed message.
func ForEachMessage(messages []byte, handle func(kind byte, body []byte)) {
	for rest := messages; len(rest) >= headerBytes; {
		n := 1 + int(binary.BigEndian.Uint32(rest[1:]))
		if n < headerBytes || n > len(rest) {
			return
		}
		handle(rest[0], rest[headerBytes:n])
		rest = rest[n:]
	}
}
