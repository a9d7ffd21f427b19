//! Parses the text of a plan: parts `NAME=VALUE`, separated by `;` or line ends.

use crate::{Call, CallRule, FaultPlan, OneIn, Span, WallStep};
use std::fmt;
use std::str::FromStr;

/// The forms of a part of a plan.
const EXPECTED_PART: &str = "seed=N, short=1/N, wall=OFFSET_MS[@FROM_MS], under=FOLDER, plan=FILE, trace=FILE or \
                             CALL=ERRNO[,ERRNO...][:1/N][@FROM_MS[-UNTIL_MS]]";

/// The part of a plan that can't be parsed.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct ParsePlanError(String);

impl fmt::Display for ParsePlanError {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "fault plan: can't parse {:?}, expected {EXPECTED_PART}", self.0)
    }
}

impl std::error::Error for ParsePlanError {}

impl FromStr for FaultPlan {
    type Err = ParsePlanError;

    fn from_str(text: &str) -> Result<FaultPlan, ParsePlanError> {
        let mut plan = FaultPlan::default();
        let parts = text.split([';', '\n']).map(str::trim).filter(|part| !part.is_empty());
        for part in parts {
            add_part(&mut plan, part).ok_or_else(|| ParsePlanError(part.to_owned()))?;
        }
        Ok(plan)
    }
}

/// Adds one part to the plan; `None` if it can't be parsed.
fn add_part(plan: &mut FaultPlan, part: &str) -> Option<()> {
    let (name, value) = part.split_once('=')?;
    match name {
        "seed" => plan.seed = value.parse().ok()?,
        "short" => plan.short = Some(parse_one_in(value)?),
        "under" => plan.under.push(value.into()),
        "plan" => plan.file = Some(value.into()),
        "trace" => plan.trace = Some(value.into()),
        "wall" => {
            let (offset, from) = value.split_once('@').unwrap_or((value, "0"));
            plan.wall.push(WallStep { offset_ms: offset.parse().ok()?, from_ms: from.parse().ok()? });
        }
        _ => plan.rules.push(parse_rule(name.parse().ok()?, value)?),
    }
    Some(())
}

/// Parses `ERRNO[,ERRNO...][:1/N][@FROM_MS[-UNTIL_MS]]`; without `:1/N` every use fails.
fn parse_rule(call: Call, text: &str) -> Option<CallRule> {
    let (text, span) = match text.split_once('@') {
        Some((text, span)) => (text, parse_span(span)?),
        None => (text, Span::ALWAYS),
    };
    let (errnos, share) = text.split_once(':').unwrap_or((text, "1/1"));
    let errnos = errnos.split(',').map(|errno| errno.parse().ok()).collect::<Option<_>>()?;
    Some(CallRule { call, errnos, one_in: parse_one_in(share)?, span })
}

/// Parses `1/N`.
fn parse_one_in(text: &str) -> Option<OneIn> {
    text.strip_prefix("1/")?.parse().ok().map(OneIn)
}

/// Parses `FROM_MS[-UNTIL_MS]`.
fn parse_span(text: &str) -> Option<Span> {
    let (from, until) = match text.split_once('-') {
        Some((from, until)) => (from, Some(until.parse().ok()?)),
        None => (text, None),
    };
    Some(Span { from_ms: from.parse().ok()?, until_ms: until })
}
