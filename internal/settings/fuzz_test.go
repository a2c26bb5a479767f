package settings

import (
	"errors"
	"os"
	"strings"
	"testing"
)

// FuzzFile checks that any text is either parsed or rejected with errors that name
// the file.
func FuzzFile(f *testing.F) {
	example, err := os.ReadFile("../../examples/node.yaml")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(string(example))
	f.Add(minimal)
	f.Add("auth: {tenants: [{tenant: a, sha256: [x]}, 3, null]}\nadmin: &a {tls: *a}\n")
	f.Add("jobs: {max_line_bytes: 1e300GiB}\nnode: !!binary x\n? [a]\n: b\n")
	f.Fuzz(func(t *testing.T, text string) {
		reader, err := readFile("node.yaml", strings.NewReader(text))
		for _, problem := range Problems(err) {
			var settingError *Error
			if !errors.As(problem, &settingError) || !strings.HasPrefix(settingError.Error(), "node.yaml") {
				t.Errorf("error %q does not name the file", problem)
			}
		}
		if err == nil && reader == nil {
			t.Error("readFile returned neither values nor an error")
		}
	})
}

// FuzzScalar checks that an accepted value is the same after it is formatted and
// parsed again.
func FuzzScalar(f *testing.F) {
	f.Add("4MiB")
	f.Add("1.5h")
	f.Add("-0")
	f.Add("0x10")
	f.Add("1e308")
	f.Fuzz(func(t *testing.T, text string) {
		for _, field := range Fields() {
			if !isScalar(field.Type) {
				continue
			}
			value, allowed := convertScalar(text, field.Type, field.Unit)
			if allowed != "" {
				continue
			}
			again, allowed := convertScalar(formatValue(value, field.Unit), field.Type, field.Unit)
			if allowed != "" || again != value {
				t.Errorf("%s: %q is parsed as %v, then as %v (%s)", field.Key, text, value, again, allowed)
			}
		}
	})
}
