# Every module of the workspace, the root first.
MODULES := . entry agent node bamboostep standin scenario
BIN := $(CURDIR)/bin

.PHONY: all build test race lint format check-format vet demo clean

all: build

build:
	@mkdir -p $(BIN)
	@for m in entry agent node bamboostep standin scenario; do (cd $$m && go build -o $(BIN)/ ./...) || exit 1; done

# Passes over the tests listed in KNOWN-RED.txt and prints them.
test:
	@.ci/test $(MODULES)

lint:
	@for m in $(MODULES); do (cd $$m && go tool staticcheck ./...) || exit 1; done

vet:
	@for m in $(MODULES); do (cd $$m && go vet ./...) || exit 1; done

format:
	@go tool goimports -w -local github.com/bamboostep/bamboostep .

check-format:
	@files=$$(go tool goimports -l -local github.com/bamboostep/bamboostep .); \
	if [ -n "$$files" ]; then echo "not formatted: $$files"; exit 1; fi

demo: build
	@$(BIN)/scenario demo --bin $(BIN)

clean:
	@rm -rf $(BIN)
