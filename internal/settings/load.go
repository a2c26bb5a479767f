package settings

import (
	"errors"
	"fmt"
	"os"
	"reflect"
	"slices"
	"strings"

	"github.com/go-viper/mapstructure/v2"
	"github.com/knadh/koanf/v2"
	"github.com/spf13/pflag"

	"ringstream.example/ringstream/internal/configcheck"
)

const environmentPrefix = "RINGSTREAM_"

// Environment variables that the operators' commands read. They set no key.
const (
	EnvironmentServer = "RINGSTREAM_SERVER" // --server
	EnvironmentKey    = "RINGSTREAM_KEY"    // --key
	// EnvironmentSettings names the settings file when no flag does.
	EnvironmentSettings = "RINGSTREAM_SETTINGS"
)

// Sources are the sources of settings. The environment overrides the file, and
// flags override both.
type Sources struct {
	File        string         // empty if there is no file
	Environment []string       // in the format of os.Environ
	Flags       *pflag.FlagSet // only flags that were set are used; may be nil
}

// Loaded is the result of Load: the settings and the origin of each key.
type Loaded struct {
	Settings Settings
	Origins  map[string]Origin // keys without an entry have their default
}

// RegisterFlags adds a flag for each key whose value a flag can hold.
func RegisterFlags(flags *pflag.FlagSet) {
	for _, field := range Fields() {
		if field.Scalar() {
			flags.String(field.Key, formatValue(field.Default, field.Unit), field.Usage)
		}
	}
}

// Load reads, merges and validates settings. Its error joins an *Error for
// each invalid setting, so that one run reports all of them.
func Load(sources Sources) (Loaded, error) {
	loader := &loader{koanf: koanf.New("."), origins: make(map[string]Origin)}
	if sources.File != "" {
		loader.addFile(sources.File)
	}
	loader.addEnvironment(sources.Environment)
	if sources.Flags != nil {
		loader.addFlags(sources.Flags)
	}
	loaded := Loaded{Settings: Default(), Origins: loader.origins}
	if len(loader.errors) > 0 {
		return loaded, errors.Join(loader.errors...)
	}
	if err := loader.unmarshal(&loaded.Settings); err != nil {
		return loaded, err
	}
	return loaded, validate(loaded)
}

type loader struct {
	koanf   *koanf.Koanf
	origins map[string]Origin
	errors  []error
}

func (l *loader) addFile(name string) {
	file, err := os.Open(name)
	if err != nil {
		l.errors = append(l.errors, fmt.Errorf("settings file: %w", err))
		return
	}
	defer file.Close() //nolint:errcheck // only read
	reader, err := readFile(name, file)
	if err != nil {
		l.errors = append(l.errors, err)
	}
	if reader == nil {
		return
	}
	for key, value := range reader.values {
		l.set(key, value)
	}
	for key, origin := range reader.origins {
		l.origins[key] = origin
	}
}

func (l *loader) addEnvironment(environment []string) {
	byVariable := make(map[string]Field)
	var known []string
	for _, field := range Fields() {
		if field.Scalar() {
			byVariable[field.Environment()] = field
			known = append(known, field.Environment())
		}
	}
	for _, entry := range environment {
		name, text, _ := strings.Cut(entry, "=")
		if !strings.HasPrefix(name, environmentPrefix) || name == EnvironmentServer || name == EnvironmentKey || name == EnvironmentSettings {
			continue
		}
		origin := Origin{Kind: FromEnvironment, Name: name}
		field, ok := byVariable[name]
		if !ok {
			l.errors = append(l.errors, unknownKey(origin, "", name, known))
			continue
		}
		l.addText(field, text, origin)
	}
}

func (l *loader) addFlags(flags *pflag.FlagSet) {
	for _, field := range Fields() {
		if flag := flags.Lookup(field.Key); flag != nil && flag.Changed {
			l.addText(field, flag.Value.String(), Origin{Kind: FromFlag, Name: field.Key})
		}
	}
}

// addText sets a key to the text of an environment variable or a flag.
func (l *loader) addText(field Field, text string, origin Origin) {
	value, allowed := convertText(field, text)
	if allowed != "" {
		l.errors = append(l.errors, &Error{Origin: origin, Key: field.Key, Value: text, Allowed: allowed})
		return
	}
	l.set(field.Key, value)
	l.origins[field.Key] = origin
}

