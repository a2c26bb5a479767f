package main

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/events"
	"ringstream.example/ringstream/internal/passthrough/edge"
	"ringstream.example/ringstream/internal/settings"
	"ringstream.example/ringstream/platform"
)

// runPassThrough runs a pass-through node until the command's context ends.
func runPassThrough(command *cobra.Command, file string, configured settings.Settings) error {
	logger, closeLog, err := settings.NewAsyncLogger(configured.Log)
	if err != nil {
		return err
	}
	defer closeLog()
	store := platform.NewStore(configured.PassThrough.StoreAddress)
	node := edge.New(configured.PassThrough, edge.Identity{Name: configured.Node.ID, Zone: configured.Node.Zone}, edge.Platform{
		Headers: platform.Headers{}, Format: platform.JobFormat{}, Documents: platform.Documents{}, Reports: platform.Reports{}, Rows: store, Objects: store,
	}, logger)
	stop := recheckSettingsOnHangup(command, file, logger)
	defer stop()
	err = node.Run(command.Context())
	if err != nil {
		events.NodeFailed.Log(logger, zap.String("node", configured.Node.ID), zap.Error(err))
	}
	return err
}

// recheckSettingsOnHangup checks the settings again at each SIGHUP and logs the
// result. Running requests are not affected.
func recheckSettingsOnHangup(command *cobra.Command, file string, logger *zap.Logger) (stop func()) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	done := make(chan struct{})
	go func() {
		for {
			select {
			case <-done:
				return
			case <-hangups:
				_, err := loadSettings(command, file)
				events.SettingsReread.Log(logger, zap.Error(err))
			}
		}
	}()
	return func() {
		signal.Stop(hangups)
		close(done)
	}
}
