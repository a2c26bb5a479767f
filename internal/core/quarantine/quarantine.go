// Package quarantine tells requests apart by their content, which stays the same when
// a client sends one again under a new id, and at another node.
package quarantine
