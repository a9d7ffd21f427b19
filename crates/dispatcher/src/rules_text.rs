//! Text reports on rule versions for operators: the content of a version, the changes between two versions, and whether
//! each version of a sequence would be accepted. Inputs are the agreement's settings and version files; the output is
//! text. The command `copperroute rules` calls this module.

use crate::config::AgreementConfig;
use copperroute_config_rollout::rules::{RuleSet, differences};
use copperroute_config_rollout::version::{IssuedVersion, Refusal, Version};
use std::fmt::Write as _;
use std::path::Path;

/// Reads a version from a file; an error is one line with the file and the field.
pub fn read(path: &Path) -> Result<IssuedVersion, String> {
    let named = |what: String| format!("{}: {what}", path.display());
    let text = std::fs::read_to_string(path).map_err(|fault| named(fault.to_string()))?;
    IssuedVersion::parse(&text).map_err(named)
}

/// The version 0, which is the platform's settings.
fn platform_version(agreement: &AgreementConfig) -> Version {
    Version::platform_default(agreement.context.platform_rules.clone(), agreement.floor.clone())
}

/// Reports each rule: its value, the platform's value if it differs, and the floor if it differs.
pub fn show(agreement: &AgreementConfig, issue: &IssuedVersion) -> Result<String, String> {
    let version = Version::from_issued(issue, &platform_version(agreement), &agreement.context)
        .map_err(|why| why.to_string())?;
    let (base, types) = (&agreement.context.platform_rules, &agreement.context.content_types);
    let mut text = format!(
        "version {} of '{}', digest {:016x}, issued at {} ms, active from {} ms\n",
        version.number,
        version.issuer.escape_default(),
        version.digest,
        issue.issued_ms,
        issue.from_ms
    );
    for field in base.fields() {
        let [value, platform, floor] =
            [&version.rules, base, &version.floor].map(|set| RuleSet::to_json(field, set.get(field)));
        let _ = write!(text, "{}: {value}", field.path(types));
        if value != platform {
            let _ = write!(text, ", platform {platform}");
        }
        if floor != value {
            let _ = write!(text, ", floor {floor}");
        }
        text.push('\n');
    }
    Ok(text)
}

/// Reports the rules that change from one version to another, and from when. Without `from` it compares with the
/// platform's settings.
pub fn diff(
    agreement: &AgreementConfig,
    from: Option<&IssuedVersion>,
    to: &IssuedVersion,
) -> Result<String, String> {
    let first = platform_version(agreement);
    let read = |issue: &IssuedVersion| {
        Version::from_issued(issue, &first, &agreement.context).map_err(|why| why.to_string())
    };
    let before = from.map_or_else(|| Ok(first.clone()), read)?;
    let after = read(to)?;
    let mut text = format!("from version {} to version {}\n", before.number, after.number);
    let changes = differences(&before.rules, &after.rules, &agreement.context.content_types);
    for change in &changes {
        let when = match change.stricter {
            true => "on receipt".to_string(),
            false => format!("from {} ms", to.from_ms),
        };
        let _ = writeln!(text, "{change}, {when}");
    }
    if changes.is_empty() {
        text.push_str("no rule changes\n");
    }
    for change in differences(&before.floor, &after.floor, &agreement.context.content_types) {
        let _ = writeln!(text, "floor, {change}");
    }
    Ok(text)
}

/// Reports whether each version of a sequence would be accepted after those before it, and how to mend the first that
/// would not. The first line states the contradiction bound.
pub fn check(agreement: &AgreementConfig, issues: &[IssuedVersion]) -> Result<String, String> {
    let terms = agreement.context.timing;
    let mut text = format!(
        "no two dispatchers act on contradicting rules for longer than {} s: lease {} s, clock error {} s, propagation {} s\n",
        terms.contradiction_bound().secs(),
        terms.lease.secs(),
        terms.clock_error.secs(),
        terms.propagation_bound.secs()
    );
    let mut last = platform_version(agreement);
    for issue in issues {
        let judged = Version::from_issued(issue, &last, &agreement.context)
            .and_then(|version| version.check_successor(issue, &last, &agreement.context).map(|()| version));
        let judged = match judged {
            Ok(version) if version.number <= last.number => {
                Err(Refusal::Older { is: version.number, holds: last.number })
            }
            other => other,
        };
        match judged {
            Ok(version) => {
                let gap = if version.number > last.number + 1 {
                    ", after versions that were not given"
                } else {
                    ""
                };
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

/// How to mend a refused version, if there is a way.
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
