//! What a scenario expects besides the rules.

use schemars::JsonSchema;
use serde::Deserialize;

/// Benefit has recovered once it is this part of its level, on the mean of so many seconds.
pub(crate) const RECOVERED_SHARE: f64 = 0.95;
pub(crate) const RECOVERED_OVER_S: usize = 3;

/// What must hold besides the rules.
#[derive(Debug, Clone, Default, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub(crate) struct Expect {
    /// After the last fault ends benefit is back at 95% of its level before the first within so many seconds.
    pub back_within_s: Option<f64>,
    /// So large a part of the requests is served in the end.
    pub served_share: Option<f64>,
    /// In no second, wherever it begins, more calls at the list service than this.
    pub calls_peak: Option<u32>,
    /// It falls so often at most.
    pub falls: Option<u32>,
    /// After the last fault ends, or the start, all dispatchers have heard all within so many seconds.
    pub current_within_s: Option<f64>,
    /// No dispatcher writes more lines to its log.
    pub log_lines: Option<usize>,
    /// No more tries a request.
    pub tries_each: Option<f64>,
    /// No attempt comes so many seconds after it was last allowed by a version in force.
    pub contradiction_s: Option<f64>,
    /// Nodes turn no more connections away.
    pub turned_away: Option<u32>,
    /// Benefit in the thirty seconds after the last fault, beside the level before the first.
    pub after: Option<f64>,
    /// The logs hold this text.
    pub logs: Option<String>,
    /// The logs do not hold this text.
    pub logs_lack: Option<String>,
}
