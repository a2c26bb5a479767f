package peer

import (
	"fmt"
	"reflect"
	"sync"

	"github.com/cespare/xxhash/v2"

	"ringstream.example/ringstream/internal/core/membership"
)

// messageType is one registered type. Its tag identifies it on the wire with four bytes,
// in place of the name that gob writes with each interface value.
type messageType struct {
	tag    uint32
	name   string
	goType reflect.Type
}

var registry = struct {
	sync.RWMutex
	byTag  map[uint32]*messageType
	byType map[reflect.Type]*messageType
}{byTag: map[uint32]*messageType{}, byType: map[reflect.Type]*messageType{}}

// Register registers the types of the given values as message types. Registering a type
// again has no effect. Register panics if two types have the same tag, which is a hash of
// the type's package and name.
func Register(prototypes ...any) {
	registry.Lock()
	defer registry.Unlock()
	for _, prototype := range prototypes {
		goType := reflect.TypeOf(prototype)
		if registry.byType[goType] != nil {
			continue
		}
		name := goType.String()
		added := &messageType{tag: uint32(xxhash.Sum64String(name)), name: name, goType: goType}
		if other := registry.byTag[added.tag]; other != nil {
			panic(fmt.Sprintf("peer: message types %s and %s have one tag", name, other.name))
		}
		registry.byTag[added.tag] = added
		registry.byType[goType] = added
	}
}

// Registered reports whether a message's type is registered and can be sent. The types of replies must be too.
func Registered(message any) bool {
	_, err := typeOf(message)
	return err == nil
}

// typeOf returns the registered type of a message, or an error that wraps ErrNotRegistered.
func typeOf(message any) (*messageType, error) {
	registry.RLock()
	defer registry.RUnlock()
	found := registry.byType[reflect.TypeOf(message)]
	if found == nil {
		return nil, fmt.Errorf("%w: %T", ErrNotRegistered, message)
	}
	return found, nil
}

// typeByTag returns the registered type with a tag, or an error that wraps ErrNotRegistered.
func typeByTag(tag uint32) (*messageType, error) {
	registry.RLock()
	defer registry.RUnlock()
	found := registry.byTag[tag]
	if found == nil {
		return nil, fmt.Errorf("%w: tag %08x", ErrNotRegistered, tag)
	}
	return found, nil
}

func init() {
	Register(hello{}, membership.Heartbeat{}, membership.Deltas{}, membership.Sync{})
}
