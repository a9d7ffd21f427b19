//! The reducer: every state change happens here, in answer to an event. What is to be read, written,
//! connected or timed comes out as effects, which the event loop carries out.

use crate::agreed::Agreed;
use crate::changes::{ChangeLog, Told};
use crate::clients::MOST_OPEN;
use crate::clock::Epoch;
use crate::config::{Agreeing, Config};
use crate::copies::{self, Copies, Offered, Own};
use crate::desk::Desk;
use crate::effects::{Due, Effect, Event, Peer};
use crate::last_list::LastList;
use crate::logs::Sparse;
use crate::nodes::Pool;
use crate::phases::{Life, Phase};
use copperroute::calls::Calls;
use copperroute::conduct::{Conduct, MOST_IDS, Verdict};
use copperroute::interface::{
    DlId, Download, Nanos, NodeEntry, NodeId, Outbox as _, Readiness, Repeat, Settings, TypeId, ZoneId, mix,
    stable_hash,
};
use copperroute::opening::Opening;
use copperroute::policy::Dispatcher;
use copperroute_agreement::rules::RuleSet;
use copperroute_protocol::changes::{Change, Fleet, Listed, Purge};
use copperroute_protocol::clients::{Answer, Message, Request};
use copperroute_protocol::hex::Hex;
use copperroute_settings::place;
use copperroute_store::record::{Facts, Key};
use std::collections::HashMap;

/// After the signal to end nothing new comes any more once this is over.
const LAST_REQUESTS: Nanos = Nanos(750_000_000);
/// After the signal to end all must be answered so long after the longest expiry, or after `LONGEST_DRAIN` where
/// that is shorter: what came last has come 0.6 s after it, and 0.7 s after it nothing is waited for.
const DRAINED_AFTER: Nanos = Nanos(500_000_000);
const LONGEST_DRAIN: Nanos = Nanos(3_000_000_000);
/// A line may have taken so long on its way.
const LATEST_LINE: Nanos = Nanos(1_000_000_000);
/// Idle clients that are closed at once when descriptors run short.
const IDLE_AT_ONCE: usize = 8;
const SWEEP: Nanos = Nanos(250_000_000);

/// The disk has so long to read a copy; then the download goes on without.
const DISK_PATIENCE: Nanos = Nanos(50_000_000);

/// A download for which the disk was asked.
#[derive(Debug)]
struct Reading {
    serial: u64,
    download: Download,
    key: Key,
}

/// The dispatcher's whole state.
pub struct Reducer {
    life: Life,
    module: Dispatcher,
    desk: Desk,
    log: ChangeLog,
    epoch: Epoch,
    /// Nothing new can come any more.
    last_requests: bool,
    /// All that was owed has been answered, whoever takes it or not.
    drained: bool,
    /// Own copies, where any are kept.
    copies: Option<Copies>,
    /// Downloads for which the disk was asked; the module is not told of them yet.
    reading: HashMap<u32, Reading>,
    /// The last event of the change log whose purge the disk has marked.
    marked: u64,
    /// What is kept of the change log over a restart, where it is.
    last_list: Option<LastList>,
    /// What is held of the agreement on rules, where there is one.
    agreed: Option<Agreed>,
    /// The settings under the rules in force.
    settings: Settings,
    /// The longest that a client waits for each content type, under the rules in force.
    expiries: Vec<Nanos>,
    /// Lines that clients cause.
    complaints: Sparse,
    /// What clients have shown of themselves.
    conduct: Conduct,
    /// What the program was started with, and what has been taken of it since.
    config: Config,
}

impl Reducer {
    /// A dispatcher that has not started.
    pub fn new(config: Config, epoch: Epoch) -> Self {
        let calls = Calls::new(config.calls, config.settings.seed.rotate_left(32), epoch.unix_zero());
        let (bytes, s) = (config.copies_bytes, &config.settings);
        let copies = || Copies::new(bytes, config.own_link, &s.content_types, s.purge_done);
        let copies = (bytes > 0).then(copies);
        let mut desk = Desk::new(config.connections, config.limits, config.settings.seed.rotate_left(16));
        desk.keeps_copies = copies.is_some();
        let purges = s.purge_done.after(s.purge_notice);
        let last_list = config.last_list.as_ref().map(|_| LastList::new(config.print(), purges));
        let agreed = config.agreeing.as_ref().map(|agreeing| Agreed::new(agreeing, &config));
        let mut log = ChangeLog::new(config.changelog, config.known.seq, calls);
        if agreed.is_some() {
            log.look_for_anew();
        }
        Reducer {
            agreed,
            settings: config.settings.clone(),
            expiries: config.offers.iter().map(|offer| offer.expiry).collect(),
            copies,
            last_list,
            reading: HashMap::new(),
            marked: 0,
            life: Life::default(),
            module: Dispatcher::new(config.settings.clone()),
            desk,
            log,
            epoch,
            last_requests: false,
            drained: false,
            complaints: Sparse::default(),
            conduct: Conduct::new(longest_expiry(&config), MOST_IDS),
            config,
        }
    }

