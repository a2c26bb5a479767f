package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
)

// Content holds the parts of a request that identify it. Two requests with equal contents
// count as the same request.
type Content struct {
	Host   string
	Target string // path and query, as the client sent them
	Caller string // name of the tenant; empty if there is none
	Body   []byte
}

// Digest identifies a request's content. It is the first half of a SHA-256 sum, so
// that nobody can make a request whose digest collides with another caller's.
type Digest [sha256.Size / 2]byte

// logDigestBytes is the number of digest bytes that are logged. The probability that two
// of a million contents share them is one in 37 million.
const logDigestBytes = 8

// String returns the shortened digest that is used in logs.
func (d Digest) String() string { return hex.EncodeToString(d[:logDigestBytes]) }

// Key returns the whole digest in hexadecimal, for use as a record's key.
func (d Digest) Key() string { return hex.EncodeToString(d[:]) }

// ParseDigest parses the text that Key returns.
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

// Hash returns the first 8 bytes of the digest as a number, for messages that only need to
// distinguish contents.
func (d Digest) Hash() uint64 { return binary.LittleEndian.Uint64(d[:]) }

// Digest returns the digest of a content. It is the same on every node.
func (c Content) Digest() Digest {
	sum := sha256.New()
	var length [8]byte
	for _, part := range [][]byte{[]byte(c.Host), []byte(c.Target), []byte(c.Caller), c.Body} {
		binary.LittleEndian.PutUint64(length[:], uint64(len(part)))
		_, _ = sum.Write(length[:]) // a hash never returns an error
		_, _ = sum.Write(part)
	}
	digest := Digest(sum.Sum(nil)[:len(Digest{})])
	if digest.IsPart() || digest.IsItem() {
		digest[0] = ^digest[0]
	}
	return digest
}
