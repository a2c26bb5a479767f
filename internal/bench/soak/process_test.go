package soak

import "testing"

// Three of 71 processes did not start: "listen tcp: address already in use". Two addresses that
// were found free were the same, since nobody listened at the first one yet.
func TestFreeAddressesAreGivenOnce(t *testing.T) {
	const asked = 2000
	free := addresses{given: make(map[string]bool)}
	seen := make(map[string]bool)
	for range asked {
		address, err := free.free()
		if err != nil {
			t.Fatal(err)
		}
		if seen[address] {
			t.Fatalf("%s was given twice", address)
		}
		seen[address] = true
	}
}
