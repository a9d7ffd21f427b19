//! Reads a plan from the text that hands it in.

use crate::{Call, CallRule, FaultPlan, OneIn, Span, WallStep};
use std::fmt;
use std::str::FromStr;

/// A part of a plan that can't be read.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Invalid(String);

impl fmt::Display for Invalid {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{}: no rule of faults", self.0)
    }
}

impl std::error::Error for Invalid {}

impl FromStr for FaultPlan {
    type Err = Invalid;

    fn from_str(text: &str) -> Result<FaultPlan, Invalid> {
        let mut plan = FaultPlan::default();
        let parts = text.split([';', '\n']).map(str::trim).filter(|part| !part.is_empty());
        for part in parts {
            add(&mut plan, part).ok_or_else(|| Invalid(part.to_owned()))?;
        }
        Ok(plan)
    }
}

/// Adds one part to the plan; nothing if it can't be read.
fn add(plan: &mut FaultPlan, part: &str) -> Option<()> {
    let (name, value) = part.split_once('=')?;
    match name {
        "seed" => plan.seed = value.parse().ok()?,
        "short" => plan.short = Some(one_in(value)?),
        "under" => plan.under.push(value.into()),
        "plan" => plan.file = Some(value.into()),
        "trace" => plan.trace = Some(value.into()),
        "wall" => {
            let (offset, from) = value.split_once('@').unwrap_or((value, "0"));
            plan.wall.push(WallStep { offset_ms: offset.parse().ok()?, from_ms: from.parse().ok()? });
        }
        _ => plan.rules.push(rule(name.parse().ok()?, value)?),
    }
    Some(())
}

/// `ERRNO[,ERRNO...]:1/N[@FROM_MS[-UNTIL_MS]]`.
fn rule(call: Call, text: &str) -> Option<CallRule> {
    let (text, within) = match text.split_once('@') {
        Some((text, within)) => (text, span(within)?),
        None => (text, Span::ALWAYS),
    };
    let (errnos, share) = text.split_once(':').unwrap_or((text, "1/1"));
    let errnos = errnos.split(',').map(|errno| errno.parse().ok()).collect::<Option<_>>()?;
    Some(CallRule { call, errnos, one_in: one_in(share)?, span: within })
}

fn one_in(text: &str) -> Option<OneIn> {
    text.strip_prefix("1/")?.parse().ok().map(OneIn)
}

fn span(text: &str) -> Option<Span> {
    let (from, until) = match text.split_once('-') {
        Some((from, until)) => (from, Some(until.parse().ok()?)),
        None => (text, None),
    };
    Some(Span { from_ms: from.parse().ok()?, until_ms: until })
}
