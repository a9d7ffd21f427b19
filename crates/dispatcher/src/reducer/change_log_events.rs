//! Applies what the change log delivers: node lists, purges and versions of the rules.

use super::*;

impl Reducer {
    /// The number of the version of the rules in force; `None` without an agreement on rules.
    pub fn rules_version(&self) -> Option<u64> {
        self.agreement.as_ref().map(RulesAgreement::version_in_force)
    }

    pub(super) fn change_log_connected(&mut self, now: Nanos, connection: u32) {
        self.agreement.iter_mut().for_each(|agreement| agreement.request_sent(now));
        self.heartbeats.request_sent(now);
        self.change_log.connected(connection, now, &mut self.request_table.effects);
    }

    pub(super) fn change_log_received(&mut self, now: Nanos, connection: u32, bytes: &[u8]) {
        self.change_log.received(connection, now, bytes);
        self.process_change_log(now);
        if self.change_log.is_caught_up() {
            self.local_cache.iter_mut().for_each(LocalCache::log_caught_up);
            self.snapshot.iter_mut().for_each(NodeListSnapshot::confirm_current);
        }
    }

    /// Applies every update that the change log can deliver by now, including held-back events that may wait
    /// no longer.
    pub(super) fn process_change_log(&mut self, now: Nanos) {
        while let Some(update) = self.change_log.next_update(now, &mut self.request_table.effects) {
            if self.change_log.take_leader_changed() {
                self.agreement.iter_mut().for_each(|agreement| agreement.request_sent(now));
                self.heartbeats.request_sent(now);
            }
            match update {
                ChangeLogUpdate::Change { change, after_gap } => {
                    if after_gap {
                        self.purges_missed(now, change.seq);
                    }
                    self.apply(now, &change, after_gap);
                }
                ChangeLogUpdate::Restriction { change } => self.apply_stricter_part(now, &change),
                ChangeLogUpdate::Heartbeat { caught_up } => {
                    self.heartbeats.received(now, DEFAULT_PROPAGATION_BOUND);
                    self.agreement
                        .iter_mut()
                        .for_each(|agreement| agreement.heartbeat_received(now, caught_up));
                }
            }
            self.refresh_rules(now);
        }
        if self.change_log.take_log_restarted() {
            self.agreement.iter_mut().for_each(RulesAgreement::log_restarted);
        }
    }

    /// Applies the stricter part of a second content of an event that was already applied: its purges and
    /// drains, whatever the version of the node list, and its rules as the agreement decides.
    fn apply_stricter_part(&mut self, now: Nanos, change: &Change) {
        let unix_ms = self.external_time.earliest_ms(now);
        if let Some(agreement) = &mut self.agreement {
            // The time of the purge is not used to check clocks: the event may have been delayed for long.
            agreement.receive_event(now, unix_ms, &Change { invalidate: None, ..change.clone() }, false);
        }
        self.snapshot.iter_mut().for_each(|snapshot| snapshot.apply(now, change, unix_ms));
        if let Some(fleet) = &change.fleet {
            self.apply_node_list(now, fleet);
        }
        if let Some(purge) = &change.invalidate {
            self.purge(now, change.seq, purge);
        }
    }

    /// Applies an event: to the agreement on rules, the snapshot, the node list and as a purge.
    pub(super) fn apply(&mut self, now: Nanos, change: &Change, after_gap: bool) {
        self.external_time.observe_event(now, change);
        let unix_ms = self.external_time.earliest_ms(now);
        let accepts_list = match &mut self.agreement {
            Some(agreement) => {
                agreement.receive_event(now, unix_ms, change, after_gap);
                agreement.accepts_list(now, change)
            }
            None => true,
        };
        if accepts_list || change.fleet.is_none() {
            self.snapshot.iter_mut().for_each(|snapshot| snapshot.apply(now, change, unix_ms));
        }
        if let Some(fleet) = change.fleet.as_ref().filter(|_| accepts_list) {
            self.apply_node_list(now, fleet);
        }
        if let Some(purge) = &change.invalidate {
            self.purge(now, change.seq, purge);
        }
    }

