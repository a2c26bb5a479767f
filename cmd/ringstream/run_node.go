package main

import (
	"context"

	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/node"
	"ringstream.example/ringstream/internal/settings"
)

// runNode runs a node until ctx is done.
func runNode(ctx context.Context, loaded settings.Settings, logger *zap.Logger) error {
	return node.Run(ctx, loaded, logger)
}
