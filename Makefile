# Targets: tools gopls build demo test race search lint fuzz bench docs
SHELL := /bin/bash
BIN := $(CURDIR)/bin
GOLANGCI_VERSION := v2.15.0
BENCHSTAT_VERSION := v0.0.0-20260908200009-22c9c6c9d4da
GOVULNCHECK_VERSION := v1.1.4
GOPLS_VERSION := v0.23.0
VERSION ?= $(shell git describe --tags --always --dirty 2>/dev/null || echo unknown)
LDFLAGS := -X ringstream.example/ringstream/internal/version.Version=$(VERSION)

.PHONY: all tools gopls build demo test race search lint fuzz bench bench-baseline page docs clean
all: build

$(BIN)/golangci-lint-$(GOLANGCI_VERSION):
	GOBIN=$(BIN) go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_VERSION)
	mv $(BIN)/golangci-lint $@

tools: $(BIN)/golangci-lint-$(GOLANGCI_VERSION) ## install the linter into bin/

$(BIN)/gopls-$(GOPLS_VERSION):
	GOBIN=$(BIN) go install golang.org/x/tools/gopls@$(GOPLS_VERSION)
	mv $(BIN)/gopls $@

gopls: $(BIN)/gopls-$(GOPLS_VERSION) ## install gopls into bin/, for renames that follow every use
	ln -sf $(notdir $<) $(BIN)/gopls

build: ## build both programs into bin/
	go build -ldflags '$(LDFLAGS)' -o $(BIN)/ ./cmd/...

demo: build ## three nodes and twelve engine stand-ins for 20 s
	$(BIN)/ringstream-bench demo

test: ## all tests but those of KNOWN-RED.txt, which it prints
	@skip=$$(scripts/known-red.sh) && go test -skip "$$skip" ./...

race: ## all tests under the race detector
	scripts/race.sh

search: ## property tests with other values than CI draws, ten times as many
	@for package in $$(grep -rl pgregory.net/rapid --include=*_test.go internal platform | xargs -n1 dirname | sort -u); do \
	  go test -count=1 ./$$package -rapid.seed=0 -rapid.checks=1000 || exit 1; \
	done

lint: tools ## formatter, linters, import rules, the deploy file's production build
	scripts/production.sh
	$(BIN)/golangci-lint-$(GOLANGCI_VERSION) run ./...

fuzz: ## each fuzz target for 20 s
	@for package in $$(go list ./...); do \
	  for target in $$(go test -list '^Fuzz' $$package | grep '^Fuzz'); do \
	    go test -run '^$$' -fuzz "^$$target$$" -fuzztime 20s $$package || exit 1; \
	  done; done

$(BIN)/benchstat-$(BENCHSTAT_VERSION):
	GOBIN=$(BIN) go install golang.org/x/perf/cmd/benchstat@$(BENCHSTAT_VERSION)
	mv $(BIN)/benchstat $@

BENCH := go test -run '^$$' -bench . -benchmem -benchtime 0.2s -count 5 ./internal/...

bench: $(BIN)/benchstat-$(BENCHSTAT_VERSION) ## Go benchmarks of the hot paths, beside the committed baseline
	$(BENCH) > $(BIN)/bench.txt || { cat $(BIN)/bench.txt; exit 1; }
	$(BIN)/benchstat-$(BENCHSTAT_VERSION) baseline=bench/baseline/bench.txt now=$(BIN)/bench.txt

bench-baseline: ## renew the committed baseline
	$(BENCH) > bench/baseline/bench.txt

page: ## render the status page in headless Chromium, where there is one
	.ci/page

docs: ## regenerate the pages that come from the code
	go run ./internal/events/gen > docs/events.md
	go run ./internal/settings/gen > docs/operations/settings.md

clean:
	rm -rf $(BIN)
