package identity

import (
	"encoding/json"
	"testing"
)

// TestIntentIsKept guards against a change of the form in which intents are stored: a node of another build could
// not tell that an attempt may have been sent.
func TestIntentIsKept(t *testing.T) {
	for text, intent := range map[string]Intent{
		`{"attempt":"a1","engine":"e1","incarnation":"i1"}`: {Attempt: "a1", Engine: "e1", Incarnation: "i1"},
		`{"attempt":"a1","engine":"e1"}`:                    {Attempt: "a1", Engine: "e1"},
	} {
		written, err := json.Marshal(intent)
		if err != nil || string(written) != text {
			t.Errorf("written as %s, %v; want %s", written, err, text)
		}
		var read Intent
		if err := json.Unmarshal([]byte(text), &read); err != nil || read != intent {
			t.Errorf("%s: read as %+v, %v", text, read, err)
		}
	}
}
