package jobs

import (
	"context"
	"fmt"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"ringstream.example/ringstream/internal/backend"
	"ringstream.example/ringstream/internal/core/identity"
	"ringstream.example/ringstream/internal/dispatch"
	"ringstream.example/ringstream/internal/jobs/blob"
	"ringstream.example/ringstream/internal/jobs/intake"
	"ringstream.example/ringstream/internal/jobs/retention"
	"ringstream.example/ringstream/internal/jobs/runner"
	"ringstream.example/ringstream/internal/jobs/shard"
	"ringstream.example/ringstream/internal/limits"
	"ringstream.example/ringstream/internal/peer"
	"ringstream.example/ringstream/internal/rows"
	"ringstream.example/ringstream/internal/store"
)

// Dependencies holds the components that a Manager uses.
type Dependencies struct {
	Store   *store.Client
	Objects backend.Objects
	Bus     peer.Bus
	Batch   dispatch.Batch
	Rows    rows.Source
	Limits  limits.Limiter
}

// Manager implements Service on one node, and runs the jobs whose shards the node
// holds.
type Manager struct {
	config    Config
	store     *store.Client
	blobs     blob.Store
	bus       peer.Bus
	batch     dispatch.Batch
	rows      rows.Source
	intake    *intake.Intake
	keeper    *shard.Keeper
	runner    *runner.Runner
	collector *retention.Collector
	logger    *zap.Logger
}

var _ Service = (*Manager)(nil)

// objectCallTimeout is how long a failed call to the object store is retried.
const objectCallTimeout = 5 * time.Second

// New returns a manager and registers its message handlers on the bus. The config
// must be valid.
func New(config Config, deps Dependencies, logger *zap.Logger, registerer prometheus.Registerer) *Manager {
	blobs := blob.Store{Objects: deps.Objects, RetryTimeout: objectCallTimeout}
	m := &Manager{
		config: config, store: deps.Store, blobs: blobs, bus: deps.Bus, batch: deps.Batch, rows: deps.Rows, logger: logger,
		intake: &intake.Intake{Limits: config.intake(), Shards: config.Shards, Store: deps.Store, Blobs: blobs, Logger: logger},
	}
	m.runner = runner.New(config.runner(), runner.Dependencies{
		Store: deps.Store, Blobs: blobs, Batch: deps.Batch, Rows: deps.Rows, Limits: deps.Limits,
	}, logger, registerer)
	m.keeper = shard.New(config.shard(), deps.Store, deps.Bus, m.runner, logger)
	m.runner.Bind(m.keeper)
	m.collector = &retention.Collector{
		Store: deps.Store, Blobs: blobs, HeldShards: m.keeper.Held, Logger: logger,
		Interval: config.CollectInterval, OrphanGrace: config.OrphanGrace,
	}
	m.handleMessages()
	return m
}

// Run runs batch work until the context ends. It then commits the finished
// outcomes and hands the shards over.
func (m *Manager) Run(ctx context.Context) error {
	// The runner must outlive the keeper, which flushes every shard before it ends.
	running, stopRunner := context.WithCancel(context.WithoutCancel(ctx))
	defer stopRunner()
	var tasks errgroup.Group
	tasks.Go(func() error { return m.runner.Run(running) })
	tasks.Go(func() error { return m.collector.Run(ctx) })
	tasks.Go(func() error {
		defer stopRunner()
		return m.keeper.Run(ctx)
	})
	if err := tasks.Wait(); err != nil {
		return fmt.Errorf("jobs: %w", err)
	}
	return nil
}

// HeldShards returns the shards that this node holds.
func (m *Manager) HeldShards() []int { return m.keeper.Held() }

// holder returns the node that should hold a shard.
func (m *Manager) holder(number int) (identity.NodeID, bool) { return m.keeper.Holder(number) }

func (c Config) intake() intake.Limits {
	return intake.Limits{
		MaxItems: c.MaxItems, MaxLineBytes: c.MaxLineBytes, MaxTokens: c.MaxTokens,
		SegmentItems: c.SegmentItems, SegmentBytes: c.SegmentBytes,
	}
}

func (c Config) runner() runner.Config {
	return runner.Config{
		CommitInterval: c.CommitInterval, CommitItems: c.CommitItems, HeldResultBytes: c.HeldResultBytes,
		InputCacheBytes: c.InputCacheBytes, MaxRunning: c.MaxRunning, PollInterval: c.PollInterval,
		IntentTimeout: c.IntentTimeout, ResumeAttempts: c.ResumeAttempts, RepeatAttempts: c.RepeatAttempts,
		StopGrace: c.StopGrace, Retention: c.Retention,
	}
}

func (c Config) shard() shard.Config {
	return shard.Config{
		Shards: c.Shards, TimeToLive: c.LeaseTimeToLive, RenewInterval: c.LeaseRenew,
		CheckInterval: c.LeaseCheck, FlushTimeout: c.HandOverTimeout,
	}
}
