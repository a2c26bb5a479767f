package quarantine

import (
	"fmt"
	"testing"
)

func TestDigestsOfPartsAndContentsDiffer(t *testing.T) {
	seen := make(map[Digest]string)
	for _, part := range []Part{{Host: "h", ID: "a"}, {Host: "h", ID: "b"}, {Host: "g", ID: "a"}, {Host: "ha", ID: ""}} {
		digest := part.Digest()
		if other, found := seen[digest]; found || !digest.IsPart() {
			t.Errorf("%+v has the digest of %s, or one that is no part's", part, other)
		}
		seen[digest] = fmt.Sprintf("%+v", part)
	}
	for i := range 200_000 { // some three of them begin with partMark before it is avoided
		if (Content{Target: fmt.Sprint(i)}).Digest().IsPart() {
			t.Fatalf("content %d has the digest of a part", i)
		}
	}
}
