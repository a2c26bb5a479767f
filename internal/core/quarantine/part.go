package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
)

// Part is a part of a prompt that other requests share.
type Part struct {
	Host string // of the requests; parts of different hosts have nothing in common
	ID   string
}

// partMark begins the digests of parts. No digest of a content begins with it, so that nodes exchange
// and store the crashes of both alike.
var partMark = [...]byte{0x50, 0x54}

// Digest returns the digest of a part. It is the same on every node.
func (p Part) Digest() Digest {
	sum := sha256.New()
	var length [8]byte
	for _, field := range []string{p.Host, p.ID} {
		binary.LittleEndian.PutUint64(length[:], uint64(len(field)))
		_, _ = sum.Write(length[:]) // a hash never returns an error
		_, _ = sum.Write([]byte(field))
	}
	digest := Digest(sum.Sum(nil)[:len(Digest{})])
	copy(digest[:], partMark[:])
	return digest
}

// IsPart reports whether the digest is that of a part.
func (d Digest) IsPart() bool { return [len(partMark)]byte(d[:]) == partMark }

// Identity is what identifies a request: its content, and the parts of its prompt that other requests
// share.
type Identity struct {
	Content Digest
	Parts   []Digest
}

// Digests returns the digests of the content and of the parts.
func (i Identity) Digests() []Digest { return append([]Digest{i.Content}, i.Parts...) }
