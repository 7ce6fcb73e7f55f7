# Targets for newcomers: demo, test. For developers: check, bench, slopes, soak.
GO ?= go
BIN := bin

.PHONY: all build demo scenarios test check bench slopes soak capacity clean

all: build

build:
	$(GO) build -o $(BIN)/turmericrock ./cmd/turmericrock

# Runs the fleets of both customers as processes on loopback and judges each
# promise.
demo: build
	$(GO) run ./internal/demo/cmd -binary $(BIN)/turmericrock

# Runs the scripts of scenarios/ over real processes.
scenarios:
	$(GO) test -race -count=1 ./scenarios/

# Runs every test with the race detector.
test: build
	./scripts/test

# Runs the formatter, the vet tool and the linter.
check:
	@test -z "$$(gofmt -l .)" || { gofmt -l .; exit 1; }
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

# Prints one line a figure: name value unit.
bench: build
	$(GO) run ./internal/bench/cmd -binary $(BIN)/turmericrock

# Measures how each cost grows and writes docs/slopes.json.
slopes: build
	$(GO) run ./internal/slopes/cmd -binary $(BIN)/turmericrock -out docs/slopes.json

# Writes docs/CAPACITY.md from docs/slopes.json.
capacity:
	$(GO) run ./internal/slopes/cmd -page docs/CAPACITY.md -from docs/slopes.json

# Runs the randomised tests for long, with a printed seed.
soak: build
	./scripts/soak

clean:
	rm -rf $(BIN)
