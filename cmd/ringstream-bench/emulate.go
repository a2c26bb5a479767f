package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"
	"gopkg.in/yaml.v3"

	"ringstream.example/ringstream/internal/backend"
	"ringstream.example/ringstream/internal/emulator"
)

// emulateOptions holds the flag values of the emulate command.
type emulateOptions struct {
	pool, model, region string
	zones               []string
	engines             int
	capacities          []float64
	basePort            int
	duration            time.Duration
	seed                uint64
	tableRate           float64
	objectsRate         float64
}

func emulateCommand() *cobra.Command {
	defaults := emulator.DefaultFleetConfig()
	options := emulateOptions{}
	command := &cobra.Command{
		Use:   "emulate",
		Short: "Run the platform's stand-ins over HTTP on 127.0.0.1",
		Long: `Run the platform's stand-ins: engines, table service, object store, weight
store, machine list and the other site. Prints the part of a node's settings
that points at them. Each can be told to fail by POST /admin/faults on its own
address, such as {"outage": true}; GET /admin/faults shows what may be set.`,
		Example: `  ringstream-bench emulate --engines 12 --base-port 19000 > platform.yaml
  curl -d '{"delay_ms": 200}' 127.0.0.1:19012/admin/faults`,
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return emulate(command.Context(), options, command.OutOrStdout())
		},
	}
	flags := command.Flags()
	flags.IntVar(&options.engines, "engines", defaults.Pools[0].Engines, "number of engines")
	flags.StringVar(&options.pool, "pool", defaults.Pools[0].Name, "name of the engines' pool")
	flags.StringVar(&options.model, "model", defaults.Pools[0].Models[0].Model, "model that the engines serve")
	flags.StringVar(&options.region, "region", defaults.Region, "region of all machines")
	flags.StringSliceVar(&options.zones, "zones", defaults.Zones, "zones that the engines are put in, in turn")
	flags.Float64SliceVar(&options.capacities, "capacities", nil, "relative sizes of the engines, in turn; none: all alike")
	flags.IntVar(&options.basePort, "base-port", 0, "first TCP port; 0: any free ports")
	flags.DurationVar(&options.duration, "for", 0, "stop after this long; 0: at a signal")
	flags.Uint64Var(&options.seed, "seed", defaults.Seed, "seed of the stand-ins' random choices")
	flags.Float64Var(&options.tableRate, "table-rate", defaults.TableRate, "calls a second that the table service takes; 0: no bound")
	flags.Float64Var(&options.objectsRate, "objects-rate", defaults.ObjectsRate, "calls a second that the object store takes; 0: no bound")
	return command
}

// emulate runs the stand-ins until the context or the duration ends.
func emulate(ctx context.Context, options emulateOptions, out io.Writer) error {
	if options.engines < 1 {
		return fmt.Errorf("--engines: must be at least 1, is %d", options.engines)
	}
	if len(options.zones) == 0 {
		return errors.New("--zones: at least one zone is required")
	}
	config := emulator.DefaultFleetConfig()
	config.Region, config.Zones = options.region, options.zones
	config.Seed, config.BasePort = options.seed, options.basePort
	config.TableRate, config.ObjectsRate = options.tableRate, options.objectsRate
	config.Pools = []emulator.Pool{{
		Name: options.pool, Engines: options.engines, Capacities: options.capacities,
		Models: []backend.LoadedModel{{Model: options.model, Version: "1"}},
	}}
	for i := range config.Artifacts {
		config.Artifacts[i].Model = options.model
	}
	fleet, err := emulator.StartFleet(config)
	if err != nil {
		return err
	}
	defer fleet.Close()
	if err := printSettings(out, fleet); err != nil {
		return err
	}
	if options.duration > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, options.duration)
		defer cancel()
	}
	<-ctx.Done()
	return nil
}

// printSettings writes the platform part of a node's settings, and where each
// engine listens.
func printSettings(out io.Writer, fleet *emulator.Fleet) error {
	settings := map[string]map[string]string{"platform": {
		"table_url":      fleet.URL("table"),
		"objects_url":    fleet.URL("objects"),
		"weights_url":    fleet.URL("weights"),
		"machines_url":   fleet.URL("machines"),
		"other_site_url": fleet.URL("site"),
	}}
	encoded, err := yaml.Marshal(settings)
	if err != nil {
		return err
	}
	if _, err := out.Write(encoded); err != nil {
		return err
	}
	for _, machine := range fleet.Machines.Current() {
		if _, err := fmt.Fprintf(out, "# engine %s: http://%s zone %s\n", machine.ID, machine.Address, machine.Zone); err != nil {
			return err
		}
	}
	return nil
}
