# Start with demo and test. The targets check, bench, slopes, soak and review are for
# development.
GO ?= go
BIN := bin

.PHONY: all build demo scenarios test check bench slopes soak review capacity clean

all: build

build:
	$(GO) build -o $(BIN)/turmericrock ./cmd/turmericrock

# Runs the fleets of both customers as processes on the loopback interface and
# checks each guaranteed property.
demo: build
	$(GO) run ./internal/demo/cmd -binary $(BIN)/turmericrock

# Runs the scripts in scenarios/ against real processes.
scenarios:
	$(GO) test -race -count=1 ./scenarios/

# Runs every test with the race detector.
test: build
	./scripts/test

# Checks the formatting and runs go vet and staticcheck.
check:
	@test -z "$$(gofmt -l .)" || { gofmt -l .; exit 1; }
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

# Runs the benchmarks and prints one figure per line, as "name value unit".
bench: build
	$(GO) run ./internal/bench/cmd -binary $(BIN)/turmericrock

# Measures how each cost grows with the size of the system and writes
# docs/slopes.json.
slopes: build
	$(GO) run ./internal/slopes/cmd -binary $(BIN)/turmericrock -out docs/slopes.json

# Generates docs/CAPACITY.md from docs/slopes.json and docs/sweep.json.
capacity:
	$(GO) run ./internal/slopes/cmd -page docs/CAPACITY.md -from docs/slopes.json -sweep docs/sweep.json

# Runs fault-injection runs and long randomised tests, with a printed seed.
soak: build
	./scripts/soak

# Plays cases of the review against real processes, each with its disruption, and fails if
# one breaks its rule. The build is that of deploy/system.toml. All three take about two
# minutes, the first two less than one.
REVIEW_CASES ?= 1 2 3
review:
	$(GO) build -ldflags=-linkmode=external -o target/ ./cmd/...
	sh review/build.sh
	@status=0; for n in $(REVIEW_CASES); do echo "review/$$n"; sh review/$$n/run.sh || status=1; done; exit $$status

clean:
	rm -rf $(BIN)
