// Package admin serves the operators' HTTP API and status page on the admin port:
// rows, jobs, nodes, engines, health and metrics. It delegates all decisions to
// the components in Dependencies and stores nothing but a cache for the page.
package admin

import (
	"time"

	"ringstream.example/ringstream/internal/httpserver"
)

// Config holds the settings of the admin listener.
type Config struct {
	httpserver.Config `koanf:",squash"`
}

// DefaultConfig returns settings that listen on loopback.
func DefaultConfig() Config {
	server := httpserver.DefaultConfig()
	server.Address = "127.0.0.1:7070"
	server.BodyLimit = 16 << 20 // an import of some 20,000 rows
	server.LeaveTime = 0        // the admin API serves until the end of the drain
	server.DrainTime = 5 * time.Second
	return Config{Config: server}
}