    fn purge(&mut self, now: Nanos, seq: u64, purge: &Purge) {
        let Purge { object, bucket, time } = purge;
        let age = self.purge_age(now, *time);
        match (object, bucket) {
            (Some(object), _) => {
                self.routing.object_purged(now, stable_hash(object.as_bytes()), age, &mut self.request_table)
            }
            (None, Some(group)) => self.routing.group_purged(now, *group, age, &mut self.request_table),
            (None, None) => {
                return log::warn!("change log: event {seq}: its purge names neither object nor group");
            }
        }
        if let Some(cache) = &mut self.local_cache {
            cache.purge(object.as_deref(), *bucket, *time, now);
            if cache.has_disk() && seq > self.last_marked_event {
                self.request_table.effects.extend(purge_mark(object.as_deref(), *bucket, *time, seq));
            }
        }
        self.request_table.purged(object.as_deref(), *bucket);
        self.report_attempt_ends(now);
    }

    /// A snapshot stands for events that are no longer delivered one by one, and does not contain their
    /// purges. So all copies older than the last time at which the change log was caught up count as purged
    /// (rule 5).
    pub(super) fn purges_missed(&mut self, now: Nanos, seq: u64) {
        let age = now.since(self.change_log.last_caught_up()).after(MAX_LINE_DELAY);
        log::warn!(
            "change log: snapshot at event {seq}: copies older than {:.1} s count as purged",
            age.secs()
        );
        self.routing.purges_lost(now, age);
        self.local_cache.iter_mut().for_each(LocalCache::purges_missed);
        // A copy that the disk is reading now may be older than a missed purge.
        self.continue_all_without_disk(now);
        self.request_table.purges_missed();
        self.report_attempt_ends(now);
    }

    pub(super) fn apply_node_list(&mut self, now: Nanos, fleet: &Fleet) {
        let is_live = !fleet.full && self.is_live(now);
        let entries: Vec<_> =
            fleet.servers.iter().map(|listed| self.node_entry(now, listed, is_live)).collect();
        let listed: Vec<_> = entries.iter().map(|entry| entry.node).collect();
        let mut withdrawn: Vec<_> = entries
            .iter()
            .filter(|entry| entry.readiness != Readiness::Ready)
            .map(|entry| (entry.node, entry.readiness))
            .collect();
        if fleet.full {
            withdrawn.extend(
                self.request_table
                    .nodes_missing_from(&listed)
                    .into_iter()
                    .map(|node| (node, Readiness::Gone)),
            );
            self.routing.node_list_replaced(now, &entries, &mut self.request_table);
        } else {
            self.routing.nodes_changed(now, &entries, &mut self.request_table);
        }
        // The routing policy is told first, so that it routes the retracted attempts elsewhere.
        for (node, readiness) in withdrawn {
            self.request_table.withdraw(node, readiness);
        }
        self.report_attempt_ends(now);
        self.lifecycle.move_to(Phase::Serving);
    }

    pub(super) fn node_entry(&mut self, now: Nanos, listed: &ListedNode, is_live: bool) -> NodeEntry {
        let index_of = |names: &[String], name: &str| name_index(names, name).unwrap_or(UNKNOWN_ID);
        let readiness = listed.state.into();
        let start = self.node_start(now, listed, is_live);
        let pool = NodePool {
            address: listed.addr,
            start,
            readiness,
            connections: Vec::new(),
            listed_at: self.request_table.now,
            back_off: NodeBackOff::default(),
        };
        NodeEntry {
            node: self.request_table.add_or_update_node(&listed.id, pool),
            hash: stable_hash(listed.id.as_bytes()),
            zone: ZoneId(index_of(&self.config.names.zones, &listed.zone)),
            kind: index_of(&self.config.names.kinds, &listed.kind),
            cell: listed.cell.unwrap_or(UNKNOWN_ID),
            readiness,
            weight: listed.weight.unwrap_or(1.0),
            started: start.map_or(Nanos::ZERO, |start| start.at),
        }
    }
}

/// The effect that marks a purge on disk; `None` if the name can't be that of a cached copy.
fn purge_mark(object: Option<&str>, group: Option<u64>, at_ms: u64, seq: u64) -> Option<Effect> {
    match object {
        Some(object) => Hex::parse(object).map(|object| Effect::MarkObjectPurged(object.bytes(), at_ms, seq)),
        None => group
            .and_then(|group| u8::try_from(group).ok())
            .map(|group| Effect::MarkGroupPurged(group, at_ms, seq)),
    }
}
