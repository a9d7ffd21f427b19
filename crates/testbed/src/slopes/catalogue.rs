//! The slopes that can be measured: their names, sizes and figures.

use super::dispatcher::Place;
use super::{Measured, control, requests, several};
use std::pin::Pin;

/// A measurement under way.
pub(super) type Measuring = Pin<Box<dyn Future<Output = Measured> + Send>>;

/// One kind of slope.
pub(super) struct Slope {
    /// Its name on the command line.
    pub name: &'static str,
    /// What it shows.
    pub about: &'static str,
    /// What the sizes count.
    pub unit: &'static str,
    /// The sizes, the largest beyond what is told.
    pub sizes: [f64; 5],
    /// What is measured.
    pub measures: &'static [&'static str],
    /// Of control; else of requests.
    pub of_control: bool,
    /// All sizes are light: they are measured at once.
    pub side_by_side: bool,
    /// Measures one size.
    pub measure: fn(Place, f64) -> Measuring,
}

const START: [&str; 5] = [
    "processor at the start, ms",
    control::WINDOW[0],
    control::WINDOW[1],
    control::WINDOW[2],
    control::WINDOW[3],
];
const BACKLOG: [&str; 4] =
    ["processor, start and backlog, ms", "told by the change log, B", "resident, MB", "descriptors"];
const EVENTS_A_SECOND: [f64; 5] = [0.0, 1.0, 5.0, 25.0, 100.0];
const VERSIONS_A_SECOND: [f64; 5] = [0.0, 0.5, 1.0, 2.0, 5.0];
const OPEN: [f64; 5] = [10.0, 100.0, 500.0, 2_000.0, 5_000.0];
const PURGES: [f64; 5] = [0.0, 6.0, 60.0, 300.0, 600.0];
const BACKLOGS: [f64; 5] = [0.0, 1_000.0, 10_000.0, 21_600.0, 100_000.0];

