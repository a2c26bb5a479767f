package main

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/jedib0t/go-pretty/v6/text"
)

// The output formats.
const (
	outputTable = "table"
	outputJSON  = "json"
)

// printJSON writes a value as indented JSON.
func printJSON(output io.Writer, value any) error {
	encoder := json.NewEncoder(output)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// textTable is a table printed as text for people.
type textTable struct {
	header []string
	rows   [][]any
}

func (t *textTable) add(cells ...any) { t.rows = append(t.rows, cells) }

func (t *textTable) print(output io.Writer) error {
	writer := table.NewWriter()
	style := table.StyleLight
	style.Options = table.Options{}
	style.Box.PaddingLeft = ""
	style.Box.PaddingRight = "  "
	style.Format.Header = text.FormatUpper
	writer.SetStyle(style)
	header := make(table.Row, len(t.header))
	for i, name := range t.header {
		header[i] = name
	}
	writer.AppendHeader(header)
	for _, row := range t.rows {
		writer.AppendRow(row)
	}
	_, err := io.WriteString(output, writer.Render()+"\n")
	return err
}

func indent(value json.RawMessage) string {
	var indented bytes.Buffer
	if err := json.Indent(&indented, value, "", "  "); err != nil {
		return string(value)
	}
	return indented.String()
}
