//! Catalogue of the slopes that can be measured: names, default sizes, measured values and the function for one size.

use super::dispatcher::RunEnvironment;
use super::{MeasureResult, control, requests, several};
use std::pin::Pin;

/// Future of one measurement.
pub(super) type MeasureFuture = Pin<Box<dyn Future<Output = MeasureResult> + Send>>;

/// A slope: how the cost of one dispatcher grows with one quantity.
pub(super) struct Slope {
    /// Name on the command line.
    pub name: &'static str,
    /// Description, printed in the table's title.
    pub about: &'static str,
    /// Heading of the sizes' column.
    pub unit: &'static str,
    /// Default sizes; the largest exceeds the specified load.
    pub sizes: [f64; 5],
    /// Headings of the measured values.
    pub measures: &'static [&'static str],
    /// Whether the dispatcher serves no requests and only follows the change log.
    pub is_control_plane: bool,
    /// Whether all sizes are light enough to be measured at the same time.
    pub runs_concurrently: bool,
    /// Measures one size.
    pub measure: fn(RunEnvironment, f64) -> MeasureFuture,
}

/// Headings of the `nodes` slope.
const START_MEASURES: [&str; 5] = [
    "processor at the start, ms",
    control::MEASURES[0],
    control::MEASURES[1],
    control::MEASURES[2],
    control::MEASURES[3],
];
/// Headings of the backlog slopes.
const BACKLOG_MEASURES: [&str; 4] =
    ["processor, start and backlog, ms", "told by the change log, B", "resident, MB", "descriptors"];
const LIST_CHANGES_PER_S: [f64; 5] = [0.0, 1.0, 5.0, 25.0, 100.0];
const VERSIONS_PER_S: [f64; 5] = [0.0, 0.5, 1.0, 2.0, 5.0];
const OPEN_REQUESTS: [f64; 5] = [10.0, 100.0, 500.0, 2_000.0, 5_000.0];
const PURGE_RATES_PER_S: [f64; 5] = [0.0, 6.0, 60.0, 300.0, 600.0];
/// 21,600 purges are one hour at 6 per second.
const BACKLOG_PURGES: [f64; 5] = [0.0, 1_000.0, 10_000.0, 21_600.0, 100_000.0];

