//! A version of the rules as an issuer writes it, and the checks on whether it may follow another version.
//!
//! [`IssuedVersion`] is the JSON form, [`Version::from_issued`] reads it into a [`Version`], and
//! [`Version::check_successor`] validates it against the version before it. Times are Unix milliseconds.

use crate::faults::{Fault, Faults};
use crate::rules::RuleSet;
use crate::timing::TimingBounds;
use copperroute_routing::interface::stable_hash;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use std::fmt;

/// A version as written in a file or in an event of the change log. Rules that it does not name have the value of the
/// platform's settings.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(expecting = "struct Issue", deny_unknown_fields)]
pub struct IssuedVersion {
    /// The version's number: one more than that of the version before it.
    pub version: u64,
    /// The digest of the version before it, as 16 hexadecimal digits; empty for the first version.
    #[serde(default)]
    pub after: String,
    /// Who issued it.
    pub issuer: String,
    /// The Unix millisecond at which it was issued.
    pub issued_ms: u64,
    /// The activation time in Unix milliseconds.
    pub from_ms: u64,
    /// The rules.
    pub rules: Map<String, Value>,
    /// The strictest rules that this version and any later one may set; a rule that it does not name has the value that
    /// this version sets. If absent, the floor of the version before it stays.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub floor: Option<Map<String, Value>>,
}

impl IssuedVersion {
    /// Reads a version from JSON text; an error names the field.
    pub fn parse(text: &str) -> Result<IssuedVersion, String> {
        let read = &mut serde_json::Deserializer::from_str(text);
        serde_path_to_error::deserialize(read).map_err(|fault| fault.to_string())
    }

    /// Reads a version from a JSON value; an error names the field.
    pub fn from_value(value: &Value) -> Result<IssuedVersion, String> {
        serde_path_to_error::deserialize(value).map_err(|fault| fault.to_string())
    }

    /// A hash of the version's content.
    pub fn digest(&self) -> u64 {
        // `json!` sorts the names, so that the digest does not depend on the order in which they were written.
        stable_hash(serde_json::to_string(&serde_json::json!(self)).unwrap_or_default().as_bytes())
    }
}

/// What versions are validated against.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ValidationContext {
    /// The rules of the platform's settings.
    pub platform_rules: RuleSet,
    /// The names of the content types.
    pub content_types: Vec<String>,
    /// The stated bounds on clocks and delays.
    pub timing: TimingBounds,
    /// The deliberate fault that is switched on, if any.
    pub faults: Faults,
}

/// A version with all of its rules.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Version {
    /// The version's number; 0 is the platform's settings.
    pub number: u64,
    /// The digest of its content.
    pub digest: u64,
    /// The activation time in Unix milliseconds.
    pub from_ms: u64,
    /// Who issued it.
    pub issuer: String,
    /// The rules.
    pub rules: RuleSet,
    /// The strictest rules that this version and any later one may set.
    pub floor: RuleSet,
}

/// Why a version is refused. The versions accepted before stay in force.
#[derive(Debug, Clone, PartialEq)]
pub enum Refusal {
    /// It was received before with the same content.
    Duplicate,
    /// A later version was received before.
    Older {
        /// The number received.
        is: u64,
        /// The number of the last version held.
        holds: u64,
    },
    /// Another content was received before under this number.
    ConflictingContent {
        /// The number of the version.
        version: u64,
        /// The digest of the content held.
        held: u64,
        /// The digest of the content received.
        received: u64,
    },
    /// It follows another content than the one held here: there are two issuers or two change logs, and the versions of
    /// one of them were not received.
    Forked {
        /// The number of the version.
        version: u64,
        /// The digest of the version that it follows.
        after: String,
        /// The digest of the last version held.
        holds: String,
    },
    /// Its activation time is so close to its issue that a dispatcher in touch may not have received it by then.
    NoticeTooShort {
        /// The time from issue to activation, in milliseconds.
        notice_ms: u64,
        /// The shortest allowed time from issue to activation, in milliseconds.
        min_notice_ms: u64,
    },
    /// Its activation time is no later than that of the version before it.
    ActivationNotLater {
        /// Its activation time in Unix milliseconds.
        from_ms: u64,
        /// The activation time of the version before it in Unix milliseconds.
        previous_from_ms: u64,
    },
    /// A field can't be read. Holds the path, the value and what was expected.
    Unreadable(String),
    /// A field is looser than the platform's settings. Holds the field's path.
    TooLoose(String),
    /// A field is stricter than the floor of this version or of the one before it. Holds the field's path.
    BelowFloor(String),
    /// A field's floor is stricter than in the version before it. Holds the field's path.
    FloorLowered(String),
}

