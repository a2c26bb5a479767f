package settings

import (
	"reflect"
	"time"
)

// maskedValue is displayed in place of a secret that is set.
const maskedValue = "******"

// Entry is one effective setting as `config print` shows it, as text or JSON.
type Entry struct {
	Key    string `json:"key"`
	Value  any    `json:"value"`
	Origin string `json:"origin"`
}

// Effective returns all keys with their values and origins. Secrets are masked.
func (l Loaded) Effective() []Entry {
	fields := Fields()
	entries := make([]Entry, len(fields))
	for i, field := range fields {
		value := valueOf(l.Settings, field.Key)
		origin := l.Origins[field.Key]
		if origin.Kind == "" {
			origin.Kind = FromDefault
		}
		entries[i] = Entry{Key: field.Key, Value: displayValue(field, value), Origin: origin.String()}
	}
	return entries
}

// Text returns the value in the syntax of the settings file.
func (e Entry) Text() string { return formatValue(e.Value, "") }

func displayValue(field Field, value any) any {
	if field.Secret {
		if reflect.ValueOf(value).IsZero() {
			return value
		}
		return maskedValue
	}
	if _, isDuration := value.(time.Duration); isDuration || field.Unit == unitBytes {
		return formatValue(value, field.Unit)
	}
	return value
}

// valueOf returns the value of a key, or nil if the key is unknown.
func valueOf(settings Settings, key string) any {
	value := reflect.ValueOf(settings)
	for _, field := range flatFields("", value) {
		if field.key == key {
			return field.value.Interface()
		}
	}
	return nil
}

type flatField struct {
	key   string
	value reflect.Value
}

func flatFields(prefix string, section reflect.Value) []flatField {
	var fields []flatField
	for _, member := range members(section.Type()) {
		inner := section.FieldByIndex(member.index)
		if isSection(inner.Type()) {
			fields = append(fields, flatFields(prefix+member.key+".", inner)...)
			continue
		}
		fields = append(fields, flatField{key: prefix + member.key, value: inner})
	}
	return fields
}
