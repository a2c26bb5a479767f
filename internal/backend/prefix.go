package backend

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// PrefixBlockBytes is the length of prompt that one block of an engine's
// prefix cache covers, in bytes. Only whole blocks are cached.
const PrefixBlockBytes = 256

// AppendPrefixHashes appends one hash for each whole block of the prompt, in
// order, and stops after limit blocks. The hash of a block covers the model, the
// adapter, every earlier block and the block itself, so that one hash names the whole
// prefix up to it. CacheEvent.Prefix is such a hash. It allocates
// only when into is too short.
func AppendPrefixHashes(into []uint64, model, adapter, prompt string, limit int) []uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(model) // xxhash writes never fail
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(adapter)
	chain := digest.Sum64()
	var seed [8]byte
	for block := 0; block < limit && len(prompt) >= PrefixBlockBytes; block++ {
		binary.LittleEndian.PutUint64(seed[:], chain)
		digest.Reset()
		_, _ = digest.Write(seed[:])
		_, _ = digest.WriteString(prompt[:PrefixBlockBytes])
		chain = digest.Sum64()
		into = append(into, chain)
		prompt = prompt[PrefixBlockBytes:]
	}
	return into
}
