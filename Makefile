CONFIG ?= deploy/example.json

SCENARIO ?= lab/scenarios/trunk-outage.json

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

# Plays SCENARIO in the lab; results and report go to target/lab.
lab: build
	target/release/copperroute-lab run $(SCENARIO)

# Plays every scenario of cold starts and of the list service; ends at the first that fails.
cold: build
	for file in lab/scenarios/lists-*.json lab/scenarios/cold-*.json; do \
		target/release/copperroute-lab run $$file --out target/lab/$$(basename $$file .json) || exit 1; done

# Plays every scenario of versions of rules; ends at the first that fails. agree-half is there to fail.
agree: build
	for file in lab/scenarios/agree-*.json; do case $$file in *agree-half*) continue;; esac; \
		target/release/copperroute-lab run $$file --out target/lab/$$(basename $$file .json) || exit 1; done

# Plays the ordinary day of the whole fleet, compressed, some three minutes; ends with 1 if a bound is missed.
capacity: build
	target/release/copperroute-lab capacity lab/scenarios/capacity-590.json --out target/lab/capacity

# Times the structures of the decisions beside plain ones.
bench:
	cargo bench --bench structures