    /// The number of the last event of the change log that was applied.
    pub fn applied(&self) -> u64 {
        self.log.applied()
    }

    /// How many nodes there is a place for: those listed, and those that left not long ago.
    pub fn nodes_kept(&self) -> u32 {
        self.desk.nodes_kept()
    }

    /// How many objects there is a place for.
    pub fn objects_kept(&self) -> u32 {
        self.desk.objects_kept()
    }

    /// What is out at each node: as the decisions believe, and as it is.
    pub fn out(&self) -> Vec<(u32, u32)> {
        let nodes = (0..self.nodes_kept()).map(NodeId);
        nodes.map(|node| (self.module.out_at(node), self.desk.out_at(node))).collect()
    }

    /// Changes the state as the event asks, and returns what is to be done.
    pub fn reduce(&mut self, now: Nanos, event: Event<'_>) -> Vec<Effect> {
        self.desk.now = now;
        self.obey(now);
        match event {
            Event::Started => self.start(now),
            Event::Accepted(number, from) => {
                log::debug!(target: "copperroute::trace", "client {number} from {from}");
                self.desk.clients.accept(number, from, now);
                if self.desk.clients.count() > self.most_clients() {
                    self.desk.clients.close_idle(IDLE_AT_ONCE, Some(number), now, &mut self.desk.effects);
                }
                // Nodes must stay within reach, whatever clients do.
                if self.desk.clients.count() > self.most_clients() * 3 / 2 {
                    self.complaints.warn(now, format_args!("client: one too many, closed"));
                    self.client_closed(now, number);
                }
            }
            Event::Connected(Peer::Node(number)) => self.desk.node_connected(number),
            Event::Connected(Peer::ChangeLog(number)) => {
                self.agreed.iter_mut().for_each(|agreed| agreed.asked(now));
                self.log.connected(number, &mut self.desk.effects);
            }
            Event::Received(Peer::Client(number), bytes) => self.client_received(now, number, bytes),
            Event::Received(Peer::Node(number), bytes) => self.desk.node_received(number, bytes),
            Event::Received(Peer::ChangeLog(number), bytes) => {
                self.log.received(number, bytes);
                while let Some(told) = self.log.next_told(now, &mut self.desk.effects) {
                    match told {
                        Told::Change { change, lost } => {
                            if lost {
                                self.purges_lost(now, change.seq);
                            }
                            self.apply(now, &change, lost);
                        }
                        Told::Line { caught_up } => {
                            self.agreed.iter_mut().for_each(|agreed| agreed.line(now, caught_up));
                        }
                    }
                    self.obey(now);
                }
                if self.log.has_begun_anew() {
                    self.agreed.iter_mut().for_each(Agreed::begun_anew);
                }
                if self.log.is_caught_up() {
                    self.copies.iter_mut().for_each(Copies::caught_up);
                    self.last_list.iter_mut().for_each(LastList::heard);
                }
            }
            Event::Written(Peer::Client(number), total) => self.desk.client_written(number, total),
            Event::Written(Peer::Node(number), total) => self.desk.node_written(number, total),
            Event::Closed(Peer::Client(number)) => self.client_closed(now, number),
            Event::Closed(Peer::Node(number)) => self.desk.node_closed(number),
            Event::Closed(Peer::ChangeLog(number)) => self.log.closed(number, now, &mut self.desk.effects),
            Event::Due(due) => self.due(now, due),
            Event::Terminate => {
                if self.life.move_to(Phase::Draining) {
                    let drained = self.longest_expiry().min(LONGEST_DRAIN).after(DRAINED_AFTER);
                    let armed = [(LAST_REQUESTS, Due::LastRequests), (drained, Due::Drained)];
                    self.desk.effects.extend(armed.map(|(span, due)| Effect::Arm(now.after(span), due)));
                }
            }
            Event::Reload(config) => self.reload(now, config),
            Event::DiskReady(prints, marked) => {
                self.marked = marked;
                self.copies.iter_mut().for_each(|copies| copies.disk_ready(prints));
            }
            Event::CopyRead(ticket, copy) => self.copy_read(now, ticket, copy),
            Event::DiskOff => {
                self.copies.iter_mut().for_each(Copies::disk_off);
                let mut waiting: Vec<_> = self.reading.keys().copied().collect();
                waiting.sort();
                waiting.into_iter().for_each(|dl| self.go_on(now, DlId(dl)));
            }
            Event::NoDescriptors => {
                self.desk.clients.close_idle(IDLE_AT_ONCE, None, now, &mut self.desk.effects);
            }
            Event::Connected(Peer::Client(_)) | Event::Written(Peer::ChangeLog(_), _) => {}
        }
        self.hand_on_ends(now);
        let over = self.drained || (self.last_requests && self.desk.is_clear());
        if self.life.phase() == Phase::Draining && over {
            self.life.move_to(Phase::Stopped);
            self.desk.effects.push(Effect::Exit);
        }
        std::mem::take(&mut self.desk.effects)
    }

