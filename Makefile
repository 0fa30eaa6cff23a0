GOLANGCI_LINT_VERSION := v2.15.0
GOFUMPT_VERSION := v0.12.0
GOPLS_VERSION := v0.23.0
BIN := $(CURDIR)/bin

# Tests that KNOWN-RED.txt lists fail for a known fault. They are passed over and printed; all others must pass.
KNOWN_RED := $(shell test -f KNOWN-RED.txt && grep -o '^Test[A-Za-z0-9_/]*' KNOWN-RED.txt | paste -sd '|' -)
SKIP := $(if $(KNOWN_RED),-skip '^($(KNOWN_RED))$$')

.PHONY: build test short race fuzz soak lint format demo bench tools gopls

build:
	go build -o $(BIN)/ ./cmd/...

# The whole test suite. The two suites with real processes run one after the other, because tests with deadlines of a second fail
# when several dozen processes of the other suite start beside them.
test: build
	@if test -s KNOWN-RED.txt; then echo "Passed over:"; cat KNOWN-RED.txt; fi
	TEST_BIN_DIR=$(BIN) go test -count=1 -parallel 4 -timeout 20m $(SKIP) $$(go list ./... | grep -v '/platform$$')
	TEST_BIN_DIR=$(BIN) go test -count=1 -parallel 4 -timeout 20m $(SKIP) ./platform

# Unit tests and a short set of the tests with real processes, whose daemons are built with the race detector as well.
RACE_TESTS := TestIndexChangesUnderQueries|TestRacingOperators|TestOperationsSucceedInHealthyDeployment|TestSearchMerges|TestLateCopyIsNotReturned|TestLeavingServerGetsNoRequests
race:
	go build -race -o $(BIN)/race/ ./cmd/...
	go test -race -count=1 -timeout 20m $$(go list ./... | grep -v -e '/platform$$' -e '/integration$$')
	TEST_BIN_DIR=$(BIN)/race go test -count=1 -parallel 2 -timeout 10m -run '^($(RACE_TESTS))$$' ./integration ./platform

# Searches for inputs that break the decoders of outside bytes. go test runs one fuzz target at a time.
FUZZ_TIME := 1m
FUZZ_TARGETS := platform:FuzzSettings platform:FuzzStoreObjects platform:FuzzReplyHeaders internal/parser:FuzzDecode \
	internal/messenger:FuzzDecodePayload internal/publisher:FuzzDecodeHead internal/connector:FuzzResponse \
	internal/framer:FuzzResponse
fuzz: build
	set -e; for t in $(FUZZ_TARGETS); do \
		TEST_BIN_DIR=$(BIN) go test -run '^$$' -fuzz "^$${t#*:}$$" -fuzztime $(FUZZ_TIME) "./$${t%:*}"; \
	done

# Plays the seeds FROM-TO of the soaks, one after the other. See docs/SOAK.md.
SEEDS := 1-5
CRASH_VMS := 12
soak: build
	SOAK_SEEDS=$(SEEDS) STOP_SEEDS=$(SEEDS) RESTORE_SEEDS=$(SEEDS) CRASH_SEEDS=$(SEEDS) CRASH_VMS=$(CRASH_VMS) TEST_BIN_DIR=$(BIN) \
		go test -count=1 -v -timeout 0 -run '^(TestSoak|TestStopsUnderKeptConnections|TestRestoresUnderLoad|TestCrashingRequestsUnderFaults)$$' ./platform

lint: tools
	test -z "$$($(BIN)/gofumpt -l cmd internal platform)" || { $(BIN)/gofumpt -d cmd internal platform; exit 1; }
	$(BIN)/golangci-lint run ./...

format: tools
	$(BIN)/gofumpt -w cmd internal platform

demo: build
	$(BIN)/anvildyke-demo -bin $(BIN)

bench: build
	$(BIN)/anvildyke-bench -bin $(BIN) -out $(CURDIR)/out

tools: $(BIN)/golangci-lint-$(GOLANGCI_LINT_VERSION) $(BIN)/gofumpt-$(GOFUMPT_VERSION)

$(BIN)/golangci-lint-$(GOLANGCI_LINT_VERSION):
	GOBIN=$(BIN) go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_LINT_VERSION)
	touch $@

$(BIN)/gofumpt-$(GOFUMPT_VERSION):
	GOBIN=$(BIN) go install mvdan.cc/gofumpt@$(GOFUMPT_VERSION)
	touch $@

# gopls renames identifiers over the whole tree: bin/gopls rename -w FILE:LINE:COLUMN NAME. Neither build nor lint needs it.
gopls: $(BIN)/gopls-$(GOPLS_VERSION)

$(BIN)/gopls-$(GOPLS_VERSION):
	GOBIN=$(BIN) go install golang.org/x/tools/gopls@$(GOPLS_VERSION)
	touch $@
