//! Applies a configuration that was read again.

use super::*;

impl Reducer {
    /// Applies what may change while requests are open: the addresses of the change log, the limits of this
    /// machine and of node connections, and the rules. Without an agreement on versions, changed rules apply
    /// at once; with one, only the versions that the file brings.
    ///
    /// All other changes need a restart; each is logged. The file's known events are not applied: the change
    /// log delivers everything after the last applied event.
    pub(super) fn reload(&mut self, now: Nanos, new: &Config) {
        let old = &mut self.config;
        let rules = RuleSet::from_settings(&new.settings, &self.max_timeouts);
        let only_rules = rules.apply(&old.settings, &self.max_timeouts).0 == new.settings;
        let (has_versions, settings_differ) = (self.agreement.is_some(), new.settings != old.settings);
        let context = |config: &AgreementConfig| (config.context.clone(), config.floor.clone());
        let unchangeable = [
            ("name", new.name != old.name),
            ("listen", new.listen != old.listen),
            ("seed or settings other than rules", !only_rules),
            ("rules outside of versions", only_rules && has_versions && settings_differ),
            (
                "the agreement on rules",
                old.agreement.as_ref().map(context) != new.agreement.as_ref().map(context),
            ),
            ("the saved node list", new.snapshot != old.snapshot),
            (
                "the limits of the local cache",
                (new.copy_memory_bytes, &new.disk_tier) != (old.copy_memory_bytes, &old.disk_tier),
            ),
            ("names in the settings", new.names != old.names || new.request_limits != old.request_limits),
        ];
        for (what, _) in unchangeable.iter().filter(|(_, differs)| *differs) {
            log::warn!("configuration: {what} can't change before a restart");
        }
        if only_rules && settings_differ && !has_versions {
            log::warn!("rules: changed without a version; other dispatchers may still act on the old ones");
            self.routing.settings_changed(&new.settings);
            (self.settings, old.settings) = (new.settings.clone(), new.settings.clone());
        }
        if let (Some(agreement), Some(config)) = (&mut self.agreement, &new.agreement) {
            config
                .issued_versions
                .iter()
                .for_each(|version| self.external_time.observe_time(now, version.issued_ms));
            agreement.receive_versions(now, self.external_time.earliest_ms(now), &config.issued_versions);
        }
        (old.limits, old.connection_limits, old.changelog) =
            (new.limits, new.connection_limits, new.changelog);
        old.replicas.clone_from(&new.replicas);
        self.request_table.set_limits(new.connection_limits, new.limits);
        old.reconnect = new.reconnect;
        self.change_log.settings_changed(new.reconnect);
        self.change_log.follow(&old.change_log_addresses(), now, &mut self.request_table.effects);
        log::info!("configuration: read again");
    }
}
