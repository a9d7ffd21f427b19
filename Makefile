CONFIG ?= deploy/example.json

.PHONY: build test lint run check

build:
	cargo build --release

test:
	cargo test --workspace --locked

lint:
	cargo fmt --all -- --check
	cargo clippy --workspace --all-targets --locked -- -D warnings

# Serves with CONFIG until SIGTERM or Ctrl-C.
run: build
	exec target/release/copperroute serve --config $(CONFIG)

# Says what is wrong with CONFIG.
check: build
	target/release/copperroute check --config $(CONFIG)
