// Package engineledger converts the records of the engine stand-ins into the terms of package
// ledger.
package engineledger

import (
	"ringstream.example/ringstream/internal/bench/ledger"
	"ringstream.example/ringstream/internal/bench/workload"
	"ringstream.example/ringstream/internal/emulator"
)

// PromptNames returns the request or item name for the hash of each prompt of the plans. The
// stand-ins record prompts by this hash, which depends on the model.
func PromptNames(model string, plans ...workload.Plan) map[uint64]string {
	names := make(map[uint64]string)
	for _, plan := range plans {
		for _, request := range plan.Requests {
			names[emulator.PromptHash(model, request.Prompt)] = request.Name
		}
		for _, job := range plan.Jobs {
			for _, item := range job.Items {
				names[emulator.PromptHash(model, item.Prompt)] = item.Name
			}
		}
	}
	return names
}

var runEnds = map[string]ledger.RunEnd{
	"": ledger.RunOpen, "length": ledger.RunFinished, "cancelled": ledger.RunCancelled, "crashed": ledger.RunLost,
}

// RunEnd returns the end of a run for the value that a stand-in records.
func RunEnd(recorded string) ledger.RunEnd { return runEnds[recorded] }