    /// Pulls that have ended reach the module one by one, with what it does of it.
    fn hand_on_ends(&mut self, now: Nanos) {
        for (node, until) in self.desk.turned_away() {
            self.module.node_turns_away(node, until);
        }
        while let Some((pull, end)) = self.desk.ended.pop_front() {
            self.module.pull_ended(now, pull.dl, pull.number, &end, &mut self.desk);
        }
        for (download, offered) in std::mem::take(&mut self.desk.offered) {
            let known = self.module.known(&download);
            if let (Some(copies), Some((rate, hops))) = (&mut self.copies, known) {
                if let Some(rank) = copies.to_disk(&offered, rate, hops) {
                    let (key, facts, body) = (offered.key, offered.facts, offered.body.clone());
                    self.desk.effects.push(Effect::KeepCopy(key, facts, rank, body));
                }
                copies.offer(offered, rate, hops);
            }
        }
    }

    /// Before each decision: the rules that are in force by now. Leases run out, and moments come, between events.
    fn obey(&mut self, now: Nanos) {
        let Some(agreed) = &mut self.agreed else { return };
        if let Some((settings, expiries)) = agreed.look(now, self.epoch.unix_ms(now)) {
            self.module.settings_changed(&settings);
            (self.settings, self.expiries) = (settings, expiries);
        }
    }

    fn start(&mut self, now: Nanos) {
        self.module.start(now, &mut self.desk);
        for change in std::mem::take(&mut self.config.known.results) {
            self.apply(now, &change, false);
        }
        if let (Some(agreed), Some(agreeing)) = (&mut self.agreed, &self.config.agreeing) {
            agreed.issued(now, self.epoch.unix_ms(now), &agreeing.issued);
        }
        self.obey(now);
        let has_list = self.life.phase() == Phase::Serving;
        self.log.start(has_list, now, &mut self.desk.effects);
        self.desk.effects.push(Effect::Arm(now.after(SWEEP), Due::Sweep));
    }

    fn due(&mut self, now: Nanos, due: Due) {
        match due {
            Due::Module(token) => self.module.timer(now, token, &mut self.desk),
            Due::Expiry(dl, serial) => self.expire(now, dl, serial),
            Due::Disk(dl, serial) => {
                if self.reading.get(&dl.0).is_some_and(|reading| reading.serial == serial) {
                    self.go_on(now, dl);
                }
            }
            Due::Connect(number) => self.desk.connect_overdue(number),
            Due::ChangeLog => self.log.connect(now, &mut self.desk.effects),
            Due::Sweep => {
                self.desk.sweep();
                // No download in hand is older than the longest expiry.
                for node in self.desk.forget_nodes(self.longest_expiry().after(SWEEP)) {
                    self.module.node_forgotten(node);
                }
                // Nobody waits that long for an answer: such a client has vanished.
                for number in self.desk.clients.stuck(now, self.client_patience()) {
                    self.complaints.warn(now, format_args!("client: takes nothing, closed"));
                    self.client_closed(now, number);
                }
                for number in self.desk.clients.overdue(now) {
                    self.client_closed(now, number);
                }
                self.log.watch(now, &mut self.desk.effects);
                let unix_ms = self.epoch.unix_ms(now);
                let list = self.last_list.as_mut().and_then(|list| list.due(now, unix_ms));
                self.desk.effects.extend(list.map(Effect::KeepList));
                self.desk.effects.push(Effect::Arm(now.after(SWEEP), Due::Sweep));
            }
            Due::LastRequests => self.last_requests = true,
            Due::Drained => {
                for (dl, serial) in self.desk.all_owed() {
                    self.expire(now, dl, serial);
                }
                self.drained = true;
            }
        }
    }

