//! Adapter between the dispatcher and the agreement on versions of the rules (`copperroute_config_rollout`).
//! Input: versions from the operator's file, events and heartbeats of the change log. Output: the settings
//! and request timeouts that the rules in force give. The reducer calls it.

use crate::config::{AgreementConfig, Config};
use crate::logs::LogRateLimiter;
use copperroute_config_rollout::agreement::{Agreement, OutOfTouchReason};
use copperroute_config_rollout::list_versions::ListVersions;
use copperroute_config_rollout::version::{IssuedVersion, Refusal};
use copperroute_protocol::changes::Change;
use copperroute_routing::interface::{Nanos, Settings};

/// The agreement on versions of the rules, with the platform's settings to which they are applied.
#[derive(Debug)]
pub struct RulesAgreement {
    agreement: Agreement,
    list_versions: ListVersions,
    settings: Settings,
    max_timeouts: Vec<Nanos>,
    /// What was last logged: the version in force, the last version received, and why the dispatcher is out
    /// of touch.
    last_logged: Option<(u64, u64, Option<OutOfTouchReason>)>,
    refusal_log: LogRateLimiter,
}

impl RulesAgreement {
    /// An agreement that has received no version yet.
    pub fn new(agreement_config: &AgreementConfig, config: &Config) -> Self {
        RulesAgreement {
            agreement: Agreement::new(agreement_config.context.clone(), &agreement_config.floor),
            list_versions: ListVersions::default(),
            settings: config.settings.clone(),
            max_timeouts: config.request_limits.iter().map(|offer| offer.max_timeout).collect(),
            last_logged: None,
            refusal_log: LogRateLimiter::default(),
        }
    }

    /// Receives the versions of a configuration file.
    pub fn receive_versions(&mut self, now: Nanos, unix_ms: u64, issues: &[IssuedVersion]) {
        issues.iter().for_each(|issue| self.receive_version(now, unix_ms, issue));
    }

    fn receive_version(&mut self, now: Nanos, unix_ms: u64, issue: &IssuedVersion) {
        match self.agreement.version_received(now, unix_ms, issue) {
            Ok(()) | Err(Refusal::Duplicate) => {}
            Err(why) => {
                let issuer = issue.issuer.escape_default();
                self.refusal_log.warn(now, format_args!("rules: not taken, of '{issuer}': {why}"));
            }
        }
    }

    /// Receives an event of the change log. `after_gap` is true if events before it were not delivered.
    pub fn receive_event(&mut self, now: Nanos, unix_ms: u64, change: &Change, after_gap: bool) {
        if let Some(rules) = &change.rules {
            match IssuedVersion::from_value(rules) {
                Ok(issue) => self.receive_version(now, unix_ms, &issue),
                Err(why) => self.refusal_log.warn(now, format_args!("rules: event {}: {why}", change.seq)),
            }
        }
        if let Some(purge) = &change.invalidate {
            self.agreement.event_time_received(now, unix_ms, purge.time);
        }
        if after_gap {
            self.agreement.events_missed(change.agreed);
        }
    }

    /// Whether the node list of an event is to be applied: not if it is older than the last one, nor if its
    /// content differs from that already received under the same version.
    pub fn accepts_list(&mut self, now: Nanos, change: &Change) -> bool {
        let Some(fleet) = &change.fleet else { return false };
        let Some(version) = fleet.version else { return true };
        let content = serde_json::to_string(&fleet.servers).unwrap_or_default();
        self.list_versions.list_received(version, content.as_bytes()).unwrap_or_else(|why| {
            self.refusal_log.warn(now, format_args!("list: event {}: {why}; ignored", change.seq));
            false
        })
    }

    /// The change log has restarted with lower numbers and delivers its versions again.
    pub fn log_restarted(&mut self) {
        self.list_versions = ListVersions::default();
        self.agreement.events_missed(None);
    }

    /// The number of the version in force; 0 stands for the platform's settings.
    pub fn version_in_force(&self) -> u64 {
        self.agreement.in_force().number
    }

    /// A request for the stream of events was sent to the change log.
    pub fn request_sent(&mut self, now: Nanos) {
        self.agreement.request_sent(now);
    }

    /// A heartbeat of the change log was received.
    pub fn heartbeat_received(&mut self, now: Nanos, caught_up: bool) {
        self.agreement.heartbeat_received(now, caught_up);
    }

    /// The settings and request timeouts to act on, if they have changed since the last call. The reducer
    /// calls this before each decision.
    pub fn settings_if_changed(&mut self, now: Nanos, unix_ms: u64) -> Option<(Settings, Vec<Nanos>)> {
        if !self.agreement.update(now, unix_ms) {
            return None;
        }
        self.log_if_changed(now, unix_ms);
        Some(self.agreement.effective_rules().apply(&self.settings, &self.max_timeouts))
    }

    /// Logs one line whenever the version in force, or whether the dispatcher is in touch, has changed.
    fn log_if_changed(&mut self, now: Nanos, unix_ms: u64) {
        let (version, (pending, last)) = (self.agreement.in_force(), self.agreement.pending_versions());
        let out_of_touch = self.agreement.out_of_touch();
        if self.last_logged.replace((version.number, last, out_of_touch))
            == Some((version.number, last, out_of_touch))
        {
            return;
        }
        log::info!(
            version = version.number,
            digest:% = format_args!("{:016x}", version.digest),
            issuer:% = version.issuer.escape_default(),
            age_s = unix_ms.saturating_sub(version.from_ms) / 1_000 * u64::from(version.number > 0),
            pending,
            last,
            lease_ms = self.agreement.lease_remaining(now).0 / 1_000_000;
            "rules: {}",
            out_of_touch.map_or("in touch".to_string(), |why| format!("out of touch, {why}"))
        );
    }
}
