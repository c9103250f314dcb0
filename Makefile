# The targets that a newcomer needs are demo, test, up and down; the others serve maintainers and CI.
GOBIN := $(CURDIR)/bin
LINT_VERSION := v2.15.0

FUZZ_TIME ?= 10s
# Limits the tests of one package. The simulated fleets of internal/fleet take nine minutes beside other load.
TEST_TIMEOUT ?= 20m

.PHONY: fuzz fuzz-target build test lint demo up down trial-demo trial-up trial-down console soak bench measures prove proofs-page capacity generate

build:
	@mkdir -p $(GOBIN)
	@go build -o $(GOBIN) ./cmd/...

# Runs the tests of CI: all that end within a few minutes. Failures that KNOWN-RED.txt lists are printed, not fatal.
# Results are never cached, because the tests build the programs that they start, which go test does not see.
test:
	go run ./scripts/prove -- -race -short -timeout $(TEST_TIMEOUT) ./...

lint:
	@test -z "$$(gofmt -l cmd internal platform scripts)" || { gofmt -l cmd internal platform scripts; echo "gofmt: files above need formatting"; exit 1; }
	go vet ./...
	go run github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(LINT_VERSION) run ./...

demo: build
	@scripts/direct.sh demo

up: build
	@scripts/direct.sh up

down:
	@scripts/direct.sh down

# The same for the interface of the trial.
trial-demo: build
	@scripts/demo.sh deploy/lobue

trial-up: build
	@scripts/fleet.sh up deploy/lobue

trial-down:
	@scripts/fleet.sh down deploy/lobue

# Measures both deployments under churn with every routing policy that the routers accept. POLICIES and BENCH_FLEETS
# narrow it down.
bench: build
	@scripts/bench.sh $(POLICIES)

# Copies the table of the last bench into docs/TRIAL.md.
measures:
	@scripts/measures.sh

SOAK_SEED ?= 1
SOAK_SEEDS ?= 10

# Runs real routers with direct sending under faults from outside; CI runs one seed.
soak:
	go test ./internal/proofs/soak -v -count=1 -timeout 3h -soak.seed $(SOAK_SEED) -soak.seeds $(SOAK_SEEDS)

# Runs every proof, those with real processes too, and prints which promise is shown under which fault.
prove:
	go run ./scripts/prove

# Writes docs/PROOFS.md from docs/proofs.json.
proofs-page:
	go run ./scripts/prove --page docs/PROOFS.md

# Measures what the control of a fleet costs at 4 to 64 routers, and the benchmarks whose slopes docs/CAPACITY.md uses.
capacity:
	ORIOLE_CAPACITY=1 go test -count=1 -v -run 'TestCapacity' ./internal/proofs/fleet
	go test -run NONE -bench . ./internal/proofs/fleet

# Needs a running deployment, see trial-up.
console: build
	@echo "http://127.10.4.1:8443, user operator, password demo-password-lobue"
	@$(GOBIN)/oriole-console --settings deploy/lobue/console.json

# Generated code is committed; this target is only needed after a change to a .proto file.
generate:
	@mkdir -p $(GOBIN)
	go build -o $(GOBIN)/protoc-gen-go google.golang.org/protobuf/cmd/protoc-gen-go
	go build -o $(GOBIN)/protoc-gen-twirp github.com/twitchtv/twirp/protoc-gen-twirp
	@for file in $$(find internal/rpc -name '*.proto'); do \
		PATH="$(GOBIN):$$PATH" protoc --proto_path=. --go_out=. --go_opt=paths=source_relative \
			--twirp_out=. --twirp_opt=paths=source_relative $$file || exit 1; \
	done

# Fuzzes the targets of requests over real connections.
fuzz-target:
	go test ./internal/direct -run NONE -fuzz FuzzTarget -fuzztime $(FUZZ_TIME) -fuzzminimizetime 10x -parallel 2

# Fuzzes the parsers of idempotency keys, documents, settings, envelopes of peers, streams, published items, responses of the store,
# headers and targets, the reader of responses and the scanner of requests, for a short time each; CI runs it for a few seconds a
# target. go test runs the kept corpus in testdata/fuzz.
fuzz: fuzz-target
	go test ./internal/idempotency -run NONE -fuzz FuzzParseKey -fuzztime $(FUZZ_TIME) -fuzzminimizetime 10x
	go test ./internal/document -run NONE -fuzz FuzzParse -fuzztime $(FUZZ_TIME) -fuzzminimizetime 10x
	go test ./internal/framing -run NONE -fuzz FuzzScanner -fuzztime $(FUZZ_TIME) -fuzzminimizetime 10x
	go test ./internal/hop -run NONE -fuzz FuzzEnvelope -fuzztime $(FUZZ_TIME) -fuzzminimizetime 10x
	go test ./internal/events -run NONE -fuzz FuzzFeed -fuzztime $(FUZZ_TIME) -fuzzminimizetime 10x
	go test ./platform -run NONE -fuzz FuzzDecode -fuzztime $(FUZZ_TIME) -fuzzminimizetime 10x
	go test ./platform -run NONE -fuzz FuzzStore -fuzztime $(FUZZ_TIME) -fuzzminimizetime 10x
	go test ./internal/settings -run NONE -fuzz FuzzDecode -fuzztime $(FUZZ_TIME) -fuzzminimizetime 10x
	go test ./platform -run NONE -fuzz FuzzHeaders -fuzztime $(FUZZ_TIME) -fuzzminimizetime 10x
	go test ./internal/upconn -run NONE -fuzz FuzzResponse -fuzztime $(FUZZ_TIME) -fuzzminimizetime 10x
