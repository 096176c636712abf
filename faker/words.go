package faker

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"sapphiredrum.example/sapphiredrum"
)

// Role is the role of the messages that an engine generates.
const Role = "assistant"

// Digest returns a digest of a history in 16 hexadecimal digits.
func Digest(messages []sapphiredrum.Message) string {
	var chain uint64
	for _, m := range messages {
		chain = link(chain, m)
	}
	text := strconv.FormatUint(chain, 16)
	return strings.Repeat("0", 16-len(text)) + text
}

// Word returns the token with the given offset of the answer to a history with
// the given digest. Each token names the digest, so that an answer put together
// from two streams shows.
func Word(digest string, offset sapphiredrum.Tokens) string {
	if offset == 0 {
		return digest
	}
	return " " + digest[:4] + "." + strconv.FormatInt(int64(offset), 10)
}

// Text returns the whole answer of count tokens to a history.
func Text(messages []sapphiredrum.Message, count sapphiredrum.Tokens) string {
	return span(Digest(messages), 0, count)
}

// Count returns the tokens of a text: one for each word.
func Count(text string) sapphiredrum.Tokens {
	return sapphiredrum.Tokens(len(strings.Fields(text)))
}

// CountAll returns the tokens of a history.
func CountAll(messages []sapphiredrum.Message) sapphiredrum.Tokens {
	var total sapphiredrum.Tokens
	for _, m := range messages {
		total += Count(m.Content)
	}
	return total
}

// span returns the tokens from one offset up to another.
func span(digest string, from, to sapphiredrum.Tokens) string {
	var text strings.Builder
	for offset := from; offset < to; offset++ {
		text.WriteString(Word(digest, offset))
	}
	return text.String()
}

// link extends the digest of a history by one message.
func link(chain uint64, message sapphiredrum.Message) uint64 {
	hash := xxhash.New()
	_, _ = hash.WriteString(strconv.FormatUint(chain, 16))
	_, _ = hash.WriteString("\x00" + message.Role + "\x00" + message.Content)
	return hash.Sum64()
}
