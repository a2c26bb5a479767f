package events

import "go.uber.org/zap/zapcore"

// Events of batch jobs: 5000 to 5999.
var (
	JobAccepted        = Define(Event{Number: 5001, Name: "job accepted", Level: zapcore.InfoLevel, Fields: []string{"job", "tenant", "items", "shard"}})
	JobAcceptUncertain = Define(Event{Number: 5002, Name: "job acceptance uncertain", Level: zapcore.WarnLevel, Fields: []string{"job", "tenant", "error"}, Action: "The table service lost an answer for longer than the caller waits. The caller was told to send the job again with the same key, which settles it; look at the table service if it repeats."})
	JobObjectsLeft     = Define(Event{Number: 5003, Name: "objects of a refused job left", Level: zapcore.InfoLevel, Fields: []string{"job", "error"}})
	JobCompleted       = Define(Event{Number: 5004, Name: "job completed", Level: zapcore.InfoLevel, Fields: []string{"job", "tenant", "completed", "failed", "unknown"}})
	JobCancelled       = Define(Event{Number: 5005, Name: "job cancelled", Level: zapcore.InfoLevel, Fields: []string{"job", "tenant"}})
	JobAtRisk          = Define(Event{Number: 5006, Name: "job deadline at risk", Level: zapcore.WarnLevel, Fields: []string{"job", "tenant", "deadline", "expected_finish"}, Action: "The job will miss its deadline at the present rate: raise its row's weight, add engines to its pool, or tell its tenant; docs/operations/batch.md."})
	JobLoadFailed      = Define(Event{Number: 5007, Name: "job cannot be loaded", Level: zapcore.ErrorLevel, Fields: []string{"job", "error"}, Action: "The owner cannot read the job's records or items; see docs/operations/stuck-jobs.md."})
	JobItemUnknown     = Define(Event{Number: 5008, Name: "item outcome unknown", Level: zapcore.WarnLevel, Fields: []string{"job", "item", "attempt", "reason"}, Action: "A request that must not be repeated was sent and its outcome cannot be learned. It is not run again; its tenant sees the outcome unknown and decides."})
	JobNoRow           = Define(Event{Number: 5009, Name: "no row governs a job", Level: zapcore.WarnLevel, Fields: []string{"job", "tenant", "model"}, Action: "Add a row that matches the tenant, the model and kind batch; the job waits until one does."})

	ShardClaimed  = Define(Event{Number: 5101, Name: "shards claimed", Level: zapcore.InfoLevel, Fields: []string{"shards", "count"}})
	ShardLost     = Define(Event{Number: 5102, Name: "shard lost", Level: zapcore.WarnLevel, Fields: []string{"shard", "epoch"}, Action: "Another node claimed the shard: this one was paused, or cut off from the table service, longer than its lease. Work of this node for the shard was dropped and runs there; look for the pause if it repeats."})
	ShardReleased = Define(Event{Number: 5103, Name: "shards released", Level: zapcore.InfoLevel, Fields: []string{"shards"}})
	SessionLapsed = Define(Event{Number: 5104, Name: "lease session lapsed", Level: zapcore.WarnLevel, Fields: []string{"session"}, Action: "Another node took over from this one while it was paused or cut off from the table service; it goes on under a new session."})
	RenewFailed   = Define(Event{Number: 5105, Name: "lease session not renewed", Level: zapcore.WarnLevel, Fields: []string{"session", "error"}, Action: "The table service cannot be reached. Items in progress go on and are committed when it is back; see docs/operations/store-outage.md."})

	CommitDelayed  = Define(Event{Number: 5201, Name: "completions not committed", Level: zapcore.WarnLevel, Fields: []string{"status", "items", "bytes", "error"}, Action: "The table service or the object store cannot be reached. Results are kept in memory up to jobs.held_result_bytes; see docs/operations/store-outage.md."})
	ResultsDropped = Define(Event{Number: 5202, Name: "late completions dropped", Level: zapcore.InfoLevel, Fields: []string{"job", "items"}})
	CollectFailed  = Define(Event{Number: 5203, Name: "collection of old objects failed", Level: zapcore.InfoLevel, Fields: []string{"job", "error"}})
)
