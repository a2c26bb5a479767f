package settings

import (
	"errors"
	"fmt"
	"io"
	"reflect"
	"strings"

	"gopkg.in/yaml.v3"
)

// fileReader walks a YAML document along with the settings structs, and collects
// values, origins and errors.
type fileReader struct {
	name    string
	values  map[string]any // by full key, without section keys
	origins map[string]Origin
	errors  []error
}

// readFile parses settings text. The returned values have the fields' types.
func readFile(name string, source io.Reader) (*fileReader, error) {
	reader := &fileReader{name: name, values: make(map[string]any), origins: make(map[string]Origin)}
	var document yaml.Node
	decoder := yaml.NewDecoder(source)
	if err := decoder.Decode(&document); err != nil {
		if errors.Is(err, io.EOF) {
			return reader, nil
		}
		return nil, &Error{Origin: Origin{Kind: FromFile, Name: name}, Problem: strings.TrimPrefix(err.Error(), "yaml: ")}
	}
	if err := decoder.Decode(&yaml.Node{}); !errors.Is(err, io.EOF) {
		return nil, &Error{Origin: Origin{Kind: FromFile, Name: name}, Problem: "more than one YAML document"}
	}
	if len(document.Content) == 1 {
		reader.section("", document.Content[0], reflect.TypeFor[Settings]())
	}
	return reader, errors.Join(reader.errors...)
}

func (r *fileReader) origin(node *yaml.Node) Origin {
	return Origin{Kind: FromFile, Name: r.name, Line: node.Line}
}

func (r *fileReader) addError(node *yaml.Node, key, allowed string) {
	value := node.Value
	if node.Kind != yaml.ScalarNode {
		value = kindName(node.Kind)
	}
	r.errors = append(r.errors, &Error{Origin: r.origin(node), Key: key, Value: value, Allowed: allowed})
}

func kindName(kind yaml.Kind) string {
	switch kind {
	case yaml.MappingNode:
		return "a mapping"
	case yaml.SequenceNode:
		return "a list"
	default:
		return "an alias"
	}
}

// section reads the keys of a section.
func (r *fileReader) section(key string, node *yaml.Node, section reflect.Type) {
	r.eachKey(key, node, section, func(path string, member member, value *yaml.Node) {
		if isSection(member.structField.Type) {
			r.section(path, value, member.structField.Type)
			return
		}
		if converted, ok := r.value(path, value, member.structField.Type, member.unit()); ok {
			r.values[path] = converted
		}
	})
}

// eachKey calls visit for each known key of a mapping, and records an error for
// each unknown or repeated one.
func (r *fileReader) eachKey(key string, node *yaml.Node, section reflect.Type, visit func(string, member, *yaml.Node)) {
	node = resolveAlias(node)
	if isNull(node) {
		return
	}
	if node.Kind != yaml.MappingNode {
		r.addError(node, key, "a section of keys")
		return
	}
	known := members(section)
	seen := make(map[string]int)
	for i := 0; i+1 < len(node.Content); i += 2 {
		name, value := node.Content[i], node.Content[i+1]
		path := joinKey(key, name.Value)
		if line, duplicate := seen[name.Value]; duplicate {
			problem := fmt.Sprintf("the key is given twice, first on line %d", line)
			r.errors = append(r.errors, &Error{Origin: r.origin(name), Key: path, Problem: problem})
			continue
		}
		seen[name.Value] = name.Line
		r.origins[path] = r.origin(name)
		if found, ok := findMember(known, name.Value); ok {
			visit(path, found, value)
			continue
		}
		r.errors = append(r.errors, unknownKey(r.origin(name), path, name.Value, keysOf(known)))
	}
}

// value converts a node to a value that koanf can decode into the field's type.
func (r *fileReader) value(key string, node *yaml.Node, target reflect.Type, unit string) (any, bool) {
	node = resolveAlias(node)
	switch {
	case isScalar(target):
		return r.scalar(key, node, target, unit)
	case target.Kind() == reflect.Slice:
		return r.list(key, node, target.Elem(), unit)
	case target.Kind() == reflect.Map:
		return r.mapping(key, node, target.Elem(), unit)
	case isSection(target):
		errorsBefore := len(r.errors)
		fields := make(map[string]any)
		r.eachKey(key, node, target, func(path string, member member, inner *yaml.Node) {
			if converted, ok := r.value(path, inner, member.structField.Type, member.unit()); ok {
				fields[member.key] = converted
			}
		})
		return fields, len(r.errors) == errorsBefore
	default:
		r.addError(node, key, "nothing: settings do not hold values of type "+target.String())
		return nil, false
	}
}

func (r *fileReader) scalar(key string, node *yaml.Node, target reflect.Type, unit string) (any, bool) {
	text := node.Value
	if isNull(node) {
		text = ""
	}
	if node.Kind != yaml.ScalarNode {
		r.addError(node, key, "a single value")
		return nil, false
	}
	value, allowed := convertScalar(text, target, unit)
	if allowed != "" {
		r.addError(node, key, allowed)
		return nil, false
	}
	return value, true
}

func (r *fileReader) list(key string, node *yaml.Node, element reflect.Type, unit string) (any, bool) {
	if isNull(node) {
		return []any{}, true
	}
	if node.Kind != yaml.SequenceNode {
		r.addError(node, key, "a list")
		return nil, false
	}
	list := make([]any, 0, len(node.Content))
	for i, item := range node.Content {
		path := fmt.Sprintf("%s[%d]", key, i)
		r.origins[path] = r.origin(item)
		if value, ok := r.value(path, item, element, unit); ok {
			list = append(list, value)
		}
	}
	return list, len(list) == len(node.Content)
}

func (r *fileReader) mapping(key string, node *yaml.Node, element reflect.Type, unit string) (any, bool) {
	if isNull(node) {
		return map[string]any{}, true
	}
	if node.Kind != yaml.MappingNode {
		r.addError(node, key, "a mapping")
		return nil, false
	}
	values := make(map[string]any)
	for i := 0; i+1 < len(node.Content); i += 2 {
		path := joinKey(key, node.Content[i].Value)
		r.origins[path] = r.origin(node.Content[i])
		value, ok := r.value(path, node.Content[i+1], element, unit)
		if !ok {
			return nil, false
		}
		values[node.Content[i].Value] = value
	}
	return values, true
}

func resolveAlias(node *yaml.Node) *yaml.Node {
	if node.Kind == yaml.AliasNode {
		return node.Alias
	}
	return node
}

func isNull(node *yaml.Node) bool { return node.Kind == yaml.ScalarNode && node.Tag == "!!null" }

func joinKey(key, name string) string {
	if key == "" {
		return name
	}
	return key + "." + name
}

func findMember(known []member, name string) (member, bool) {
	for _, candidate := range known {
		if candidate.key == name {
			return candidate, true
		}
	}
	return member{}, false
}

func keysOf(known []member) []string {
	keys := make([]string, len(known))
	for i, member := range known {
		keys[i] = member.key
	}
	return keys
}
