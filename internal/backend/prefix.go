package backend

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// PrefixBlockBytes is the number of prompt bytes that one block of an engine's
// prefix cache covers. Only whole blocks are cached.
const PrefixBlockBytes = 256

// AppendPrefixHashes appends one hash for each whole block of the prompt, in order,
// up to limit blocks. The hash of a block covers the model, the adapter, all earlier
// blocks and the block itself, so that one hash identifies the whole prefix up to the
// end of the block. CacheEvent.Prefix is such a hash. The function allocates only if
// the capacity of into is too small.
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