/// All slopes, in the order in which `slopes list` prints them.
pub(super) const SLOPES: &[Slope] = &[
    Slope {
        name: "nodes",
        about: "control, by nodes in the list",
        unit: "cache hosts",
        sizes: [12.0, 60.0, 120.0, 300.0, 1_200.0],
        measures: &START_MEASURES,
        is_control_plane: true,
        runs_concurrently: true,
        measure: |environment, size| Box::pin(control::by_nodes(environment, size)),
    },
    Slope {
        name: "purges",
        about: "control, by purges a second",
        unit: "purges a second",
        sizes: PURGE_RATES_PER_S,
        measures: &control::MEASURES,
        is_control_plane: true,
        runs_concurrently: true,
        measure: |environment, size| Box::pin(control::by_purges(environment, size)),
    },
    Slope {
        name: "purges-copies",
        about: "control, by purges a second, with copies of its own (4 MB)",
        unit: "purges a second",
        sizes: PURGE_RATES_PER_S,
        measures: &control::MEASURES,
        is_control_plane: true,
        runs_concurrently: true,
        measure: |environment, size| Box::pin(control::by_purges_with_local_cache(environment, size)),
    },
    Slope {
        name: "backlog",
        about: "control, by purges of a backlog taken at once, six for each second that went by",
        unit: "purges at once",
        sizes: BACKLOG_PURGES,
        measures: &BACKLOG_MEASURES,
        is_control_plane: true,
        runs_concurrently: true,
        measure: |environment, size| Box::pin(control::by_backlog(environment, size)),
    },
    Slope {
        name: "backlog-copies",
        about: "control, by purges of this moment taken at once, with copies of its own (4 MB)",
        unit: "purges at once",
        sizes: BACKLOG_PURGES,
        measures: &BACKLOG_MEASURES,
        is_control_plane: true,
        runs_concurrently: true,
        measure: |environment, size| Box::pin(control::by_backlog_with_local_cache(environment, size)),
    },
    Slope {
        name: "list-changes",
        about: "control, by changes of one node's line a second",
        unit: "changes a second",
        sizes: LIST_CHANGES_PER_S,
        measures: &control::MEASURES,
        is_control_plane: true,
        runs_concurrently: true,
        measure: |environment, size| Box::pin(control::by_list_changes(environment, size)),
    },
    Slope {
        name: "versions",
        about: "control, by versions of rules a second, with the agreement on",
        unit: "versions a second",
        sizes: VERSIONS_PER_S,
        measures: &control::MEASURES,
        is_control_plane: true,
        runs_concurrently: true,
        measure: |environment, size| Box::pin(control::by_versions(environment, size)),
    },
    Slope {
        name: "requests",
        about: "requests a second, all found in caches",
        unit: "requests a second",
        sizes: [500.0, 1_000.0, 5_000.0, 20_000.0, 50_000.0],
        measures: &requests::MEASURES,
        is_control_plane: false,
        runs_concurrently: false,
        measure: |environment, size| Box::pin(requests::by_rate(environment, size)),
    },
    Slope {
        name: "timeout",
        about: "1,000 requests a second, by how long clients wait",
        unit: "time-out, s",
        sizes: [3.0, 6.0, 15.0, 30.0, 60.0],
        measures: &requests::MEASURES,
        is_control_plane: false,
        runs_concurrently: true,
        measure: |environment, size| Box::pin(requests::by_timeout(environment, size)),
    },
    Slope {
        name: "bytes",
        about: "200 requests a second, by the size of an answer",
        unit: "KB an answer",
        sizes: [1.0, 10.0, 50.0, 100.0, 200.0],
        measures: &requests::MEASURES,
        is_control_plane: false,
        runs_concurrently: false,
        measure: |environment, size| Box::pin(requests::by_bytes(environment, size)),
    },
    Slope {
        name: "open",
        about: "500 requests a second, by how many are open at once",
        unit: "open requests",
        sizes: OPEN_REQUESTS,
        measures: &requests::MEASURES,
        is_control_plane: false,
        runs_concurrently: false,
        measure: |environment, size| Box::pin(requests::by_open_requests(environment, size)),
    },
    Slope {
        name: "open-purges",
        about: "the same while 300 purges a second come",
        unit: "open requests",
        sizes: OPEN_REQUESTS,
        measures: &requests::MEASURES,
        is_control_plane: false,
        runs_concurrently: false,
        measure: |environment, size| Box::pin(requests::by_open_requests_with_purges(environment, size)),
    },
    Slope {
        name: "purges-held",
        about: "1,000 requests a second, by purges a second, each held for 7 s",
        unit: "purges a second",
        sizes: [0.0, 6.0, 60.0, 300.0, 1_200.0],
        measures: &requests::MEASURES,
        is_control_plane: false,
        runs_concurrently: true,
        measure: |environment, size| Box::pin(requests::by_purges_kept(environment, size)),
    },
    Slope {
        name: "objects",
        about: "5,000 requests a second, by distinct objects",
        unit: "objects",
        sizes: [1_000.0, 10_000.0, 20_000.0, 100_000.0, 1_200_000.0],
        measures: &requests::MEASURES,
        is_control_plane: false,
        runs_concurrently: false,
        measure: |environment, size| Box::pin(requests::by_objects(environment, size)),
    },
    Slope {
        name: "idle",
        about: "1,000 requests a second, by clients that ask for nothing",
        unit: "idle clients",
        sizes: [0.0, 50.0, 100.0, 250.0, 500.0],
        measures: &requests::MEASURES,
        is_control_plane: false,
        runs_concurrently: true,
        measure: |environment, size| Box::pin(requests::by_idle_connections(environment, size)),
    },
    Slope {
        name: "connections",
        about: "1,000 requests a second, by the connections that they come over",
        unit: "connections",
        sizes: [1.0, 16.0, 64.0, 200.0, 500.0],
        measures: &requests::MEASURES,
        is_control_plane: false,
        runs_concurrently: true,
        measure: |environment, size| Box::pin(requests::by_connections(environment, size)),
    },
    Slope {
        name: "own-caches",
        about: "1,000 requests a second, by caches of the own site",
        unit: "caches",
        sizes: [1.0, 4.0, 16.0, 60.0, 120.0],
        measures: &requests::MEASURES,
        is_control_plane: false,
        runs_concurrently: true,
        measure: |environment, size| Box::pin(requests::by_own_caches(environment, size)),
    },
    Slope {
        name: "fills",
        about: "1,000 requests a second that miss and are filled, by caches of the whole fleet",
        unit: "caches",
        sizes: [12.0, 60.0, 120.0, 300.0, 1_200.0],
        measures: &requests::MEASURES,
        is_control_plane: false,
        runs_concurrently: true,
        measure: |environment, size| Box::pin(requests::by_fleet_with_fills(environment, size)),
    },
    Slope {
        name: "dispatchers",
        about: "what hosts and the change log bear, by dispatchers of one site with 4 cache hosts",
        unit: "dispatchers",
        sizes: [1.0, 2.0, 4.0, 8.0, 18.0],
        measures: &several::MEASURES,
        is_control_plane: false,
        runs_concurrently: false,
        measure: |environment, size| Box::pin(several::by_dispatchers(environment, size)),
    },
];
