//! Versions of rules as staff read them: what a version says, what changes from one to the next, and which of a row of
//! versions would be taken.

use crate::config::AgreementConfig;
use copperroute_config_rollout::rules::{RuleSet, differences};
use copperroute_config_rollout::version::{IssuedVersion, Refusal, Version};
use std::fmt::Write as _;
use std::path::Path;

/// Reads a version from a file; an error is one line with file and field.
pub fn read(path: &Path) -> Result<IssuedVersion, String> {
    let named = |what: String| format!("{}: {what}", path.display());
    let text = std::fs::read_to_string(path).map_err(|fault| named(fault.to_string()))?;
    IssuedVersion::parse(&text).map_err(named)
}

fn zero(agreeing: &AgreementConfig) -> Version {
    Version::platform_default(agreeing.context.platform_rules.clone(), agreeing.floor.clone())
}

/// Every field: what it says, the platform's value where that is another, and the strictest that may follow.
pub fn show(agreeing: &AgreementConfig, issue: &IssuedVersion) -> Result<String, String> {
    let version =
        Version::from_issued(issue, &zero(agreeing), &agreeing.context).map_err(|why| why.to_string())?;
    let (base, types) = (&agreeing.context.platform_rules, &agreeing.context.content_types);
    let mut text = format!(
        "version {} of '{}', digest {:016x}, issued at {} ms, acts from {} ms\n",
        version.number,
        version.issuer.escape_default(),
        version.digest,
        issue.issued_ms,
        issue.from_ms
    );
    for field in base.fields() {
        let [is, was, least] =
            [&version.rules, base, &version.floor].map(|set| RuleSet::to_json(field, set.get(field)));
        let _ = write!(text, "{}: {is}", field.path(types));
        if is != was {
            let _ = write!(text, ", platform {was}");
        }
        if least != is {
            let _ = write!(text, ", floor {least}");
        }
        text.push('\n');
    }
    Ok(text)
}

/// What changes from one version to another, field by field, and from when.
pub fn diff(
    agreeing: &AgreementConfig,
    from: Option<&IssuedVersion>,
    to: &IssuedVersion,
) -> Result<String, String> {
    let first = zero(agreeing);
    let read = |issue: &IssuedVersion| {
        Version::from_issued(issue, &first, &agreeing.context).map_err(|why| why.to_string())
    };
    let before = from.map_or_else(|| Ok(first.clone()), read)?;
    let after = read(to)?;
    let mut text = format!("from version {} to version {}\n", before.number, after.number);
    let changes = differences(&before.rules, &after.rules, &agreeing.context.content_types);
    for change in &changes {
        let when = match change.stricter {
            true => "once it is heard".to_string(),
            false => format!("from {} ms", to.from_ms),
        };
        let _ = writeln!(text, "{change}, {when}");
    }
    if changes.is_empty() {
        text.push_str("no rule changes\n");
    }
    for change in differences(&before.floor, &after.floor, &agreeing.context.content_types) {
        let _ = writeln!(text, "floor, {change}");
    }
    Ok(text)
}

/// Whether each of a row of versions would be taken after those before it, and what is to be done where not. The first
/// line tells the stated time.
pub fn check(agreeing: &AgreementConfig, issues: &[IssuedVersion]) -> Result<String, String> {
    let terms = agreeing.context.timing;
    let mut text = format!(
        "no two act on rules that contradict each other for longer than {} s: lease {} s, clocks {} s, ways {} s\n",
        terms.contradiction_bound().secs(),
        terms.lease.secs(),
        terms.clock_error.secs(),
        terms.propagation_bound.secs()
    );
    let mut last = zero(agreeing);
    for issue in issues {
        let judged = Version::from_issued(issue, &last, &agreeing.context)
            .and_then(|version| version.check_successor(issue, &last, &agreeing.context).map(|()| version));
        let judged = match judged {
            Ok(version) if version.number <= last.number => {
                Err(Refusal::Older { is: version.number, holds: last.number })
            }
            other => other,
        };
        match judged {
            Ok(version) => {
                let gap =
                    if version.number > last.number + 1 { ", after versions that are not given" } else { "" };
                let _ =
                    writeln!(text, "version {}: good, digest {:016x}{gap}", version.number, version.digest);
                last = version;
            }
            Err(why) => {
                let _ = writeln!(text, "version {}: {why}", issue.version);
                return Err(match remedy(&why, issue, &last) {
                    Some(remedy) => format!("{text}{remedy}"),
                    None => text.trim_end().to_string(),
                });
            }
        }
    }
    Ok(text)
}

/// What is to be done instead.
fn remedy(why: &Refusal, issue: &IssuedVersion, last: &Version) -> Option<String> {
    Some(match why {
        Refusal::NoticeTooShort { min_notice_ms, .. } => {
            format!("to do: from_ms {} or later", (issue.issued_ms + min_notice_ms).max(last.from_ms + 1))
        }
        Refusal::ActivationNotLater { previous_from_ms, .. } => {
            format!("to do: from_ms {} or later", previous_from_ms + 1)
        }
        Refusal::Forked { holds, .. } => format!("to do: after '{holds}'"),
        Refusal::BelowFloor(_) | Refusal::FloorLowered(_) => {
            "to do: not in one step; a floor that allows for it in the operators' file and a restart of all, then \
             this version"
                .into()
        }
        Refusal::TooLoose(_) => "to do: the platform's settings and a restart of all, then this version".into(),
        _ => return None,
    })
}
