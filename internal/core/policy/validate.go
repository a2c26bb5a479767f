package policy

import (
	"fmt"
	"math"
	"regexp"
	"slices"
	"strings"
)

// Bounds of a row's fields.
const (
	MinWeight = 1
	MaxWeight = 1000
	// maxNameLength is the maximum length of ids, pools and the literals of a match,
	// in bytes.
	maxNameLength = 128
)

var (
	idPattern   = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]*[a-z0-9])?$`)
	namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:/@-]*$`)
)

// FieldError reports an invalid field of a row and the values that are allowed.
type FieldError struct {
	Field   string // the path in JSON, such as "limits.concurrency"
	Value   any
	Allowed string
}

// Error implements the error interface.
func (e *FieldError) Error() string {
	return fmt.Sprintf("%s: %v is not allowed, want %s", e.Field, e.Value, e.Allowed)
}

// Validate checks a row by itself; CheckEdit checks it against the other rows of a
// table. It returns a *FieldError for the first invalid field.
func (r Row) Validate() error {
	checks := []func(Row) *FieldError{
		checkID, checkMatch, checkWeight, checkShare, checkClass, checkPool,
		func(row Row) *FieldError { return checkLimits("limits", row.Limits) },
		func(row Row) *FieldError { return checkLimits("tenant_limits", row.TenantLimits) },
	}
	for _, check := range checks {
		if err := check(r); err != nil {
			return err
		}
	}
	return nil
}

func checkID(row Row) *FieldError {
	if len(row.ID) > maxNameLength || !idPattern.MatchString(string(row.ID)) {
		return &FieldError{"id", quote(string(row.ID)), "1 to 128 of a-z, 0-9 and -, starting and ending with a letter or digit"}
	}
	return nil
}

func checkMatch(row Row) *FieldError {
	for _, field := range []struct{ name, value string }{{"match.tenant", row.Match.Tenant}, {"match.model", row.Match.Model}} {
		if field.value != Any && !validName(field.value) {
			return &FieldError{field.name, quote(field.value), `"*" or a name (1 to 128 of letters, digits and . _ : / @ -, starting with a letter or digit)`}
		}
	}
	if !slices.Contains([]Kind{KindOnline, KindBatch, Any}, row.Match.Kind) {
		return &FieldError{"match.kind", quote(string(row.Match.Kind)), `"online", "batch" or "*"`}
	}
	return nil
}

func checkWeight(row Row) *FieldError {
	if row.Weight < MinWeight || row.Weight > MaxWeight {
		return &FieldError{"weight", row.Weight, fmt.Sprintf("a whole number from %d to %d", MinWeight, MaxWeight)}
	}
	return nil
}

func checkShare(row Row) *FieldError {
	if !(row.NewSiteShare >= 0 && row.NewSiteShare <= 1) { // also false for NaN
		return &FieldError{"new_site_share", row.NewSiteShare, "a number from 0 to 1"}
	}
	return nil
}

func checkClass(row Row) *FieldError {
	classes := []DeadlineClass{DeadlineInteractive, DeadlineWindow, DeadlineOvernight}
	if !slices.Contains(classes, row.DeadlineClass) {
		return &FieldError{"deadline_class", quote(string(row.DeadlineClass)), `"interactive", "window" or "overnight"`}
	}
	return nil
}

func checkPool(row Row) *FieldError {
	if !validName(row.Pool) {
		return &FieldError{"pool", quote(row.Pool), "the name of a pool of engines (1 to 128 of letters, digits and . _ : / @ -)"}
	}
	return nil
}

func checkLimits(name string, limits Limits) *FieldError {
	rates := []struct {
		field string
		value float64
	}{{"requests_per_second", limits.RequestsPerSecond}, {"tokens_per_second", limits.TokensPerSecond}}
	for _, rate := range rates {
		if !(rate.value >= 0) || math.IsInf(rate.value, 0) {
			return &FieldError{name + "." + rate.field, rate.value, "a finite number of at least 0 (0: no limit)"}
		}
	}
	if limits.Concurrency < 0 {
		return &FieldError{name + ".concurrency", limits.Concurrency, "a whole number of at least 0 (0: no limit)"}
	}
	return nil
}

func validName(name string) bool {
	return len(name) <= maxNameLength && namePattern.MatchString(name)
}

func quote(value string) string {
	const maxQuotedBytes = 40
	if len(value) > maxQuotedBytes {
		value = strings.ToValidUTF8(value[:maxQuotedBytes], "") + "..."
	}
	return fmt.Sprintf("%q", value)
}
