package archiver

import (
	"bytes"
	"encoding/json"
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
