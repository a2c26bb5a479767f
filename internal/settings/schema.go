package settings

import (
	"reflect"
	"strings"
	"time"
)

// Field describes one key, as its struct tags declare it.
type Field struct {
	Key    string // dotted, as in the file ("gateway.address")
	Usage  string
	Unit   string // "bytes" for sizes, otherwise empty
	Secret bool
	Type   reflect.Type
	// Default is the value when nothing sets the key.
	Default any
}

// Environment returns the name of the key's environment variable.
func (f Field) Environment() string {
	return environmentPrefix + strings.ToUpper(strings.NewReplacer(".", "_", "-", "_").Replace(f.Key))
}

// Scalar reports whether a flag or an environment variable can hold the value:
// it is a scalar or a list of scalars.
func (f Field) Scalar() bool {
	return isScalar(f.Type) || (f.Type.Kind() == reflect.Slice && isScalar(f.Type.Elem()))
}

// Fields returns all keys with their defaults, in the order of the structs.
func Fields() []Field {
	defaults := Default()
	return appendFields(nil, "", reflect.ValueOf(defaults))
}

func appendFields(fields []Field, prefix string, value reflect.Value) []Field {
	for _, member := range members(value.Type()) {
		key := prefix + member.key
		inner := value.FieldByIndex(member.index)
		if isSection(member.structField.Type) {
			fields = appendFields(fields, key+".", inner)
			continue
		}
		fields = append(fields, Field{
			Key:     key,
			Usage:   member.structField.Tag.Get("usage"),
			Unit:    member.unit(),
			Secret:  member.structField.Tag.Get("secret") == "true",
			Type:    member.structField.Type,
			Default: inner.Interface(),
		})
	}
	return fields
}

// member is one field of a section's struct. Fields of squashed structs are
// members of the outer struct.
type member struct {
	key         string
	index       []int
	structField reflect.StructField
}

// unit returns "bytes" for sizes, which the key's suffix or the unit tag marks.
func (m member) unit() string {
	if strings.HasSuffix(m.key, "_"+unitBytes) {
		return unitBytes
	}
	return m.structField.Tag.Get("unit")
}

func members(section reflect.Type) []member {
	var all []member
	for i := range section.NumField() {
		field := section.Field(i)
		key, options, _ := strings.Cut(field.Tag.Get("koanf"), ",")
		if options == "squash" {
			for _, inner := range members(field.Type) {
				inner.index = append([]int{i}, inner.index...)
				all = append(all, inner)
			}
			continue
		}
		if key != "" && key != "-" {
			all = append(all, member{key: key, index: []int{i}, structField: field})
		}
	}
	return all
}

var (
	durationType = reflect.TypeFor[time.Duration]()
	timeType     = reflect.TypeFor[time.Time]()
)

// isSection reports whether a type is a struct of nested keys.
func isSection(t reflect.Type) bool { return t.Kind() == reflect.Struct && t != timeType }

func isScalar(t reflect.Type) bool {
	switch t.Kind() {
	case reflect.String, reflect.Bool, reflect.Int, reflect.Int64, reflect.Uint64, reflect.Float64:
		return true
	default:
		return false
	}
}
