// Command gen prints docs/events.md from the event catalogue.
package main

import (
	"os"

	"ringstream.example/ringstream/internal/events"
)

func main() {
	if _, err := os.Stdout.WriteString(events.Markdown()); err != nil {
		os.Exit(1)
	}
}
