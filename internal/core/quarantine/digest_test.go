package quarantine

import (
	"fmt"
	"testing"
)

func TestDigestTellsContentsApart(t *testing.T) {
	contents := []Content{
		{},
		{Host: "a"},
		{Target: "a"},
		{Caller: "a"},
		{Body: []byte("a")},
		{Host: "a", Target: "b"},
		{Host: "ab"},
		{Target: "ab"},
		{Host: "h", Target: "/p", Caller: "one", Body: []byte("x")},
		{Host: "h", Target: "/p", Caller: "two", Body: []byte("x")},
		{Host: "h", Target: "/p", Caller: "one", Body: []byte("y")},
		{Host: "h", Target: "/q", Caller: "one", Body: []byte("x")},
	}
	seen := make(map[Digest]int)
	for i, content := range contents {
		digest := content.Digest()
		if other, found := seen[digest]; found {
			t.Errorf("%+v and %+v share a digest", contents[other], content)
		}
		if again := content.Digest(); again != digest {
			t.Errorf("%+v: digest %s, then %s", content, digest, again)
		}
		seen[digest] = i
	}
}

func BenchmarkDigest(b *testing.B) {
	for _, size := range []int{1 << 10, 64 << 10} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			content := Content{Host: "host.example", Target: "/path/of/a/request", Caller: "tenant", Body: make([]byte, size)}
			b.SetBytes(int64(size))
			for b.Loop() {
				_ = content.Digest()
			}
		})
	}
}
