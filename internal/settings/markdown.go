package settings

import (
	"fmt"
	"strings"
)

// introduction is the part of the page that is not generated from struct tags.
const introduction = `# Settings

Generated from the settings' structs by ` + "`make docs`" + `; do not edit.

A node reads one YAML file, then the environment, then flags; the later overrides the earlier. The key ` + "`gateway.http.address`" + ` is

    gateway:                                  # in the file
      http:
        address: 10.0.0.5:8080
    RINGSTREAM_GATEWAY_HTTP_ADDRESS=...       # in the environment
    --gateway.http.address ...                # as a flag

- ` + "`ringstream config check --config FILE`" + ` reads the settings, and the key and certificate files that they name, as a node would, and lists
  every problem with its file, line and key, its value and what is allowed. An unknown key or ` + "`RINGSTREAM_` variable" + ` is a problem. ` + "`RINGSTREAM_SERVER` and `RINGSTREAM_KEY`" + ` belong to the operator's commands.
- ` + "`ringstream config print`" + ` shows the effective values and where each comes from.
- Addresses are IP numbers with a port; names are not resolved. Durations carry their unit (` + "`500ms`, `10s`, `2m`" + `). Sizes are bytes, or have a unit (` + "`512KiB`, `4MiB`" + `).
- Lists of plain values can be given in the environment and as flags with commas; lists of sections only in the file.
- Settings are read at the start. Certificates and ` + "`auth.keys_file`" + ` are read again while the node runs, keys also on SIGHUP.

` + "`examples/node.yaml`" + ` is a file to start from. All nodes of a fleet have the same settings but for addresses, zone and region.
`

// Markdown returns the text of docs/operations/settings.md.
func Markdown() string {
	var text strings.Builder
	text.WriteString(introduction)
	section := ""
	for _, field := range Fields() {
		if name, _, _ := strings.Cut(field.Key, "."); name != section {
			section = name
			fmt.Fprintf(&text, "\n## %s\n\n| key | default | meaning |\n| --- | --- | --- |\n", section)
		}
		fmt.Fprintf(&text, "| `%s` | %s | %s |\n", field.Key, defaultText(field), field.Usage)
	}
	return text.String()
}

func defaultText(field Field) string {
	value := formatValue(field.Default, field.Unit)
	if value == "" || value == "[]" {
		return ""
	}
	return "`" + value + "`"
}
