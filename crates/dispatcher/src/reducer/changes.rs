//! What the change log tells: the list of nodes, and purges.

use super::*;

impl Reducer {
    /// The number of the version of the rules in force, where there is an agreement on them.
    pub fn rules_version(&self) -> Option<u64> {
        self.agreed.as_ref().map(Agreed::in_force)
    }

    pub(super) fn change_log_connected(&mut self, now: Nanos, connection: u32) {
        self.agreed.iter_mut().for_each(|agreed| agreed.asked(now));
        self.heartbeats.request_sent(now);
        self.log.connected(connection, now, &mut self.request_table.effects);
    }

    pub(super) fn change_log_received(&mut self, now: Nanos, connection: u32, bytes: &[u8]) {
        self.log.received(connection, now, bytes);
        self.change_log_told(now);
        if self.log.is_caught_up() {
            self.copies.iter_mut().for_each(Copies::caught_up);
            self.last_list.iter_mut().for_each(NodeListSnapshot::confirm_current);
        }
    }

    /// Takes all that the change log has to tell by now; also what was held back and may wait no longer.
    pub(super) fn change_log_told(&mut self, now: Nanos) {
        while let Some(told) = self.log.next_update(now, &mut self.request_table.effects) {
            if self.log.has_new_lead() {
                self.agreed.iter_mut().for_each(|agreed| agreed.asked(now));
                self.heartbeats.request_sent(now);
            }
            match told {
                ChangeLogUpdate::Change { change, after_gap } => {
                    if after_gap {
                        self.purges_lost(now, change.seq);
                    }
                    self.apply(now, &change, after_gap);
                }
                ChangeLogUpdate::Restriction { change } => self.restrict(now, &change),
                ChangeLogUpdate::Heartbeat { caught_up } => {
                    self.heartbeats.received(now, SLACK);
                    self.agreed.iter_mut().for_each(|agreed| agreed.line(now, caught_up));
                }
            }
            self.obey(now);
        }
        if self.log.has_begun_anew() {
            self.agreed.iter_mut().for_each(Agreed::begun_anew);
        }
    }

    /// What is stricter in another content of an event that was applied: purges and drains, whatever the list's version,
    /// and rules as the agreement judges them.
    fn restrict(&mut self, now: Nanos, change: &Change) {
        let unix_ms = self.external_time.earliest_ms(now);
        if let Some(agreed) = &mut self.agreed {
            // When it was purged says nothing of the clocks: it may have waited for long.
            agreed.event(now, unix_ms, &Change { invalidate: None, ..change.clone() }, false);
        }
        self.last_list.iter_mut().for_each(|list| list.apply(now, change, unix_ms));
        if let Some(fleet) = &change.fleet {
            self.list(now, fleet);
        }
        if let Some(purge) = &change.invalidate {
            self.purge(now, change.seq, purge);
        }
    }

    pub(super) fn apply(&mut self, now: Nanos, change: &Change, lost: bool) {
        self.external_time.observe_event(now, change);
        let unix_ms = self.external_time.earliest_ms(now);
        let takes_list = match &mut self.agreed {
            Some(agreed) => {
                agreed.event(now, unix_ms, change, lost);
                agreed.takes_list(now, change)
            }
            None => true,
        };
        if takes_list || change.fleet.is_none() {
            self.last_list.iter_mut().for_each(|list| list.apply(now, change, unix_ms));
        }
        if let Some(fleet) = change.fleet.as_ref().filter(|_| takes_list) {
            self.list(now, fleet);
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
                self.module.object_purged(now, stable_hash(object.as_bytes()), age, &mut self.request_table)
            }
            (None, Some(group)) => self.module.group_purged(now, *group, age, &mut self.request_table),
            (None, None) => return log::warn!("change log: a purge of nothing"),
        }
        if let Some(copies) = &mut self.copies {
            copies.purge(object.as_deref(), *bucket, *time, now);
            if copies.has_disk() && seq > self.marked {
                self.request_table.effects.extend(marks(object.as_deref(), *bucket, *time, seq));
            }
        }
        self.request_table.purged(object.as_deref(), *bucket);
        self.hand_on_ends(now);
    }

    /// A whole list stands for events that are no longer told, and tells nothing of the purges among them: all that is
    /// older than what was last heard counts as purged (rule 5).
    pub(super) fn purges_lost(&mut self, now: Nanos, seq: u64) {
        let age = now.since(self.log.told_all()).after(LATEST_LINE);
        log::warn!(
            "change log: whole list at event {seq}: copies older than {:.1} s count as purged",
            age.secs()
        );
        self.module.purges_lost(now, age);
        self.copies.iter_mut().for_each(Copies::purges_lost);
        // What the disk reads just now may be older than a purge that was not told.
        self.go_on_without_disk(now);
        self.request_table.purges_lost();
        self.hand_on_ends(now);
    }

    pub(super) fn list(&mut self, now: Nanos, fleet: &Fleet) {
        let is_live = !fleet.full && self.is_live(now);
        let entries: Vec<_> = fleet.servers.iter().map(|listed| self.entry(now, listed, is_live)).collect();
        let named: Vec<_> = entries.iter().map(|entry| entry.node).collect();
        let mut withdrawn: Vec<_> = entries
            .iter()
            .filter(|entry| entry.readiness != Readiness::Ready)
            .map(|entry| (entry.node, entry.readiness))
            .collect();
        if fleet.full {
            withdrawn
                .extend(self.request_table.unlisted(&named).into_iter().map(|node| (node, Readiness::Gone)));
            self.module.node_list_replaced(now, &entries, &mut self.request_table);
        } else {
            self.module.nodes_changed(now, &entries, &mut self.request_table);
        }
        // The module knows first, so that what is dropped here goes elsewhere.
        for (node, readiness) in withdrawn {
            self.request_table.withdraw(node, readiness);
        }
        self.hand_on_ends(now);
        self.life.move_to(Phase::Serving);
    }

    pub(super) fn entry(&mut self, now: Nanos, listed: &ListedNode, is_live: bool) -> NodeEntry {
        let place = |names: &[String], name: &str| name_index(names, name).unwrap_or(UNKNOWN_ID);
        let readiness = listed.state.into();
        let start = self.start_of(now, listed, is_live);
        let pool = NodePool {
            address: listed.addr,
            start,
            readiness,
            connections: Vec::new(),
            listed_at: self.request_table.now,
            back_off: NodeBackOff::default(),
        };
        NodeEntry {
            node: self.request_table.list(&listed.id, pool),
            hash: stable_hash(listed.id.as_bytes()),
            zone: ZoneId(place(&self.config.names.zones, &listed.zone)),
            kind: place(&self.config.names.kinds, &listed.kind),
            cell: listed.cell.unwrap_or(UNKNOWN_ID),
            readiness,
            weight: listed.weight.unwrap_or(1.0),
            started: start.map_or(Nanos::ZERO, |start| start.at),
        }
    }
}

/// The marks of a purge for the disk.
fn marks(object: Option<&str>, group: Option<u64>, at_ms: u64, seq: u64) -> Option<Effect> {
    match object {
        Some(object) => Hex::parse(object).map(|object| Effect::MarkObjectPurged(object.bytes(), at_ms, seq)),
        None => group.and_then(|of| u8::try_from(of).ok()).map(|of| Effect::MarkGroupPurged(of, at_ms, seq)),
    }
}
