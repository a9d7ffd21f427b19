CONFIG ?= deploy/example.json

SCENARIO ?= crates/testbed/scenarios/trunk-outage.json

.PHONY: build test lint run check lab cold agree capacity bench

build:
	cargo build --release

# Every test, those that KNOWN-RED.txt names last; ends well if no other failed.
test:
	.ci/test

lint:
	cargo fmt --all -- --check
	cargo clippy --workspace --all-targets --locked -- -D warnings

# Serves with CONFIG until SIGTERM or Ctrl-C.
run: build
	exec target/release/copperroute serve --config $(CONFIG)

# Says what is wrong with CONFIG.
check: build
	target/release/copperroute check --config $(CONFIG)

# Plays SCENARIO in the lab; results and report go to target/testbed.
lab: build
	target/release/copperroute-testbed run $(SCENARIO)

# Plays every scenario of cold starts and of the list service; ends at the first that fails.
cold: build
	for file in crates/testbed/scenarios/lists-*.json crates/testbed/scenarios/cold-*.json; do \
		target/release/copperroute-testbed run $$file --out target/testbed/$$(basename $$file .json) || exit 1; done

# Plays every scenario of versions of rules; ends at the first that fails. agree-half is there to fail.
agree: build
	for file in crates/testbed/scenarios/agree-*.json; do case $$file in *agree-half*) continue;; esac; \
		target/release/copperroute-testbed run $$file --out target/testbed/$$(basename $$file .json) || exit 1; done

# Plays the ordinary day of the whole fleet, compressed, before the change log alone and before six replicas of it, some three
# minutes each; both are played, and it ends with 1 if either misses a bound.
capacity: build
	ended=0; for name in capacity-590 capacity-590-replicas; do \
		target/release/copperroute-testbed capacity crates/testbed/scenarios/$$name.json --out target/testbed/$$name || ended=1; done; exit $$ended

# Times the structures of the decisions beside plain ones.
bench:
	cargo bench -p copperroute-routing --bench structures
