//! The configuration, read again.

use super::*;

impl Reducer {
    /// Takes what can change while requests are open: where the change log is, and what the machine and the
    /// nodes' connections bear, and rules: at once where there are no versions of them, else those versions that the
    /// file brings. What else the decisions were built on stays until a restart, which is said. Events that the file
    /// knows are not applied: the change log tells all from the last that was.
    pub(super) fn reload(&mut self, now: Nanos, new: &Config) {
        let old = &mut self.config;
        let rules = RuleSet::from_settings(&new.settings, &self.expiries);
        let only_rules = rules.apply(&old.settings, &self.expiries).0 == new.settings;
        let (versions, differ) = (self.agreed.is_some(), new.settings != old.settings);
        let ground = |agreeing: &AgreementConfig| (agreeing.context.clone(), agreeing.floor.clone());
        let kept = [
            ("name", new.name != old.name),
            ("listen", new.listen != old.listen),
            ("seed or settings other than rules", !only_rules),
            ("rules outside of versions", only_rules && versions && differ),
            (
                "how rules are agreed on",
                old.agreement.as_ref().map(ground) != new.agreement.as_ref().map(ground),
            ),
            ("where the last list is kept", new.snapshot != old.snapshot),
            (
                "what own copies may take",
                (new.copy_memory_bytes, &new.disk_tier) != (old.copy_memory_bytes, &old.disk_tier),
            ),
            ("names in the settings", new.names != old.names || new.request_limits != old.request_limits),
        ];
        for (what, _) in kept.iter().filter(|(_, differs)| *differs) {
            log::warn!("configuration: {what} can't change before a restart");
        }
        if only_rules && differ && !versions {
            log::warn!("rules: others than before, without a version: others may act on the old ones");
            self.module.settings_changed(&new.settings);
            (self.settings, old.settings) = (new.settings.clone(), new.settings.clone());
        }
        if let (Some(agreed), Some(agreeing)) = (&mut self.agreed, &new.agreement) {
            agreeing
                .issued_versions
                .iter()
                .for_each(|issue| self.external_time.observe_time(now, issue.issued_ms));
            agreed.issued(now, self.external_time.earliest_ms(now), &agreeing.issued_versions);
        }
        (old.limits, old.connection_limits, old.changelog) =
            (new.limits, new.connection_limits, new.changelog);
        old.replicas.clone_from(&new.replicas);
        self.request_table.limit(new.connection_limits, new.limits);
        old.reconnect = new.reconnect;
        self.log.told(new.reconnect);
        self.log.follow(&old.change_log_addresses(), now, &mut self.request_table.effects);
        log::info!("configuration: read again");
    }
}
