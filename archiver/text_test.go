package archiver

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// A Text of any bytes survives a JSON round trip.
func TestTextsAreReadBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := Text(rapid.SliceOf(rapid.Byte()).Draw(t, "bytes"))
		if rapid.Bool().Draw(t, "string") {
			text = Text(rapid.String().Draw(t, "text"))
		}
		body, err := json.Marshal(Turn{Input: text})
		if err != nil {
			t.Fatal(err)
		}
		var got Turn
		if err := json.Unmarshal(body, &got); err != nil || !bytes.Equal(got.Input, text) {
			t.Fatalf("%q decoded as %q: %v", text, got.Input, err)
		}
	})
}

// Guards against a host that exceeds its memory as many large turns end at once: characters that JSON
// escapes took six times their size in messages to the sequencer.
func TestTextsTakeNoMoreThanBase64(t *testing.T) {
	for _, piece := range []string{"<", "&", "\x01", "\u2028", "\"", "\n", "\\", "a", "a<", "\xff", "č", "a\nb\n", "\u2028<ab"} {
		text := Text(strings.Repeat(piece, 3000))
		body, err := json.Marshal(text)
		if most := base64.StdEncoding.EncodedLen(len(text)) + len(`"b"`); err != nil || len(body) > most {
			t.Errorf("%d times %q take %d bytes, %d at most: %v", 3000, piece, len(body), most, err)
		}
	}
}
