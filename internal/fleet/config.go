package fleet

import (
	"fmt"
	"time"
)

// Config holds the settings for watching the engine fleet.
type Config struct {
	MachineListInterval time.Duration `koanf:"machine_list_interval" usage:"pause between two readings of the machine list"`
	LoadInterval        time.Duration `koanf:"load_interval" usage:"shortest pause between two load reports of one engine"`
	IdleLoadInterval    time.Duration `koanf:"idle_load_interval" usage:"pause between two load reports of an engine without work of this node"`
	PollsPerSecond      float64       `koanf:"polls_per_second" usage:"budget of load reports that this node asks for, over all engines"`
	PollTimeout         time.Duration `koanf:"poll_timeout" usage:"how long a load report may take"`
	PollWorkers         int           `koanf:"poll_workers" usage:"load reports asked for at the same time"`
	CacheEventInterval  time.Duration `koanf:"cache_event_interval" usage:"shortest pause between two readings of an engine's cache events"`
	PrefixIndexSize     int           `koanf:"prefix_index_size" usage:"prompt blocks remembered for prefix reuse"`
}

// DefaultConfig returns settings that suit fleets of any size.
func DefaultConfig() Config {
	return Config{
		MachineListInterval: 500 * time.Millisecond,
		LoadInterval:        200 * time.Millisecond,
		IdleLoadInterval:    time.Second,
		PollsPerSecond:      60,
		PollTimeout:         time.Second,
		PollWorkers:         16,
		CacheEventInterval:  time.Second,
		PrefixIndexSize:     32768,
	}
}

// Validate returns an error that names the first invalid key.
func (c Config) Validate() error {
	durations := []struct {
		key   string
		value time.Duration
	}{
		{"machine_list_interval", c.MachineListInterval},
		{"load_interval", c.LoadInterval},
		{"idle_load_interval", c.IdleLoadInterval},
		{"poll_timeout", c.PollTimeout},
		{"cache_event_interval", c.CacheEventInterval},
	}
	for _, duration := range durations {
		if duration.value < time.Millisecond {
			return fmt.Errorf("%s: %v is too short; at least 1ms", duration.key, duration.value)
		}
	}
	if c.PollsPerSecond <= 0 {
		return fmt.Errorf("polls_per_second: %v; must be above 0", c.PollsPerSecond)
	}
	if c.PollWorkers < 1 {
		return fmt.Errorf("poll_workers: %d; at least 1", c.PollWorkers)
	}
	if c.PrefixIndexSize < 1 {
		return fmt.Errorf("prefix_index_size: %d; at least 1", c.PrefixIndexSize)
	}
	return nil
}
