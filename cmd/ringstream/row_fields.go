package main

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"ringstream.example/ringstream/internal/core/policy"
)

// withFields returns the row with fields changed by assignments of the form FIELD=VALUE.
func withFields(row policy.Row, assignments []string) (policy.Row, error) {
	text, err := json.Marshal(row)
	if err != nil {
		return row, err
	}
	var document map[string]any
	if err := json.Unmarshal(text, &document); err != nil {
		return row, err
	}
	for _, assignment := range assignments {
		if err := setField(document, assignment); err != nil {
			return row, err
		}
	}
	if text, err = json.Marshal(document); err != nil {
		return row, err
	}
	var changed policy.Row
	if err := json.Unmarshal(text, &changed); err != nil {
		return row, err
	}
	changed.ID, changed.Revision = row.ID, row.Revision
	return changed, nil
}

// setField sets one field of a JSON document. The type of the field is that of its current value.
func setField(document map[string]any, assignment string) error {
	path, value, ok := strings.Cut(assignment, "=")
	if !ok {
		return fmt.Errorf("--set %q: write FIELD=VALUE", assignment)
	}
	names := strings.Split(path, ".")
	section := document
	for _, name := range names[:len(names)-1] {
		inner, ok := section[name].(map[string]any)
		if !ok {
			return fmt.Errorf("--set %s: there is no section %q; fields: %s", path, name, fieldNames(document))
		}
		section = inner
	}
	last := names[len(names)-1]
	switch current := section[last].(type) {
	case string:
		section[last] = value
	case float64:
		number, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return fmt.Errorf("--set %s: %q is not a number (it is %v now)", path, value, current)
		}
		section[last] = number
	case bool:
		boolean, err := strconv.ParseBool(value)
		if err != nil {
			return fmt.Errorf("--set %s: %q is not true or false", path, value)
		}
		section[last] = boolean
	default:
		return fmt.Errorf("--set %s: there is no such field; fields: %s", path, fieldNames(document))
	}
	return nil
}

// fieldNames returns the names of the settable fields, with dots between section and field.
func fieldNames(document map[string]any) string {
	var names []string
	for name, value := range document {
		inner, ok := value.(map[string]any)
		if !ok {
			names = append(names, name)
			continue
		}
		for field := range inner {
			names = append(names, name+"."+field)
		}
	}
	slices.Sort(names)
	return strings.Join(names, ", ")
}

// changedFields returns the differences between two rows as texts of the form FIELD: OLD -> NEW.
func changedFields(before, after policy.Row) []string {
	old, changed := flattenRow(before), flattenRow(after)
	var list []string
	for name, value := range changed {
		if name != "revision" && old[name] != value {
			list = append(list, fmt.Sprintf("%s: %v -> %v", name, old[name], value))
		}
	}
	slices.Sort(list)
	return list
}

// flattenRow returns a row's fields by name, with dots between section and field.
func flattenRow(row policy.Row) map[string]any {
	text, err := json.Marshal(row)
	if err != nil {
		return nil // unreachable: all fields of a row can be encoded as JSON
	}
	var document map[string]any
	if err := json.Unmarshal(text, &document); err != nil {
		return nil
	}
	flat := make(map[string]any)
	for name, value := range document {
		inner, ok := value.(map[string]any)
		if !ok {
			flat[name] = value
			continue
		}
		for field, innerValue := range inner {
			flat[name+"."+field] = innerValue
		}
	}
	return flat
}
