package passjob

import "testing"

// TestRecordsThatCannotBeReliedOnAreRefused: the positions of listed items index a slice of
// Listed entries, so one out of range ended the process that read the row; null and an empty
// object were a job without an id. Of the values below the former code read 12 of 18.
func TestRecordsThatCannotBeReliedOnAreRefused(t *testing.T) {
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
			t.Errorf("%s was read as %+v", value, record)
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
		if record.ID == "" || len(record.ItemAt()) != record.Listed {
			t.Errorf("%q was read as %+v", value, record)
		}
		if again, err := Decode(record.Encode()); err != nil || again.ID != record.ID {
			t.Errorf("%q does not survive being written: %v", value, err)
		}
	})
}
