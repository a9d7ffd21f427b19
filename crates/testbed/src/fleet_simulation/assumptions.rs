//! What the simulation takes as given: the users' figures first, then what nobody has told and is assumed.

use copperroute_routing::interface::Nanos;

pub(super) const SECOND: Nanos = Nanos(1_000_000_000);

// The users' figures.

/// Purges a second.
pub(super) const PURGES_PER_S: f64 = 6.0;
/// Versions in a busy hour.
pub(super) const VERSIONS_PER_HOUR: f64 = 17.0;
/// A purge is acted on everywhere reachable within this.
pub(super) const PURGE_BOUND: Nanos = Nanos(2_100_000_000);
/// A change of configuration is in force within this.
pub(super) const CONFIGURATION_BOUND: Nanos = Nanos(9_000_000_000);
/// Bytes of control that one dispatcher may take in a second.
pub(super) const CONTROL_BYTES: u64 = 9_000;
/// The size that the frequencies are told for.
pub(super) const TOLD_DISPATCHERS: f64 = 590.0;
/// Cache hosts at that size, which fail and restart like dispatchers.
pub(super) const TOLD_CACHE_HOSTS: f64 = 120.0;
/// The log's machine and six control machines.
pub(super) const CONTROL_MACHINES: f64 = 7.0;
pub(super) const MACHINE_FAILURES_PER_DAY: f64 = 3.0;
pub(super) const RESTARTS_PER_DAY: f64 = 220.0;
/// A rack or a switch each month or two.
pub(super) const RACKS_PER_MONTH: f64 = 0.67;
/// A zone once or twice a year.
pub(super) const ZONES_PER_MONTH: f64 = 0.125;
pub(super) const DAYS_PER_MONTH: f64 = 30.4;
pub(super) const REGIONS: usize = 5;
pub(super) const ZONES: usize = 14;
pub(super) const SITES: u32 = 34;
/// Dispatchers behind one switch.
pub(super) const RACK: u32 = 17;
/// Regions lose each other for so long.
pub(super) const CUT: Nanos = Nanos(3_600 * SECOND.0);

// Assumed.

/// "Now and then": a region loses all others, and two regions lose each other.
pub(super) const REGIONS_CUT_PER_MONTH: f64 = 0.5;
pub(super) const PAIRS_CUT_PER_MONTH: f64 = 0.5;
/// A stream is reset, or goes silent, with no other fault, so often.
pub(super) const RESETS_PER_STREAM_MONTH: f64 = 1.0;
pub(super) const SILENCES_PER_STREAM_MONTH: f64 = 0.1;
/// One way, within a zone, within a region, to the next region, and more for each region further.
pub(super) const DELAY_ZONE: Nanos = Nanos(300_000);
pub(super) const DELAY_REGION: Nanos = Nanos(1_000_000);
pub(super) const DELAY_NEXT_REGION: Nanos = Nanos(35_000_000);
pub(super) const DELAY_EACH_FURTHER: Nanos = Nanos(20_000_000);
/// A delay varies by up to this part of itself.
pub(super) const JITTER: f64 = 0.2;
/// Between regions one message in so many is resent, after this.
pub(super) const RESENT_ONE_IN: f64 = 1_000.0;
pub(super) const RESENT_AFTER: Nanos = Nanos(250_000_000);
/// Bytes a second of one stream.
pub(super) const STREAM_BYTES_PER_S: f64 = 1e6;
/// Calls that the log, and each replica, bears in a second: this part of the number of dispatchers.
pub(super) const CALLS_SHARE: f64 = 0.2;
/// A source falls over at so many times what it bears, and stands again under the other.
pub(super) const FALLS_AT: f64 = 1.5;
pub(super) const RISES_AT: f64 = 0.95;
/// A process is away for so long at a restart; a machine that is lost is replaced after the other.
pub(super) const RESTART_TAKES: Nanos = Nanos(5 * SECOND.0);
pub(super) const REPLACED_AFTER: Nanos = Nanos(600 * SECOND.0);
/// The configuration of a dispatcher that starts knows the events up to so long ago.
pub(super) const KNOWN_UP_TO: Nanos = Nanos(60 * SECOND.0);
/// Clocks are off by up to half of this to either side.
pub(super) const CLOCK_SPREAD_MS: f64 = 250.0;
/// From the issue of a version until it acts.
pub(super) const VERSION_AHEAD_MS: u64 = 4_000;
/// Connections are looked after so often (the sweep of the dispatcher's reducer).
pub(super) const SWEEP: Nanos = Nanos(250_000_000);
/// What a dispatcher may count as told, heard or not.
pub(super) const TOLD_AFTER: Nanos = Nanos(7 * SECOND.0);
/// A Unix millisecond to begin at.
pub(super) const UNIX_MS: u64 = 1_764_576_000_000;
