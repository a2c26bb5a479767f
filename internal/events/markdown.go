package events

import (
	"fmt"
	"strings"
)

// Markdown returns the text of docs/events.md.
func Markdown() string {
	var text strings.Builder
	text.WriteString("# Log events\n\nGenerated from `internal/events` by `make docs`; do not edit.\n\n")
	text.WriteString("| number | name | level | fields | what an operator does |\n| --- | --- | --- | --- | --- |\n")
	for _, event := range Catalogue() {
		fmt.Fprintf(&text, "| %d | %s | %s | %s | %s |\n",
			event.Number, event.Name, event.Level, strings.Join(event.Fields, ", "), event.Action)
	}
	return text.String()
}
