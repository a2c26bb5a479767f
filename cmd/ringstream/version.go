package main

import (
	"fmt"
	"runtime"

	"github.com/spf13/cobra"

	"ringstream.example/ringstream/internal/version"
)

type versionInfo struct {
	Version  string `json:"version"`
	Go       string `json:"go"`
	Platform string `json:"platform"`
}

func newVersion(options *adminFlags) *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Show the version of this program",
		Args:  exactArguments(),
		RunE: func(command *cobra.Command, _ []string) error {
			info := versionInfo{Version: version.Version, Go: runtime.Version(), Platform: runtime.GOOS + "/" + runtime.GOARCH}
			if options.output == outputJSON {
				return printJSON(command.OutOrStdout(), info)
			}
			_, err := fmt.Fprintf(command.OutOrStdout(), "ringstream %s (%s, %s)\n", info.Version, info.Go, info.Platform)
			return err
		},
	}
}
