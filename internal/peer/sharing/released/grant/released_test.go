package grant

import (
	"reflect"
	"testing"

	"github.com/google/go-cmp/cmp"

	current "ringstream.example/ringstream/internal/core/grant"
)

// fill sets every field of a value to something other than its zero value.
func fill(value reflect.Value) {
	switch value.Kind() {
	case reflect.Struct:
		for i := range value.NumField() {
			fill(value.Field(i))
		}
	case reflect.Slice:
		value.Set(reflect.MakeSlice(value.Type(), 2, 2))
		for i := range value.Len() {
			fill(value.Index(i))
		}
	case reflect.String:
		value.SetString("text")
	case reflect.Bool:
		value.SetBool(true)
	case reflect.Float64:
		value.SetFloat(1.5)
	case reflect.Int, reflect.Int64:
		value.SetInt(3)
	default:
		value.SetUint(5)
	}
}

// A message that is read in the released form and sent on in it loses nothing.
func TestReleasedFormIsKept(t *testing.T) {
	var state State
	fill(reflect.ValueOf(&state).Elem())
	if difference := cmp.Diff(&state, FromState(state.Current())); difference != "" {
		t.Error(difference)
	}
	var reply Reply
	fill(reflect.ValueOf(&reply).Elem())
	if difference := cmp.Diff(&reply, FromReply(reply.Current())); difference != "" {
		t.Error(difference)
	}
}

// An earlier build takes each refusal for one by a tenant's limit, and would answer its client so.
func TestOnlyRefusalsByALimitReachEarlierBuilds(t *testing.T) {
	reply := FromReply(current.Reply{Refused: []current.Refusal{{ID: 1, Reason: current.RefusedByOverload}, {ID: 2}}})
	if len(reply.Refused) != 1 || reply.Refused[0].ID != 2 {
		t.Errorf("got %+v, want the refusal of 2 only", reply.Refused)
	}
}
