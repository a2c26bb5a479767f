// Package tenant knows the tenants of a configuration and finds the one that
// holds a key. It keeps digests of keys only, so that no key can be read back
// from it, and it does no I/O.
package tenant

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
)

// Limit is how many requests a tenant may have run over all nodes.
type Limit struct {
	PerSecond float64 // 0: no limit
	Burst     float64 // requests on top of PerSecond
}

// Limited says whether there is a limit.
func (l Limit) Limited() bool { return l.PerSecond > 0 }

// Tenant is one customer of the fleet.
type Tenant struct {
	Name string
	// Priority goes before a route's in every queue; 0 is the highest.
	Priority int
	Limit    Limit
}

// Definition is a tenant as an operator's document defines it.
type Definition struct {
	Tenant
	Keys []string
}

// keyDigest stands for a key. A lookup by digest takes a time that tells nothing
// of the keys that are known: who asks cannot choose the digest.
type keyDigest [sha256.Size]byte

// Directory holds the tenants of one version of the configuration. It does not
// change once made.
type Directory struct {
	byKey  map[keyDigest]*Tenant
	byName map[string]*Tenant
}

// Problem is a part of a definition that cannot hold as it stands.
type Problem struct {
	Tenant string
	Text   string // what is wrong, and what holds instead; no key in clear
}

// Error implements error.
func (p Problem) Error() string { return fmt.Sprintf("tenant %q: %s", p.Tenant, p.Text) }

// NewDirectory makes the directory of some definitions. What cannot hold is left
// out and told as problems: an empty key is nobody's, a key of two tenants is
// nobody's either, a negative limit is none, and of two definitions of one name
// the first one's priority and limit hold, with the keys of both.
func NewDirectory(definitions []Definition) (*Directory, []Problem) {
	made := &Directory{byKey: make(map[keyDigest]*Tenant), byName: make(map[string]*Tenant, len(definitions))}
	var problems []Problem
	shared := make(map[keyDigest]bool)
	for _, definition := range definitions {
		known := made.byName[definition.Name]
		if known != nil {
			problems = append(problems, Problem{definition.Name, "defined twice; the first priority and limit hold, with the keys of both"})
		} else {
			tenant := definition.Tenant
			if tenant.Limit.PerSecond < 0 || tenant.Limit.Burst < 0 {
				problems = append(problems, Problem{definition.Name, fmt.Sprintf("a limit of %v requests a second with a burst of %v; taken as no limit", tenant.Limit.PerSecond, tenant.Limit.Burst)})
				tenant.Limit = Limit{}
			}
			known = &tenant
			made.byName[definition.Name] = known
		}
		for _, key := range definition.Keys {
			if key == "" {
				problems = append(problems, Problem{definition.Name, "an empty key; nobody holds it"})
				continue
			}
			digest := digestOf(key)
			if holder := made.byKey[digest]; shared[digest] || (holder != nil && holder != known) {
				problems = append(problems, Problem{definition.Name, "the key " + Mask(key) + " is another tenant's too; nobody holds it"})
				shared[digest] = true
				delete(made.byKey, digest)
				continue
			}
			made.byKey[digest] = known
		}
	}
	return made, problems
}

// Len counts the tenants. A nil directory has none.
func (d *Directory) Len() int {
	if d == nil {
		return 0
	}
	return len(d.byName)
}

// ByKey gives the tenant that holds a key. It allocates nothing.
func (d *Directory) ByKey(key string) (*Tenant, bool) {
	if d == nil || key == "" {
		return nil, false
	}
	found, known := d.byKey[digestOf(key)]
	return found, known
}

// ByName gives a tenant by its name.
func (d *Directory) ByName(name string) (*Tenant, bool) {
	if d == nil {
		return nil, false
	}
	found, known := d.byName[name]
	return found, known
}

// Each calls a function for each tenant, in no order.
func (d *Directory) Each(do func(*Tenant)) {
	if d == nil {
		return
	}
	for _, known := range d.byName {
		do(known)
	}
}

// longestKey is how many bytes of a key are copied to be digested without
// allocating; longer keys cost an allocation.
const longestKey = 128

func digestOf(key string) keyDigest {
	if len(key) > longestKey {
		return sha256.Sum256([]byte(key))
	}
	var content [longestKey]byte
	return sha256.Sum256(content[:copy(content[:], key)])
}

// maskBytes of a key's digest stand for it in logs: enough to tell the keys of
// an operator apart, too few to find a key by.
const maskBytes = 4

// Mask gives what a key is called in logs and errors; empty for no key.
func Mask(key string) string {
	if key == "" {
		return ""
	}
	digest := digestOf(key)
	return "key-" + hex.EncodeToString(digest[:maskBytes])
}