    /// The longest that any client waits.
    fn longest_expiry(&self) -> Nanos {
        longest_expiry(&self.config)
    }

    /// With more clients than this, idle ones are closed.
    fn most_clients(&self) -> usize {
        self.config.limits.sockets as usize / 2
    }

    /// A client that takes nothing for so long is gone.
    fn client_patience(&self) -> Nanos {
        let idle = self.config.connections.idle;
        if idle > Nanos::ZERO { idle } else { Nanos(u64::MAX) }
    }

    /// Takes what can change while downloads are open: where the change log is, and what the machine and the
    /// nodes' connections bear, and rules: at once where there are no versions of them, else those versions that the
    /// file brings. What else the decisions were built on stays until a restart, which is said. Events that the file
    /// knows are not applied: the change log tells all from the last that was.
    fn reload(&mut self, now: Nanos, new: &Config) {
        let old = &mut self.config;
        let rules = RuleSet::of(&new.settings, &self.expiries);
        let only_rules = rules.apply(&old.settings, &self.expiries).0 == new.settings;
        let (versions, differ) = (self.agreed.is_some(), new.settings != old.settings);
        let ground = |agreeing: &Agreeing| (agreeing.ground.clone(), agreeing.floor.clone());
        let kept = [
            ("name", new.name != old.name),
            ("listen", new.listen != old.listen),
            ("seed or settings other than rules", !only_rules),
            ("rules outside of versions", only_rules && versions && differ),
            (
                "how rules are agreed on",
                old.agreeing.as_ref().map(ground) != new.agreeing.as_ref().map(ground),
            ),
            ("where the last list is kept", new.last_list != old.last_list),
            (
                "what own copies may take",
                (new.copies_bytes, &new.disk_tier) != (old.copies_bytes, &old.disk_tier),
            ),
            ("names in the settings", new.names != old.names || new.offers != old.offers),
        ];
        for (what, _) in kept.iter().filter(|(_, differs)| *differs) {
            log::warn!("configuration: {what} can't change before a restart");
        }
        if only_rules && differ && !versions {
            log::warn!("rules: others than before, without a version: others may act on the old ones");
            self.module.settings_changed(&new.settings);
            (self.settings, old.settings) = (new.settings.clone(), new.settings.clone());
        }
        if let (Some(agreed), Some(agreeing)) = (&mut self.agreed, &new.agreeing) {
            agreed.issued(now, self.epoch.unix_ms(now), &agreeing.issued);
        }
        (old.limits, old.connections, old.changelog) = (new.limits, new.connections, new.changelog);
        self.desk.limit(new.connections, new.limits);
        old.calls = new.calls;
        self.log.told(new.calls);
        self.log.move_to(new.changelog, now, &mut self.desk.effects);
        log::info!("configuration: read again");
    }

    /// The client's time is up: the module hears that its pulls ended unanswered, and answers.
    fn expire(&mut self, now: Nanos, dl: DlId, serial: u64) {
        if !self.desk.is_owed(dl, serial) {
            return;
        }
        if self.reading.remove(&dl.0).is_some() {
            self.desk.answer(dl, Answer::Abandoned);
            return self.desk.release(dl);
        }
        self.desk.expire(dl);
        self.hand_on_ends(now);
        if self.desk.is_owed(dl, serial) {
            self.desk.answer(dl, Answer::Abandoned);
            self.module.client_gone(now, dl, &mut self.desk);
        }
    }

    // Clients.