impl fmt::Display for Refusal {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Refusal::Duplicate => write!(to, "known"),
            Refusal::Older { is, holds } => write!(to, "version {is} is older than {holds}"),
            Refusal::ConflictingContent { version, held, received } => {
                write!(
                    to,
                    "version {version} has two contents: digest {held:016x} is held, {received:016x} was received"
                )
            }
            Refusal::Forked { version, after, holds } => {
                write!(to, "version {version} follows '{after}', held is '{holds}'")
            }
            Refusal::NoticeTooShort { notice_ms, min_notice_ms } => {
                write!(to, "from_ms: {notice_ms} ms after issued_ms; expected {min_notice_ms} at least")
            }
            Refusal::ActivationNotLater { from_ms, previous_from_ms } => {
                write!(
                    to,
                    "from_ms: {from_ms}; expected more than {previous_from_ms}, of the version before it"
                )
            }
            Refusal::Unreadable(why) => write!(to, "{why}"),
            Refusal::TooLoose(field) => write!(to, "{field}: looser than the platform's settings"),
            Refusal::BelowFloor(field) => write!(to, "{field}: stricter than the floor allows"),
            Refusal::FloorLowered(field) => write!(to, "{field}: a stricter floor than before"),
        }
    }
}

/// The text of a version's digest, as in the field `after` of the next version: empty for version 0.
pub fn format_digest(number: u64, digest: u64) -> String {
    if number == 0 { String::new() } else { format!("{digest:016x}") }
}

impl Version {
    /// Version 0: the platform's settings, with the strictest rules that any version may set.
    pub fn platform_default(rules: RuleSet, floor: RuleSet) -> Version {
        Version { number: 0, digest: 0, from_ms: 0, issuer: String::new(), rules, floor }
    }

    /// Reads an issued version that follows `last`.
    pub fn from_issued(
        issue: &IssuedVersion,
        last: &Version,
        ground: &ValidationContext,
    ) -> Result<Version, Refusal> {
        let types = &ground.content_types;
        let rules = RuleSet::parse(&ground.platform_rules, types, "rules", &issue.rules)
            .map_err(Refusal::Unreadable)?;
        let floor = match &issue.floor {
            Some(floor) => RuleSet::parse(&rules, types, "floor", floor).map_err(Refusal::Unreadable)?,
            None => last.floor.clone(),
        };
        Ok(Version {
            number: issue.version,
            digest: issue.digest(),
            from_ms: issue.from_ms,
            issuer: issue.issuer.clone(),
            rules,
            floor,
        })
    }

    /// Checks whether this version may follow `last`. The result depends on the content of both versions only, not on
    /// when they were received, so that all dispatchers come to the same result.
    pub fn check_successor(
        &self,
        issue: &IssuedVersion,
        last: &Version,
        ground: &ValidationContext,
    ) -> Result<(), Refusal> {
        let ValidationContext { platform_rules, content_types, timing, faults } = ground;
        let min_notice_ms = timing.min_notice().0.div_ceil(1_000_000);
        let notice_ms = issue.from_ms.saturating_sub(issue.issued_ms);
        if notice_ms < min_notice_ms && !faults.is(Fault::SkipNotice) {
            return Err(Refusal::NoticeTooShort { notice_ms, min_notice_ms });
        }
        if self.from_ms <= last.from_ms {
            return Err(Refusal::ActivationNotLater {
                from_ms: self.from_ms,
                previous_from_ms: last.from_ms,
            });
        }
        let holds = format_digest(last.number, last.digest);
        if self.number == last.number + 1 && issue.after != holds && !faults.is(Fault::TakeSecond) {
            return Err(Refusal::Forked { version: self.number, after: issue.after.clone(), holds });
        }
        if faults.is(Fault::SkipBand) {
            return Ok(());
        }
        if let Some(field) = self.rules.first_looser_field(platform_rules) {
            return Err(Refusal::TooLoose(field.path(content_types)));
        }
        // A dispatcher that lost touch before this version applies the floor of the version before it.
        if let Some(field) =
            last.floor.first_looser_field(&self.rules).or(self.floor.first_looser_field(&self.rules))
        {
            return Err(Refusal::BelowFloor(field.path(content_types)));
        }
        last.floor
            .first_looser_field(&self.floor)
            .map_or(Ok(()), |field| Err(Refusal::FloorLowered(field.path(content_types))))
    }
}
