// Command gen writes docs/operations/settings.md to standard output.
package main

import (
	"fmt"

	"ringstream.example/ringstream/internal/settings"
)

func main() {
	fmt.Print(settings.Markdown())
}
