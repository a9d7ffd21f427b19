//! What this dispatcher holds of the agreement on rules, and what its decisions are told of it.

use crate::config::{AgreementConfig, Config};
use crate::logs::LogRateLimiter;
use copperroute_config_rollout::agreement::{Agreement, OutOfTouchReason};
use copperroute_config_rollout::list_versions::ListVersions;
use copperroute_config_rollout::version::{IssuedVersion, Refusal};
use copperroute_protocol::changes::Change;
use copperroute_routing::interface::{Nanos, Settings};

/// The agreement, with what the platform's settings say.
#[derive(Debug)]
pub struct Agreed {
    core: Agreement,
    lists: ListVersions,
    settings: Settings,
    expiries: Vec<Nanos>,
    /// What was last said of it: version in force, the last heard, and why it is out of touch.
    said: Option<(u64, u64, Option<OutOfTouchReason>)>,
    refused: LogRateLimiter,
}

impl Agreed {
    /// Nothing heard yet.
    pub fn new(agreeing: &AgreementConfig, config: &Config) -> Self {
        Agreed {
            core: Agreement::new(agreeing.context.clone(), &agreeing.floor),
            lists: ListVersions::default(),
            settings: config.settings.clone(),
            expiries: config.request_limits.iter().map(|offer| offer.max_timeout).collect(),
            said: None,
            refused: LogRateLimiter::default(),
        }
    }

    /// Versions that a file brings.
    pub fn issued(&mut self, now: Nanos, unix_ms: u64, issues: &[IssuedVersion]) {
        issues.iter().for_each(|issue| self.heard(now, unix_ms, issue));
    }

    fn heard(&mut self, now: Nanos, unix_ms: u64, issue: &IssuedVersion) {
        match self.core.version_received(now, unix_ms, issue) {
            Ok(()) | Err(Refusal::Duplicate) => {}
            Err(why) => {
                let issuer = issue.issuer.escape_default();
                self.refused.warn(now, format_args!("rules: not taken, of '{issuer}': {why}"));
            }
        }
    }

    /// An event of the change log. Where `lost`, events before it were not told.
    pub fn event(&mut self, now: Nanos, unix_ms: u64, change: &Change, lost: bool) {
        if let Some(told) = &change.rules {
            match IssuedVersion::from_value(told) {
                Ok(issue) => self.heard(now, unix_ms, &issue),
                Err(why) => self.refused.warn(now, format_args!("rules: event {}: {why}", change.seq)),
            }
        }
        if let Some(purge) = &change.invalidate {
            self.core.event_time_received(now, unix_ms, purge.time);
        }
        if lost {
            self.core.events_missed(change.agreed);
        }
    }

    /// Whether the list that an event brings is to be taken: no older one, and no other one under the same version.
    pub fn takes_list(&mut self, now: Nanos, change: &Change) -> bool {
        let Some(fleet) = &change.fleet else { return false };
        let Some(version) = fleet.version else { return true };
        let content = serde_json::to_string(&fleet.servers).unwrap_or_default();
        self.lists.list_received(version, content.as_bytes()).unwrap_or_else(|why| {
            self.refused.warn(now, format_args!("list: event {}: {why}; passed over", change.seq));
            false
        })
    }

    /// The list service has begun anew: its versions are told again.
    pub fn begun_anew(&mut self) {
        self.lists = ListVersions::default();
        self.core.events_missed(None);
    }

    /// The number of the version in force; 0 is what the platform's settings say.
    pub fn in_force(&self) -> u64 {
        self.core.in_force().number
    }

    /// The list service is asked.
    pub fn asked(&mut self, now: Nanos) {
        self.core.request_sent(now);
    }

    /// It has told a second's line.
    pub fn line(&mut self, now: Nanos, caught_up: bool) {
        self.core.heartbeat_received(now, caught_up);
    }

    /// The settings and expiries to act on, if they are others than before. To be asked before each decision.
    pub fn look(&mut self, now: Nanos, unix_ms: u64) -> Option<(Settings, Vec<Nanos>)> {
        if !self.core.update(now, unix_ms) {
            return None;
        }
        self.say(now, unix_ms);
        Some(self.core.effective_rules().apply(&self.settings, &self.expiries))
    }

    /// One line for each change of what is in force, and of whether it is in touch.
    fn say(&mut self, now: Nanos, unix_ms: u64) {
        let (held, (pending, last)) = (self.core.in_force(), self.core.pending_versions());
        let out = self.core.out_of_touch();
        if self.said.replace((held.number, last, out)) == Some((held.number, last, out)) {
            return;
        }
        log::info!(
            version = held.number,
            digest:% = format_args!("{:016x}", held.digest),
            issuer:% = held.issuer.escape_default(),
            age_s = unix_ms.saturating_sub(held.from_ms) / 1_000 * u64::from(held.number > 0),
            pending,
            last,
            lease_ms = self.core.lease_remaining(now).0 / 1_000_000;
            "rules: {}",
            out.map_or("in touch".to_string(), |why| format!("out of touch, {why}"))
        );
    }
}