// convertText parses a scalar or a comma-separated list.
func convertText(field Field, text string) (value any, allowed string) {
	if field.Type.Kind() != reflect.Slice {
		return convertScalar(text, field.Type, field.Unit)
	}
	list := []any{}
	for part := range strings.SplitSeq(text, ",") {
		if part = strings.TrimSpace(part); part == "" {
			continue
		}
		element, allowed := convertScalar(part, field.Type.Elem(), field.Unit)
		if allowed != "" {
			return nil, "a list with commas, each " + allowed
		}
		list = append(list, element)
	}
	return list, ""
}

func (l *loader) set(key string, value any) {
	if err := l.koanf.Set(key, value); err != nil {
		l.errors = append(l.errors, fmt.Errorf("%s: %w", key, err))
	}
}

// unmarshal decodes the merged values into settings, which holds the defaults.
func (l *loader) unmarshal(settings *Settings) error {
	return l.koanf.UnmarshalWithConf("", settings, koanf.UnmarshalConf{
		Tag: "koanf",
		DecoderConfig: &mapstructure.DecoderConfig{
			Result:      settings,
			TagName:     "koanf",
			ZeroFields:  true, // a list replaces its default and is not merged with it
			ErrorUnused: true,
		},
	})
}

// validate runs the Validate method of each section and the checks across
// sections, and adds the origin of the value to each error.
func validate(loaded Loaded) error {
	var failures []error
	value := reflect.ValueOf(loaded.Settings)
	for _, member := range members(value.Type()) {
		section, ok := value.FieldByIndex(member.index).Interface().(interface{ Validate() error })
		if !ok || !usesSection(loaded.Settings, member.key) {
			continue
		}
		for _, err := range Problems(configcheck.Under(member.key, section.Validate())) {
			failures = append(failures, locate(loaded.Origins, member.key, err))
		}
	}
	if loaded.Settings.PassThrough.Enabled() {
		return errors.Join(failures...)
	}
	for _, failure := range crossCheck(loaded.Settings) {
		failures = append(failures, locate(loaded.Origins, "", failure))
	}
	return errors.Join(failures...)
}

// usesSection reports whether the process uses a section. A pass-through node
// uses none of those that concern the product's own API.
func usesSection(settings Settings, section string) bool {
	return !settings.PassThrough.Enabled() || slices.Contains([]string{"node", "log", "pass_through"}, section)
}

// Problems returns the individual errors that the error of Load joins.
func Problems(err error) []error {
	if err == nil {
		return nil
	}
	joined, ok := err.(interface{ Unwrap() []error })
	if !ok {
		return []error{err}
	}
	var parts []error
	for _, part := range joined.Unwrap() {
		parts = append(parts, Problems(part)...)
	}
	return parts
}

// locate converts a section's error into an *Error with its origin. The text of
// an error that is not a *configcheck.Error begins with its key
// ("rows: poll_interval: ...").
func locate(origins map[string]Origin, section string, err error) error {
	var checkError *configcheck.Error
	if errors.As(err, &checkError) && (section == "" || !strings.HasPrefix(err.Error(), section+": ")) {
		return &Error{Origin: originOf(origins, checkError.Key), Key: checkError.Key, Value: checkError.Value, Allowed: checkError.Allowed}
	}
	key, problem := leadingKey(err.Error())
	return &Error{Origin: originOf(origins, key), Key: key, Problem: problem}
}

// leadingKey splits an error's text into its key and the rest.
func leadingKey(text string) (key, rest string) {
	knownKeys := make(map[string]bool)
	for _, field := range Fields() {
		for name := field.Key; name != ""; name = name[:max(strings.LastIndexByte(name, '.'), 0)] {
			knownKeys[name] = true
		}
	}
	rest = text
	for {
		name, after, found := strings.Cut(rest, ": ")
		if !found || !knownKeys[joinKey(key, name)] {
			return key, rest
		}
		key, rest = joinKey(key, name), after
	}
}

// originOf returns the origin of the key, or of the nearest enclosing section
// that has one.
func originOf(origins map[string]Origin, key string) Origin {
	for key != "" {
		if origin, ok := origins[key]; ok {
			return origin
		}
		key = key[:max(strings.LastIndexAny(key, ".["), 0)]
	}
	return Origin{Kind: FromDefault}
}
