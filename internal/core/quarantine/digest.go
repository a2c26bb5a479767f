package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
)

// Content is what makes two requests the same one, sent again.
type Content struct {
	Host   string
	Target string // path and query, as the client sent them
	Caller string // name of the tenant; empty: none
	Body   []byte
}

// Digest stands for a request's content. It is the front half of a SHA-256 sum, so
// that nobody can make a request that shares the digest of another caller's.
type Digest [sha256.Size / 2]byte

// shownBytes is how much of a digest stands in logs: two of a million contents
// share it with a chance of one in 37 million.
const shownBytes = 8

// String gives the digest as it stands in logs.
func (d Digest) String() string { return hex.EncodeToString(d[:shownBytes]) }

// Key gives the whole digest as text, for a record's key.
func (d Digest) Key() string { return hex.EncodeToString(d[:]) }

// ParseDigest reads what Key gave.
func ParseDigest(text string) (Digest, error) {
	var digest Digest
	content, err := hex.DecodeString(text)
	if err != nil {
		return digest, err
	}
	if len(content) != len(digest) {
		return digest, fmt.Errorf("quarantine: a digest has %d bytes, not %d", len(digest), len(content))
	}
	return Digest(content), nil
}

// Hash gives a part of the digest, for messages that need only tell contents apart.
func (d Digest) Hash() uint64 { return binary.LittleEndian.Uint64(d[:]) }

// Digest gives the digest of a content, the same at every node.
func (c Content) Digest() Digest {
	sum := sha256.New()
	var length [8]byte
	for _, part := range [][]byte{[]byte(c.Host), []byte(c.Target), []byte(c.Caller), c.Body} {
		binary.LittleEndian.PutUint64(length[:], uint64(len(part)))
		_, _ = sum.Write(length[:]) // a hash takes everything
		_, _ = sum.Write(part)
	}
	return Digest(sum.Sum(nil)[:len(Digest{})])
}
