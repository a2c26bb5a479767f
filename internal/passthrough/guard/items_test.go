package guard

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"ringstream.example/ringstream/internal/core/enginechoice"
	"ringstream.example/ringstream/internal/core/quarantine"
	"ringstream.example/ringstream/internal/passthrough/engineconn"
)

// endUnderItem records that an engine ended under an item.
func (s *Service) endUnderItem(engine int, identity quarantine.Identity, wrote time.Duration) {
	s.recordEngineEnd(Run{Identity: identity, Item: true, Wrote: wrote, Engine: engineconn.Key{Engine: enginechoice.Incarnation{ID: fmt.Sprint("e", engine)}}})
}

// Guards against requests that are refused since engines ended under items with their content or with a
// part of their prompts, and against an item that is held, or that pauses for longer than the bound.
func TestCrashesUnderItemsBlockNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const engines = 12
		s := newPartsService(engines)
		item := promptOf("unlucky", "first", "middle")
		for engine := range engines {
			s.endUnderItem(engine, item, 0)
			state := s.Item(item)
			if pause := time.Until(state.NotBefore); state.Order.Blocked || state.Crashes != engine+1 || pause != quarantine.ItemPause(engine+1) {
				t.Errorf("after %d crashes: %+v, a pause of %v", engine+1, state, pause)
			}
			time.Sleep(300 * time.Millisecond)
		}
		if s.blocks(item) || s.blocks(promptOf("other", "first", "middle")) || len(s.Blocked()) != 0 {
			t.Error("a request is blocked")
		}
		s.RecordItemSuccess("i", item)
		if state := s.Item(item); state.Crashes != 0 || state.Suspect.Content != 0 || !state.NotBefore.IsZero() {
			t.Errorf("after a complete run: %+v", state)
		}
	})
}

// Guards against complete runs of items that end the block of requests which crash engines, with the same
// content or a part of the prompt.
func TestCompleteItemEndsNoBlock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newPartsService(12)
		for engine := range 4 {
			s.endUnder(engine, promptOf("guilty"))
			time.Sleep(300 * time.Millisecond)
			s.endUnder(4+engine, promptOf(fmt.Sprint("with", engine), "first", "bad"))
			s.RecordSuccess("r", promptOf(fmt.Sprint("sound", engine), "first"))
			time.Sleep(300 * time.Millisecond)
		}
		if !s.blocks(promptOf("guilty")) || !s.blocks(promptOf("new", "first", "bad")) {
			t.Fatal("the test needs a blocked content and a blocked part")
		}
		s.RecordItemSuccess("i", promptOf("guilty", "first", "bad"))
		s.endUnderItem(8, promptOf("another", "first", "bad"), 2*quarantine.HarmlessAfter)
		if !s.blocks(promptOf("guilty")) {
			t.Error("the content is no longer blocked")
		}
		if !s.blocks(promptOf("new", "first", "bad")) {
			t.Error("the part is no longer blocked")
		}
	})
}
