package main

import (
	"path/filepath"

	"github.com/spf13/cobra"

	"ringstream.example/ringstream/internal/bench/report"
)

func reportCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "report DIR",
		Short: "Write report.html anew from the report.json and series.json of a run",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, arguments []string) error {
			result, series, err := report.Read(arguments[0])
			if err != nil {
				return err
			}
			return report.WritePage(filepath.Join(arguments[0], report.FilePage), result, series)
		},
	}
}
