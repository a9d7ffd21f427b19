//! The dispatchers' wall clock, where a scenario has it off: carried out by a library that is preloaded into them alone,
//! which leaves their monotonic clock as it is.

use schemars::JsonSchema;
use serde::Deserialize;
use std::path::{Path, PathBuf};

/// The library, which is built with the workspace.
const LIBRARY: &str = "libcopperroute_fault_injection_preload.so";
/// What tells it what to do.
const PLAN: &str = "COPPERROUTE_FAULTS";
const PRELOAD: &str = "LD_PRELOAD";

/// From a moment on the wall clock is off.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub(crate) struct WallStep {
    /// By so many milliseconds: ahead where over 0, behind where under.
    pub off_ms: i64,
    /// So many seconds after the start of the process, each time that it starts.
    #[serde(default)]
    pub from_s: f64,
}

/// What dispatchers' environments have besides, so that their wall clock takes these steps; nothing for none. An error is
/// one line.
pub(crate) fn variables(
    steps: &[WallStep],
    program: &Path,
) -> Result<[(&'static str, Option<String>); 2], String> {
    if steps.is_empty() {
        return Ok([(PLAN, None), (PRELOAD, None)]);
    }
    let own = std::env::current_exe().unwrap_or_default();
    let library = library(&[program, &own])?.display().to_string();
    let plan: Vec<_> =
        steps.iter().map(|step| format!("wall={}@{}", step.off_ms, (step.from_s * 1e3) as u64)).collect();
    Ok([(PLAN, Some(plan.join(";"))), (PRELOAD, Some(library))])
}

/// Where the library is: beside one of these programs.
fn library(programs: &[&Path]) -> Result<PathBuf, String> {
    let mut places = programs.iter().filter_map(|program| Some(program.parent()?.join(LIBRARY)));
    let found = places.find_map(|place| place.canonicalize().ok());
    found.ok_or_else(|| {
        let programs: Vec<_> = programs.iter().map(|program| program.display().to_string()).collect();
        format!("dispatchers.wall_clock: {LIBRARY} is not beside {}; build it", programs.join(" or "))
    })
}

#[cfg(test)]
#[path = "tests/wall_clock.rs"]
mod tests;
