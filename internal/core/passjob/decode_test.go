package passjob

import "testing"

// TestDecodeRejectsInconsistentRecords guards against records that Decode accepted
// before it checked them, 12 of the 18 values below. The positions of listed items
// index a slice of Listed entries, so a position out of range crashed the process
// that read the row. null and an empty object were decoded as a job without an id.
func TestDecodeRejectsInconsistentRecords(t *testing.T) {
	const item = `{"id":"i","tokens":3}`
	for _, value := range []string{
		``, `{`, `null`, `{}`, `[]`, "\xff", `{"id":7}`,
		`{"id":"j","format":99,"items":[` + item + `]}`,
		`{"id":"j","epoch":-1,"items":[` + item + `]}`,
		`{"id":"j","listed":1,"items":[` + item + `]}`,
		`{"id":"j","listed":-1,"items":[` + item + `]}`,
		`{"id":"j","items":[{"id":"i","failures":-3}]}`,
		`{"id":"j","items":[{"id":"i","state":9}]}`,
		`{"id":"j","items":[{"tokens":3}]}`,
		`{"id":"j","listed":1,"items":[{"id":"i","state":1,"position":1}]}`,
		`{"id":"j","listed":1,"items":[{"id":"i","state":1,"position":-1}]}`,
		`{"id":"j","listed":2,"items":[{"id":"i","state":1},{"id":"k","state":2}]}`,
		`{"id":"j","listed":1,"items":[{"id":"i","state":1},{"id":"k","state":1}]}`,
	} {
		if record, err := Decode([]byte(value)); err == nil {
			t.Errorf("%s was decoded as %+v", value, record)
		}
	}
	if _, err := Decode([]byte(`{"id":"j","listed":1,"later":{},"items":[` + item + `,{"id":"k","state":2}]}`)); err != nil {
		t.Error(err)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"id":"j","listed":1,"items":[{"id":"i","tokens":3},{"id":"k","state":2}]}`))
	f.Add([]byte(`{"id":"j","listed":1,"items":[{"id":"i","state":1,"position":7}]}`))
	f.Add([]byte("null"))
	f.Fuzz(func(t *testing.T, value []byte) {
		record, err := Decode(value)
		if err != nil {
			return
		}
		if record.ID == "" || len(record.ItemsByPosition()) != record.Listed {
			t.Errorf("%q was decoded as %+v", value, record)
		}
		if again, err := Decode(record.Encode()); err != nil || again.ID != record.ID {
			t.Errorf("%q cannot be decoded after encoding: %v", value, err)
		}
	})
}
