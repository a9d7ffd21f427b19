//! Constants of the simulation: first the figures given by the operators of the fleet, then assumptions for what they
//! did not specify. Rates are for the whole fleet at its reference size unless the name says otherwise.

use copperroute_routing::interface::Nanos;

pub(super) const SECOND: Nanos = Nanos(1_000_000_000);

// Given figures.

/// Purges per second.
pub(super) const PURGES_PER_S: f64 = 6.0;
/// Versions of rules per busy hour.
pub(super) const VERSIONS_PER_HOUR: f64 = 17.0;
/// Bound within which every reachable dispatcher acts on a purge.
pub(super) const PURGE_BOUND: Nanos = Nanos(2_100_000_000);
/// Bound within which a change of configuration is in force.
pub(super) const CONFIGURATION_BOUND: Nanos = Nanos(9_000_000_000);
/// Bytes of control traffic that one dispatcher may receive per second.
pub(super) const CONTROL_BYTES_PER_S: u64 = 9_000;
/// The fleet size, in dispatchers, to which the failure rates refer.
pub(super) const REFERENCE_DISPATCHERS: f64 = 590.0;
/// Cache nodes at that fleet size; they fail and restart like dispatchers.
pub(super) const REFERENCE_CACHE_NODES: f64 = 120.0;
/// The change log's machine and six control machines.
pub(super) const CONTROL_MACHINES: f64 = 7.0;
pub(super) const MACHINE_FAILURES_PER_DAY: f64 = 3.0;
pub(super) const RESTARTS_PER_DAY: f64 = 220.0;
/// One rack or switch failure every one to two months.
pub(super) const RACK_FAILURES_PER_MONTH: f64 = 0.67;
/// One zone failure once or twice a year.
pub(super) const ZONE_FAILURES_PER_MONTH: f64 = 0.125;
pub(super) const DAYS_PER_MONTH: f64 = 30.4;
pub(super) const REGIONS: usize = 5;
pub(super) const ZONES: usize = 14;
pub(super) const SITES: u32 = 34;
/// Dispatchers behind one switch.
pub(super) const DISPATCHERS_PER_RACK: u32 = 17;
/// How long regions are cut off from each other.
pub(super) const CUT_DURATION: Nanos = Nanos(3_600 * SECOND.0);

// Assumptions.

/// How often a region is cut off from all others, and how often two regions are cut off from each other. The given
/// figure is only "now and then".
pub(super) const REGION_CUTS_PER_MONTH: f64 = 0.5;
pub(super) const PAIR_CUTS_PER_MONTH: f64 = 0.5;
/// How often a stream is reset, or goes silent, without another fault.
pub(super) const RESETS_PER_STREAM_MONTH: f64 = 1.0;
pub(super) const SILENCES_PER_STREAM_MONTH: f64 = 0.1;
/// One-way delays: within a zone, within a region, to the next region, and in addition for each region beyond it.
pub(super) const DELAY_ZONE: Nanos = Nanos(300_000);
pub(super) const DELAY_REGION: Nanos = Nanos(1_000_000);
pub(super) const DELAY_NEXT_REGION: Nanos = Nanos(35_000_000);
pub(super) const DELAY_PER_FURTHER_REGION: Nanos = Nanos(20_000_000);
/// A delay grows at random by up to this fraction of itself.
pub(super) const JITTER: f64 = 0.2;
/// Between regions one message in `RESEND_ONE_IN` is lost and resent after `RESEND_DELAY`.
pub(super) const RESEND_ONE_IN: f64 = 1_000.0;
pub(super) const RESEND_DELAY: Nanos = Nanos(250_000_000);
/// Throughput of one stream, in bytes per second.
pub(super) const STREAM_BYTES_PER_S: f64 = 1e6;
/// Connections per second that the log and each replica accept, per dispatcher of the fleet.
pub(super) const CONNECTS_PER_S_PER_DISPATCHER: f64 = 0.2;
/// A source becomes overloaded above `OVERLOAD_ENTER_RATIO` times its connection capacity, and recovers below
/// `OVERLOAD_EXIT_RATIO` times it.
pub(super) const OVERLOAD_ENTER_RATIO: f64 = 1.5;
pub(super) const OVERLOAD_EXIT_RATIO: f64 = 0.95;
/// Downtime of a process at a restart, and time until a lost machine is replaced.
pub(super) const RESTART_TIME: Nanos = Nanos(5 * SECOND.0);
pub(super) const MACHINE_REPLACEMENT_TIME: Nanos = Nanos(600 * SECOND.0);
/// Age of the newest event that the configuration of a starting dispatcher contains.
pub(super) const STARTUP_EVENT_AGE: Nanos = Nanos(60 * SECOND.0);
/// Width of the range of clock errors: a clock is off by up to half of this in either direction.
pub(super) const CLOCK_SPREAD_MS: f64 = 250.0;
/// Time from the issue of a version to its activation time.
pub(super) const ACTIVATION_DELAY_MS: u64 = 4_000;
/// Interval at which connections are checked (the sweep of the dispatcher's reducer).
pub(super) const SWEEP_INTERVAL: Nanos = Nanos(250_000_000);
/// Delivery bound: a dispatcher counts a change as delivered after this time, whether or not it arrived.
pub(super) const DELIVERED_AFTER: Nanos = Nanos(7 * SECOND.0);
/// Unix time, in milliseconds, at which a run begins.
pub(super) const START_UNIX_MS: u64 = 1_764_576_000_000;
