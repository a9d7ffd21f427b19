//! A version of the rules as an issuer writes it, and whether it may follow another.

use crate::faults::{Fault, Faults};
use crate::rules::RuleSet;
use crate::timing::TimingBounds;
use copperroute_routing::interface::stable_hash;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use std::fmt;

/// A version, as it stands in a file or in an event of the change log. What it does not name is as the platform says.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(expecting = "struct Issue", deny_unknown_fields)]
pub struct IssuedVersion {
    /// Its number: one more than that of the version before it.
    pub version: u64,
    /// The digest of that version; empty for the first.
    #[serde(default)]
    pub after: String,
    /// Who issued it.
    pub issuer: String,
    /// The Unix millisecond at which it was issued.
    pub issued_ms: u64,
    /// The Unix millisecond from which it acts.
    pub from_ms: u64,
    /// What it says.
    pub rules: Map<String, Value>,
    /// The strictest that it, and any later version, may say; what it does not name stays as this version says.
    /// Absent: as that of the version before it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub floor: Option<Map<String, Value>>,
}

impl IssuedVersion {
    /// Reads one; an error names the field.
    pub fn parse(text: &str) -> Result<IssuedVersion, String> {
        let read = &mut serde_json::Deserializer::from_str(text);
        serde_path_to_error::deserialize(read).map_err(|fault| fault.to_string())
    }

    /// The same from a value that was read.
    pub fn from_value(value: &Value) -> Result<IssuedVersion, String> {
        serde_path_to_error::deserialize(value).map_err(|fault| fault.to_string())
    }

    /// Tells its content from any other.
    pub fn digest(&self) -> u64 {
        // The names in it are in order, however they were written.
        stable_hash(serde_json::to_string(&serde_json::json!(self)).unwrap_or_default().as_bytes())
    }
}

/// What all versions are judged by.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ValidationContext {
    /// What the platform's settings say.
    pub platform_rules: RuleSet,
    /// The names of the content types.
    pub content_types: Vec<String>,
    /// What is stated of clocks and ways.
    pub timing: TimingBounds,
    /// What is done wrongly on purpose.
    pub faults: Faults,
}

/// A version as it was understood.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Version {
    /// Its number; 0 is what the platform's settings say.
    pub number: u64,
    /// Of its content.
    pub digest: u64,
    /// The Unix millisecond from which it acts.
    pub from_ms: u64,
    /// Who issued it.
    pub issuer: String,
    /// What it says.
    pub rules: RuleSet,
    /// The strictest that it, and any later one, may say.
    pub floor: RuleSet,
}

/// Why a version is not taken. The last good one stands.
#[derive(Debug, Clone, PartialEq)]
pub enum Refusal {
    /// It was heard before, and says the same.
    Duplicate,
    /// A later one was heard.
    Older {
        /// The number that came.
        is: u64,
        /// What is held.
        holds: u64,
    },
    /// Another content was heard under this number.
    TwoContents {
        /// The number of the version.
        version: u64,
        /// What is held.
        holds: u64,
        /// The number that came.
        is: u64,
    },
    /// It follows another content than the one that is held: of two issuers, or services, one was not heard here.
    Forked {
        /// The number of the version.
        version: u64,
        /// The content that it follows.
        after: String,
        /// What is held.
        holds: String,
    },
    /// It acts from a moment that not everybody can have heard of by then.
    NoticeTooShort {
        /// How far ahead it comes, in milliseconds.
        notice_ms: u64,
        /// How far ahead it has to come, in milliseconds.
        min_notice_ms: u64,
    },
    /// It acts no later than the version before it.
    ActivationNotLater {
        /// When it acts, as a Unix millisecond.
        from_ms: u64,
        /// When the version before it acts, as a Unix millisecond.
        previous_from_ms: u64,
    },
    /// A field can't be read.
    Unreadable(String),
    /// A field is looser than the platform's settings.
    TooLoose(String),
    /// A field is stricter than this version, or an earlier one, allowed for.
    BelowFloor(String),
    /// It allows for stricter rules than the version before it did.
    FloorLowered(String),
}

impl fmt::Display for Refusal {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Refusal::Duplicate => write!(to, "known"),
            Refusal::Older { is, holds } => write!(to, "version {is} is older than {holds}"),
            Refusal::TwoContents { version, holds, is } => {
                write!(to, "version {version} has two contents: {holds:016x} stands, {is:016x} came")
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

/// How the digest of a version is written in the one after it.
pub fn format_digest(number: u64, digest: u64) -> String {
    if number == 0 { String::new() } else { format!("{digest:016x}") }
}

impl Version {
    /// What the platform's settings say, with the strictest that any version may say.
    pub fn platform_default(rules: RuleSet, floor: RuleSet) -> Version {
        Version { number: 0, digest: 0, from_ms: 0, issuer: String::new(), rules, floor }
    }

    /// An issue as a version that follows `last`.
    pub fn from_issued(
        issue: &IssuedVersion,
        last: &Version,
        ground: &ValidationContext,
    ) -> Result<Version, Refusal> {
        let types = &ground.content_types;
        let rules = RuleSet::parse(&ground.platform_rules, types, "rules", &issue.rules)
            .map_err(Refusal::Unreadable)?;
        let floor = match &issue.floor {
            Some(told) => RuleSet::parse(&rules, types, "floor", told).map_err(Refusal::Unreadable)?,
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

    /// Whether this may follow `last`, whatever else is known; nothing in it depends on when it is heard.
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
        // The floor of the version before is the strictest that one who lost touch then acts on.
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
