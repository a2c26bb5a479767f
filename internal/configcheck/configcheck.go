// Package configcheck provides the checks that the components' Validate methods
// share. Its errors carry the key, the value and the allowed values, so that
// package settings can add file and line. It reads no settings itself.
package configcheck

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"
)

// Error is one invalid setting.
type Error struct {
	Key     string // relative to the component's section ("address")
	Value   string
	Allowed string
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %q is wrong: allowed is %s", e.Key, e.Value, e.Allowed)
}

// AllowedAddress describes the values that Address accepts.
const AllowedAddress = "IP:port with the host an IP number, such as 127.0.0.1:8080 or [::1]:8080"

// Address checks that value is IP:port. Host names are rejected, since names are
// not resolved.
func Address(key, value string) error {
	if _, err := netip.ParseAddrPort(value); err != nil {
		return &Error{Key: key, Value: value, Allowed: AllowedAddress}
	}
	return nil
}

// OptionalAddress is like Address but also accepts the empty string.
func OptionalAddress(key, value string) error {
	if value == "" {
		return nil
	}
	return Address(key, value)
}

// Positive checks that a duration is above zero.
func Positive(key string, value time.Duration) error {
	if value <= 0 {
		return &Error{Key: key, Value: value.String(), Allowed: "a duration above zero, such as 500ms, 10s or 2m"}
	}
	return nil
}

// NotNegative checks that a duration is zero or above.
func NotNegative(key string, value time.Duration) error {
	if value < 0 {
		return &Error{Key: key, Value: value.String(), Allowed: "a duration of zero or above, such as 0s, 500ms or 2m"}
	}
	return nil
}

// Number is the constraint of the types that AtLeast and Between compare.
type Number interface {
	~int | ~int64 | ~uint64 | ~float64
}

// AtLeast checks that value is not below least.
func AtLeast[N Number](key string, value, least N) error {
	if value < least {
		return &Error{Key: key, Value: fmt.Sprint(value), Allowed: fmt.Sprintf("a number from %v up", least)}
	}
	return nil
}

// Between checks that value is in the range from least to most, both included. NaN
// is outside every range.
func Between[N Number](key string, value, least, most N) error {
	if value >= least && value <= most {
		return nil
	}
	return &Error{Key: key, Value: fmt.Sprint(value), Allowed: fmt.Sprintf("a number from %v to %v", least, most)}
}

// Required checks that a string is not blank.
func Required(key, value string) error {
	if strings.TrimSpace(value) == "" {
		return &Error{Key: key, Value: value, Allowed: "a value that is not empty"}
	}
	return nil
}

// OneOf checks that value is one of the choices.
func OneOf(key, value string, choices ...string) error {
	if slices.Contains(choices, value) {
		return nil
	}
	return &Error{Key: key, Value: value, Allowed: "one of " + strings.Join(choices, ", ")}
}

// Under prefixes the keys of a subsection's errors with the section's name. It does
// so for each part of a joined error.
func Under(section string, err error) error {
	if err == nil {
		return nil
	}
	if joined, ok := err.(interface{ Unwrap() []error }); ok {
		return underEach(section, joined.Unwrap())
	}
	if wrong, ok := err.(*Error); ok { //nolint:errorlint // only a bare error can be given a new key
		return &Error{Key: section + "." + wrong.Key, Value: wrong.Value, Allowed: wrong.Allowed}
	}
	return fmt.Errorf("%s: %w", section, err)
}

func underEach(section string, parts []error) error {
	prefixed := make([]error, len(parts))
	for i, part := range parts {
		prefixed[i] = Under(section, part)
	}
	return errors.Join(prefixed...)
}
