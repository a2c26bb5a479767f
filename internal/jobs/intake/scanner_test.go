package intake

import (
	"bytes"
	"encoding/json"
	"errors"
	"strings"
	"testing"

	"ringstream.example/ringstream/internal/apierror"
	"ringstream.example/ringstream/internal/jobs/record"
)

var fuzzLimits = Limits{MaxItems: 20, MaxLineBytes: 200, MaxTokens: 100, SegmentItems: 3, SegmentBytes: 150}

// referenceScan is the reference model of Scanner. It splits the whole submission
// at once and returns its items, and whether they are to be accepted.
func referenceScan(text string) ([]record.Item, bool) {
	var items []record.Item
	seen := map[string]bool{}
	for line := range strings.SplitSeq(text, "\n") {
		if len(strings.TrimSuffix(line, "\r")) >= fuzzLimits.MaxLineBytes {
			return nil, false
		}
		if line = strings.TrimSpace(line); line == "" {
			continue
		}
		var item record.Item
		decoder := json.NewDecoder(strings.NewReader(line))
		decoder.DisallowUnknownFields()
		if decoder.Decode(&item) != nil || decoder.More() || seen[item.ID] || item.ID == "" || item.Prompt == "" ||
			item.MaxTokens < 1 || item.MaxTokens > fuzzLimits.MaxTokens {
			return nil, false
		}
		seen[item.ID] = true
		items = append(items, item)
	}
	return items, len(items) > 0 && len(items) <= fuzzLimits.MaxItems
}

func FuzzScanner(f *testing.F) {
	f.Add(`{"custom_id":"a","prompt":"p","max_tokens":1}` + "\n\n" + `{"custom_id":"b","prompt":"q","max_tokens":2,"repeatable":false}`)
	f.Add(`{"custom_id":"a","prompt":"p","max_tokens":1}` + "\n" + `{"custom_id":"a","prompt":"p","max_tokens":1}`)
	f.Add(`{"custom_id":"a","prompt":"p","max_tokens":101}`)
	f.Add("\x00")
	f.Fuzz(func(t *testing.T, text string) {
		var stored []record.Item
		content, err := NewScanner(strings.NewReader(text), true, fuzzLimits).ReadAll(func(_ int, lines []byte) error {
			decoder := json.NewDecoder(bytes.NewReader(lines))
			for decoder.More() {
				var item record.Item
				if err := decoder.Decode(&item); err != nil {
					t.Fatal(err)
				}
				stored = append(stored, item)
			}
			return nil
		})
		want, accepted := referenceScan(text)
		if accepted != (err == nil) {
			t.Fatalf("%q: error %v, want accepted %v", text, err, accepted)
		}
		var failure *apierror.Error
		if err != nil {
			if !errors.As(err, &failure) || failure.Message == "" {
				t.Fatalf("error is not an *apierror.Error with a message: %v", err)
			}
			return
		}
		total := 0
		for _, size := range content.Segments {
			total += size
		}
		if total != len(want) || len(stored) != len(want) {
			t.Fatalf("%d items in segments, %d stored, want %d", total, len(stored), len(want))
		}
		for i, item := range stored {
			repeatable := want[i].Repeatable == nil || *want[i].Repeatable
			if item.ID != want[i].ID || item.Prompt != want[i].Prompt || item.MaxTokens != want[i].MaxTokens || *item.Repeatable != repeatable {
				t.Fatalf("item %d is %+v, want %+v", i, item, want[i])
			}
		}
	})
}
