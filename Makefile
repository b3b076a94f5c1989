GOLANGCI := go run github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.15.0

.PHONY: all build demo test lint format unit

all: build

build:
	go build -o bin/ ./cmd/...

demo:
	@scripts/demo.sh

test: lint unit

lint:
	$(GOLANGCI) run ./...

format:
	$(GOLANGCI) fmt ./...

unit:
	go vet ./...
	go test -race -count=1 ./...
