// Package scenarios embeds the scenario files of this directory.
package scenarios

import (
	"embed"
	"strings"
)

// Files holds every scenario, by file name.
//
//go:embed *.yaml
var Files embed.FS

// Names returns the names of the embedded scenarios, which are their file names
// without .yaml.
func Names() []string {
	entries, _ := Files.ReadDir(".") // an embedded directory can always be read
	names := make([]string, len(entries))
	for i, entry := range entries {
		names[i] = strings.TrimSuffix(entry.Name(), ".yaml")
	}
	return names
}
