// Package engineledger translates what the engines' stand-ins record into the
// bench's own terms.
package engineledger

import (
	"ringstream.example/ringstream/internal/bench/ledger"
	"ringstream.example/ringstream/internal/bench/workload"
	"ringstream.example/ringstream/internal/emulator"
)

// PromptNames gives the name of every prompt of the plans by its hash at a
// model, under which the stand-ins record it.
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

// RunEnd gives how a run ended, from the word that a stand-in records.
func RunEnd(recorded string) ledger.RunEnd { return runEnds[recorded] }