    fn client_received(&mut self, now: Nanos, number: u32, bytes: &[u8]) {
        let Some(client) = self.desk.clients.get_mut(number) else { return };
        client.decoder.feed(bytes);
        while let Some(client) = self.desk.clients.get_mut(number) {
            let message = match client.decoder.next_message() {
                Ok(Some(message)) => message,
                Ok(None) => return client.pauses(now),
                Err(fault) => {
                    self.complaints.warn(now, format_args!("client {number}: {fault}"));
                    log::debug!(target: "copperroute::trace", "client {number} unreadable");
                    return self.client_closed(now, number);
                }
            };
            client.spoke(now);
            let (Message::Request(tag, _)
            | Message::Unusable(tag, _)
            | Message::Abort(tag)
            | Message::Health(tag)) = message;
            let (open, taken) = (client.open.get(&tag).copied(), client.open.len());
            match message {
                Message::Abort(_) => open.into_iter().for_each(|dl| self.forsake(now, dl)),
                // Two answers under one tag could not be told apart.
                _ if open.is_some() => {
                    self.complaints.warn(now, format_args!("client {number}: tag {tag} is open already"));
                    return self.client_closed(now, number);
                }
                Message::Request(..) if taken >= MOST_OPEN => {
                    self.desk.write(number, tag, Answer::Throttled(None));
                }
                Message::Request(_, request) => self.download(now, number, tag, *request),
                Message::Unusable(_, why) => {
                    self.complaints.warn(now, format_args!("client {number}: {why}"));
                    self.desk.write(number, tag, Answer::Abandoned);
                }
                Message::Health(_) => {
                    let up = self.life.phase() == Phase::Serving;
                    self.desk.write(number, tag, if up { Answer::Up } else { Answer::Down });
                }
            }
            // What the module has ended at once must be heard before the next download is decided.
            self.hand_on_ends(now);
        }
    }

    /// The content type of a request that the settings allow, or why they don't.
    fn usable(&self, request: &Request) -> Result<u32, String> {
        let name = &request.content_type;
        let content_type = place(&self.config.names.content_types, name)
            .ok_or_else(|| format!("no content type '{}'", name.escape_default()))?;
        let offer = self.config.offers[content_type as usize];
        match request {
            _ if request.timeout_ms > offer.expiry.0.div_ceil(1_000_000) => {
                Err(format!("timeout: {} ms are more than the expiry of '{name}'", request.timeout_ms))
            }
            _ if !request.body.is_empty() && !offer.writes => Err(format!("'{name}' takes no bytes")),
            // Answers of two downloads with one id could not be told apart.
            _ if self.desk.has(request.id) => Err(format!("req: {} is open already", request.id)),
            _ => Ok(content_type),
        }
    }

    fn download(&mut self, now: Nanos, client: u32, tag: u64, mut request: Request) {
        let id = stable_hash(request.id.as_str().as_bytes());
        let content_type = match (self.conduct.judge(now, id), self.usable(&request)) {
            (Verdict::Take, Ok(content_type)) => content_type,
            (Verdict::Take, Err(why)) => {
                self.complaints.warn(now, format_args!("client {client}: {why}"));
                return self.desk.write(client, tag, Answer::Abandoned);
            }
            (Verdict::Again, _) => {
                self.complaints.warn(now, format_args!("client {client}: req: {} came before", request.id));
                return self.desk.write(client, tag, Answer::Abandoned);
            }
        };
        // Under a rule that came later a client waits no longer, whatever it asked for.
        let most_ms = self.expiries[content_type as usize].0.div_ceil(1_000_000);
        request.timeout_ms = request.timeout_ms.min(most_ms);
        let of_copies = !self.config.offers[content_type as usize].writes;
        let once = self.settings.content_types[content_type as usize].repeat != Repeat::Retriable;
        let object_hash = stable_hash(request.object.as_str().as_bytes());
        let (part, group) = (request.part, request.group);
        let (repeat, size_kb) = (request.repeat, request.size_kb);
        let body_hash = if request.body.is_empty() { 0 } else { stable_hash(&request.body) };
        let from = self.desk.clients.from(client);
        let (dl, object, expires) = self.desk.open(client, tag, request, of_copies, once);
        let download = Download {
            dl,
            content_type: TypeId(content_type),
            object,
            copy_hash: mix(object_hash.wrapping_add(part)),
            object_hash,
            group,
            expires,
            repeat,
            size_kb,
            client: from,
            body_hash,
        };
        if let Some(own) = self.own_copy(now, &download, dl) {
            return self.serve(now, &download, own);
        }
        if let Some(key) = self.asks_disk(&download) {
            let serial = self.desk.serial_of(dl);
            self.reading.insert(dl.0, Reading { serial, download, key });
            self.desk.effects.push(Effect::ReadCopy(key, ticket(dl, serial)));
            return self.desk.effects.push(Effect::Arm(now.after(DISK_PATIENCE), Due::Disk(dl, serial)));
        }
        self.desk.tell(&download);
        self.module.download(now, &download, &mut self.desk);
    }

