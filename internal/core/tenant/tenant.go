// Package tenant holds the tenants of a configuration and finds the tenant that
// owns a key. It stores only digests of keys, so that no key can be read back
// from it, and it does no I/O.
package tenant

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
)

// Limit bounds the rate of a tenant's requests over all nodes.
type Limit struct {
	PerSecond float64 // requests per second; 0 means no limit
	Burst     float64 // requests on top of PerSecond
}

// Limited reports whether there is a limit.
func (l Limit) Limited() bool { return l.PerSecond > 0 }

// Tenant is one customer of the fleet.
type Tenant struct {
	Name string
	// Priority takes precedence over a route's priority in every queue; 0 is the
	// highest.
	Priority int
	Limit    Limit
}

// Definition is a tenant as defined in an operator's document.
type Definition struct {
	Tenant
	Keys []string
}

// keyDigest identifies a key. The time of a lookup by digest reveals nothing about
// the known keys, because a caller cannot choose the digest.
type keyDigest [sha256.Size]byte

// Directory holds the tenants of one version of the configuration. It is immutable.
type Directory struct {
	byKey  map[keyDigest]*Tenant
	byName map[string]*Tenant
}

// Problem describes an invalid part of a definition.
type Problem struct {
	Tenant string
	Text   string // what is wrong and what applies instead, without a key in clear text
}

// Error implements error.
func (p Problem) Error() string { return fmt.Sprintf("tenant %q: %s", p.Tenant, p.Text) }

// NewDirectory returns the directory of the definitions. Invalid parts are left out
// and returned as problems: an empty key and a key of two tenants belong to no tenant,
// a negative limit counts as no limit, and two definitions of one name give a tenant
// with the priority and limit of the first and the keys of both.
func NewDirectory(definitions []Definition) (*Directory, []Problem) {
	directory := &Directory{byKey: make(map[keyDigest]*Tenant), byName: make(map[string]*Tenant, len(definitions))}
	var problems []Problem
	sharedKeys := make(map[keyDigest]bool)
	for _, definition := range definitions {
		known := directory.byName[definition.Name]
		if known != nil {
			problems = append(problems, Problem{definition.Name, "defined twice; the first priority and limit hold, with the keys of both"})
		} else {
			tenant := definition.Tenant
			if tenant.Limit.PerSecond < 0 || tenant.Limit.Burst < 0 {
				problems = append(problems, Problem{definition.Name, fmt.Sprintf("a limit of %v requests a second with a burst of %v; taken as no limit", tenant.Limit.PerSecond, tenant.Limit.Burst)})
				tenant.Limit = Limit{}
			}
			known = &tenant
			directory.byName[definition.Name] = known
		}
		for _, key := range definition.Keys {
			if key == "" {
				problems = append(problems, Problem{definition.Name, "an empty key; nobody holds it"})
				continue
			}
			digest := digestOf(key)
			if holder := directory.byKey[digest]; sharedKeys[digest] || (holder != nil && holder != known) {
				problems = append(problems, Problem{definition.Name, "the key " + Mask(key) + " is another tenant's too; nobody holds it"})
				sharedKeys[digest] = true
				delete(directory.byKey, digest)
				continue
			}
			directory.byKey[digest] = known
		}
	}
	return directory, problems
}

// Len returns the number of tenants. A nil directory has none.
func (d *Directory) Len() int {
	if d == nil {
		return 0
	}
	return len(d.byName)
}

// ByKey returns the tenant that owns a key. It does not allocate for keys of at most
// maxStackKeyBytes.
func (d *Directory) ByKey(key string) (*Tenant, bool) {
	if d == nil || key == "" {
		return nil, false
	}
	found, known := d.byKey[digestOf(key)]
	return found, known
}

// ByName returns the tenant with a name.
func (d *Directory) ByName(name string) (*Tenant, bool) {
	if d == nil {
		return nil, false
	}
	found, known := d.byName[name]
	return found, known
}

// Each calls a function for each tenant, in no particular order.
func (d *Directory) Each(do func(*Tenant)) {
	if d == nil {
		return
	}
	for _, known := range d.byName {
		do(known)
	}
}

// maxStackKeyBytes is the maximum length of a key that is hashed from a buffer on the
// stack; longer keys cost an allocation.
const maxStackKeyBytes = 128

func digestOf(key string) keyDigest {
	if len(key) > maxStackKeyBytes {
		return sha256.Sum256([]byte(key))
	}
	var content [maxStackKeyBytes]byte
	return sha256.Sum256(content[:copy(content[:], key)])
}

// maskBytes is the number of digest bytes that identify a key in logs. They are enough
// to distinguish the keys of an operator and too few to find a key.
const maskBytes = 4

// Mask returns the name of a key for logs and errors, or an empty string for an empty
// key.
func Mask(key string) string {
	if key == "" {
		return ""
	}
	digest := digestOf(key)
	return "key-" + hex.EncodeToString(digest[:maskBytes])
}