/// All of them.
pub(super) const SLOPES: &[Slope] = &[
    Slope {
        name: "nodes",
        about: "control, by nodes in the list",
        unit: "cache hosts",
        sizes: [12.0, 60.0, 120.0, 300.0, 1_200.0],
        measures: &START,
        of_control: true,
        side_by_side: true,
        measure: |place, size| Box::pin(control::by_nodes(place, size)),
    },
    Slope {
        name: "purges",
        about: "control, by purges a second",
        unit: "purges a second",
        sizes: PURGES,
        measures: &control::WINDOW,
        of_control: true,
        side_by_side: true,
        measure: |place, size| Box::pin(control::by_purges(place, size)),
    },
    Slope {
        name: "purges-copies",
        about: "control, by purges a second, with copies of its own (4 MB)",
        unit: "purges a second",
        sizes: PURGES,
        measures: &control::WINDOW,
        of_control: true,
        side_by_side: true,
        measure: |place, size| Box::pin(control::by_purges_with_copies(place, size)),
    },
    Slope {
        name: "backlog",
        about: "control, by purges of a backlog taken at once, six for each second that went by",
        unit: "purges at once",
        sizes: BACKLOGS,
        measures: &BACKLOG,
        of_control: true,
        side_by_side: true,
        measure: |place, size| Box::pin(control::by_backlog(place, size)),
    },
    Slope {
        name: "backlog-copies",
        about: "control, by purges of this moment taken at once, with copies of its own (4 MB)",
        unit: "purges at once",
        sizes: BACKLOGS,
        measures: &BACKLOG,
        of_control: true,
        side_by_side: true,
        measure: |place, size| Box::pin(control::by_backlog_with_copies(place, size)),
    },
    Slope {
        name: "list-changes",
        about: "control, by changes of one node's line a second",
        unit: "changes a second",
        sizes: EVENTS_A_SECOND,
        measures: &control::WINDOW,
        of_control: true,
        side_by_side: true,
        measure: |place, size| Box::pin(control::by_list_changes(place, size)),
    },
    Slope {
        name: "versions",
        about: "control, by versions of rules a second, with the agreement on",
        unit: "versions a second",
        sizes: VERSIONS_A_SECOND,
        measures: &control::WINDOW,
        of_control: true,
        side_by_side: true,
        measure: |place, size| Box::pin(control::by_versions(place, size)),
    },
    Slope {
        name: "requests",
        about: "requests a second, all found in caches",
        unit: "requests a second",
        sizes: [500.0, 1_000.0, 5_000.0, 20_000.0, 50_000.0],
        measures: &requests::WINDOW,
        of_control: false,
        side_by_side: false,
        measure: |place, size| Box::pin(requests::by_rate(place, size)),
    },
    Slope {
        name: "timeout",
        about: "1,000 requests a second, by how long clients wait",
        unit: "time-out, s",
        sizes: [3.0, 6.0, 15.0, 30.0, 60.0],
        measures: &requests::WINDOW,
        of_control: false,
        side_by_side: true,
        measure: |place, size| Box::pin(requests::by_timeout(place, size)),
    },
    Slope {
        name: "bytes",
        about: "200 requests a second, by the size of an answer",
        unit: "KB an answer",
        sizes: [1.0, 10.0, 50.0, 100.0, 200.0],
        measures: &requests::WINDOW,
        of_control: false,
        side_by_side: false,
        measure: |place, size| Box::pin(requests::by_bytes(place, size)),
    },
    Slope {
        name: "open",
        about: "500 requests a second, by how many are open at once",
        unit: "open requests",
        sizes: OPEN,
        measures: &requests::WINDOW,
        of_control: false,
        side_by_side: false,
        measure: |place, size| Box::pin(requests::by_open(place, size)),
    },
    Slope {
        name: "open-purges",
        about: "the same while 300 purges a second come",
        unit: "open requests",
        sizes: OPEN,
        measures: &requests::WINDOW,
        of_control: false,
        side_by_side: false,
        measure: |place, size| Box::pin(requests::by_open_with_purges(place, size)),
    },
    Slope {
        name: "purges-held",
        about: "1,000 requests a second, by purges a second, each held for 7 s",
        unit: "purges a second",
        sizes: [0.0, 6.0, 60.0, 300.0, 1_200.0],
        measures: &requests::WINDOW,
        of_control: false,
        side_by_side: true,
        measure: |place, size| Box::pin(requests::by_purges_held(place, size)),
    },
    Slope {
        name: "objects",
        about: "5,000 requests a second, by distinct objects",
        unit: "objects",
        sizes: [1_000.0, 10_000.0, 20_000.0, 100_000.0, 1_200_000.0],
        measures: &requests::WINDOW,
        of_control: false,
        side_by_side: false,
        measure: |place, size| Box::pin(requests::by_objects(place, size)),
    },
    Slope {
        name: "idle",
        about: "1,000 requests a second, by clients that ask for nothing",
        unit: "idle clients",
        sizes: [0.0, 50.0, 100.0, 250.0, 500.0],
        measures: &requests::WINDOW,
        of_control: false,
        side_by_side: true,
        measure: |place, size| Box::pin(requests::by_idle(place, size)),
    },
    Slope {
        name: "connections",
        about: "1,000 requests a second, by the connections that they come over",
        unit: "connections",
        sizes: [1.0, 16.0, 64.0, 200.0, 500.0],
        measures: &requests::WINDOW,
        of_control: false,
        side_by_side: true,
        measure: |place, size| Box::pin(requests::by_connections(place, size)),
    },
    Slope {
        name: "own-caches",
        about: "1,000 requests a second, by caches of the own site",
        unit: "caches",
        sizes: [1.0, 4.0, 16.0, 60.0, 120.0],
        measures: &requests::WINDOW,
        of_control: false,
        side_by_side: true,
        measure: |place, size| Box::pin(requests::by_own_caches(place, size)),
    },
    Slope {
        name: "fills",
        about: "1,000 requests a second that miss and are filled, by caches of the whole fleet",
        unit: "caches",
        sizes: [12.0, 60.0, 120.0, 300.0, 1_200.0],
        measures: &requests::WINDOW,
        of_control: false,
        side_by_side: true,
        measure: |place, size| Box::pin(requests::by_fleet_with_fills(place, size)),
    },
    Slope {
        name: "dispatchers",
        about: "what hosts and the change log bear, by dispatchers of one site with 4 cache hosts",
        unit: "dispatchers",
        sizes: [1.0, 2.0, 4.0, 8.0, 18.0],
        measures: &several::BORNE,
        of_control: false,
        side_by_side: false,
        measure: |place, size| Box::pin(several::by_dispatchers(place, size)),
    },
];