    /// Answers a download from an own copy.
    fn serve(&mut self, now: Nanos, download: &Download, own: Own) {
        self.module.served_here(now, download, &mut self.desk);
        match own {
            Own::Bytes(body) => self.desk.answer(download.dl, Answer::Fulfilled(&body)),
            Own::Current => self.desk.answer(download.dl, Answer::Current),
        }
        self.desk.release(download.dl);
    }

    /// The key of a copy that the disk is to be asked for.
    fn asks_disk(&self, download: &Download) -> Option<Key> {
        let copies = self.copies.as_ref()?;
        let (object, part, _) = self.desk.asked_for(download.dl)?;
        copies::key(download.content_type.0, object, part).filter(|key| copies.asks_disk(key))
    }

    /// The disk has answered: the download is served, or goes on as if there were no disk.
    fn copy_read(&mut self, now: Nanos, at: u64, copy: Option<(Facts, &[u8])>) {
        let dl = DlId((at >> 32) as u32);
        let asked = self.reading.get(&dl.0).filter(|reading| ticket(dl, reading.serial) == at);
        let (Some(Reading { download, key, .. }), Some(copies)) = (asked, &mut self.copies) else { return };
        let target = self.settings.content_types[download.content_type.0 as usize].target_time;
        let held = self.desk.asked_for(dl).and_then(|asked| asked.2);
        let own = copies.read([now, target], self.epoch.unix_ms(now), key, held, copy);
        let Some(own) = own else { return self.go_on(now, dl) };
        let (download, key) = (*download, *key);
        self.reading.remove(&dl.0);
        if let (Some((facts, body)), Some((rate, hops))) = (copy, self.module.known(&download)) {
            let offered = Offered { key, facts, body: body.into() };
            if let Some(copies) = &mut self.copies {
                copies.offer(offered, rate, hops);
            }
        }
        self.serve(now, &download, own);
    }

    /// A download goes on without the disk.
    fn go_on(&mut self, now: Nanos, dl: DlId) {
        let Some(Reading { download, .. }) = self.reading.remove(&dl.0) else { return };
        self.desk.tell(&download);
        self.module.download(now, &download, &mut self.desk);
    }

    /// What a download is served from here with, if anything.
    fn own_copy(&mut self, now: Nanos, download: &Download, dl: DlId) -> Option<Own> {
        let copies = self.copies.as_mut()?;
        let (object, part, held) = self.desk.asked_for(dl)?;
        let key = copies::key(download.content_type.0, object, part)?;
        let target = self.settings.content_types[download.content_type.0 as usize].target_time;
        copies.serve(now, self.epoch.unix_ms(now), &key, held, target)
    }

    fn forsake(&mut self, now: Nanos, dl: DlId) {
        if self.desk.forsake(dl) {
            if self.reading.remove(&dl.0).is_some() {
                return self.desk.release(dl);
            }
            self.module.client_gone(now, dl, &mut self.desk);
            self.hand_on_ends(now);
        }
    }

    fn client_closed(&mut self, now: Nanos, number: u32) {
        self.desk.remove_client(number).into_iter().for_each(|dl| self.forsake(now, dl));
    }

    // The change log.

    fn apply(&mut self, now: Nanos, change: &Change, lost: bool) {
        let unix_ms = self.epoch.unix_ms(now);
        let takes_list = match &mut self.agreed {
            Some(agreed) => {
                agreed.event(now, unix_ms, change, lost);
                agreed.takes_list(now, change)
            }
            None => true,
        };
        if takes_list || change.fleet.is_none() {
            self.last_list.iter_mut().for_each(|list| list.applied(change, unix_ms));
        }
        if let Some(fleet) = change.fleet.as_ref().filter(|_| takes_list) {
            self.list(now, fleet);
        }
        if let Some(Purge { object, bucket, time }) = &change.invalidate {
            let age = now.since(self.epoch.time(*time));
            match (object, bucket) {
                (Some(object), _) => {
                    self.module.object_purged(now, stable_hash(object.as_bytes()), age, &mut self.desk)
                }
                (None, Some(group)) => self.module.group_purged(now, *group, age, &mut self.desk),
                (None, None) => return log::warn!("change log: a purge of nothing"),
            }
            if let Some(copies) = &mut self.copies {
                copies.purge(object.as_deref(), *bucket, *time, self.epoch.unix_ms(now));
                if copies.has_disk() && change.seq > self.marked {
                    self.desk.effects.extend(marks(object.as_deref(), *bucket, *time, change.seq));
                }
            }
            self.desk.purged(object.as_deref(), *bucket);
            self.hand_on_ends(now);
        }
    }

    /// A whole list stands for events that are no longer told, and tells nothing of the purges among them: all that is
    /// older than what was last heard counts as purged (rule 5).
    fn purges_lost(&mut self, now: Nanos, seq: u64) {
        let age = now.since(self.log.told_all()).after(LATEST_LINE);
        log::warn!(
            "change log: whole list at event {seq}: copies older than {:.1} s count as purged",
            age.secs()
        );
        self.module.purges_lost(now, age);
        self.copies.iter_mut().for_each(Copies::purges_lost);
        self.desk.purges_lost();
        self.hand_on_ends(now);
    }

    fn list(&mut self, now: Nanos, fleet: &Fleet) {
        let entries: Vec<_> = fleet.servers.iter().map(|listed| self.entry(listed)).collect();
        let named: Vec<_> = entries.iter().map(|entry| entry.node).collect();
        let mut withdrawn: Vec<_> = entries
            .iter()
            .filter(|entry| entry.readiness != Readiness::Ready)
            .map(|entry| (entry.node, entry.readiness))
            .collect();
        if fleet.full {
            withdrawn.extend(self.desk.unlisted(&named).into_iter().map(|node| (node, Readiness::Gone)));
            self.module.nodes_listed(now, &entries, &mut self.desk);
        } else {
            self.module.nodes_changed(now, &entries, &mut self.desk);
        }
        // The module knows first, so that what is dropped here goes elsewhere.
        for (node, readiness) in withdrawn {
            self.desk.withdraw(node, readiness);
        }
        self.hand_on_ends(now);
        self.life.move_to(Phase::Serving);
    }

    fn entry(&mut self, listed: &Listed) -> NodeEntry {
        let place = |names: &[String], name: &str| place(names, name).unwrap_or(u32::MAX);
        let readiness = listed.state.into();
        let started_ms = listed.started_ms.filter(|ms| *ms > 0);
        let started = started_ms.map_or(Nanos::ZERO, |ms| self.epoch.time(ms));
        let pool = Pool {
            address: listed.addr,
            started,
            readiness,
            connections: Vec::new(),
            listed: self.desk.now,
            opening: Opening::default(),
        };
        NodeEntry {
            node: self.desk.list(&listed.id, pool),
            hash: stable_hash(listed.id.as_bytes()),
            zone: ZoneId(place(&self.config.names.zones, &listed.zone)),
            kind: place(&self.config.names.kinds, &listed.kind),
            cell: listed.cell.unwrap_or(0),
            readiness,
            weight: listed.weight.unwrap_or(1.0),
            started,
        }
    }
}

/// The longest that any client waits.
fn longest_expiry(config: &Config) -> Nanos {
    config.offers.iter().map(|offer| offer.expiry).max().unwrap_or_default()
}

/// What the disk is asked under: the download's slot, and enough of its serial to tell it from the next one there.
fn ticket(dl: DlId, serial: u64) -> u64 {
    u64::from(dl.0) << 32 | serial & 0xffff_ffff
}

/// The marks of a purge for the disk.
fn marks(object: Option<&str>, group: Option<u64>, at_ms: u64, seq: u64) -> Option<Effect> {
    match object {
        Some(object) => Hex::read(object).map(|object| Effect::MarkObject(object.bytes(), at_ms, seq)),
        None => group.and_then(|of| u8::try_from(of).ok()).map(|of| Effect::MarkGroup(of, at_ms, seq)),
    }
}
