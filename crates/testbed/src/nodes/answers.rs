//! What a node answers: its copy or a source's, in the time that its capacity, the link and a fault leave.

use super::wire::{Fetch, Reply};
use super::{Busy, Copy, FALL_FOR, FALL_MULTIPLE, Fleet, Node, PARENT_FALL_MULTIPLE, size};
use crate::world::{World, unix_ms};
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// More at once than this many times its weight are refused.
const CROWD: f64 = 8.0;

impl Fleet {
    /// Counts what came to a cold node, which falls when that is too much.
    fn weigh(&self, node: &Node, work: f64) -> bool {
        let present = node.present(&self.world);
        let mut state = node.state();
        let now = Instant::now();
        while state.came.front().is_some_and(|(at, _)| now.duration_since(*at) > FALL_FOR) {
            state.came.pop_front();
        }
        state.came.push_back((now, work));
        let sum: f64 = state.came.iter().map(|(_, work)| work).sum();
        let multiple = if node.group == "parents" { PARENT_FALL_MULTIPLE } else { FALL_MULTIPLE };
        if present < 1.0 && sum > multiple * present * node.weight * FALL_FOR.as_secs_f64() {
            if !std::mem::replace(&mut state.fallen, true) {
                drop(state);
                self.world.breach(4, format!("{} fell: {sum:.1} s of work in 3 s at {present:.2}", node.id));
                node.hang_up();
            }
            return false;
        }
        !state.fallen
    }

    /// Sends so much work, beside all else that the node has in hand.
    async fn transfer(&self, node: &Node, work: f64, least: f64) {
        let (busy, crowd) = Busy::enter(&node.busy);
        let pace = (crowd / (node.weight * node.present(&self.world))).max(1.0);
        let slow = node.state().slow;
        tokio::time::sleep(Duration::from_secs_f64(work * pace.max(least) * slow)).await;
        drop(busy);
    }

    /// The copy that a node holds, if it will do.
    fn held(&self, node: &Node, fetch: &Fetch) -> Option<Copy> {
        let mut state = node.state();
        state.used += 1;
        let used = state.used;
        let copy = state.copies.get_mut(&(fetch.name.clone(), fetch.piece))?;
        copy.used = used;
        let young = fetch.max_age_ms.is_none_or(|most| unix_ms().saturating_sub(copy.made_ms) <= most);
        young.then_some(*copy)
    }

    /// Keeps a copy; with too many, that of lowest rank which was used longest ago goes.
    fn keep(&self, node: &Node, fetch: &Fetch, copy: Copy, rank: u8) {
        let most = self.world.scenario.fleet.keep;
        let mut state = node.state();
        if state.copies.len() >= most {
            let least = state.copies.iter().min_by_key(|(_, held)| (held.rank, held.used));
            if let Some(least) = least.filter(|(_, held)| held.rank <= rank).map(|(key, _)| key.clone()) {
                state.copies.remove(&least);
            } else {
                return;
            }
        }
        state.used += 1;
        let used = state.used;
        state.copies.insert((fetch.name.clone(), fetch.piece), Copy { rank, used, ..copy });
    }

    /// What a source gives: its copy, or one of the origin's.
    async fn source(&self, source: &Node, fetch: &Fetch) -> Result<(Copy, &'static str), &'static str> {
        let (up, silent) = {
            let state = source.state();
            (state.up && !state.fallen, state.silent)
        };
        if !up {
            return Err("cut_off");
        }
        if silent {
            std::future::pending::<()>().await;
        }
        let fleet = &self.world.scenario.fleet;
        if source.group == "origin" {
            self.begin_at_origin(source).await;
            return Ok((self.made(fetch), "pulled"));
        }
        let work = self.content_type(&fetch.lane).map_or(0.0, |of| of.work_ms / 1e3);
        if source.group == "parents" && !self.weigh(source, work * size(&fetch.name)) {
            return Err("turned_away");
        }
        tokio::time::sleep(Duration::from_secs_f64(fleet.parent_ms / 1e3)).await;
        if let Some(copy) = self.held(source, fetch) {
            return Ok((copy, "pulled"));
        }
        if fetch.peek {
            return Err("not_there");
        }
        let origin = self.nodes.last().filter(|origin| origin.state().up);
        let Some(origin) = origin else { return Err("far_fault") };
        self.begin_at_origin(origin).await;
        let copy = self.made(fetch);
        if !fetch.pass {
            self.keep(source, fetch, copy, 1);
        }
        Ok((copy, "pulled_far"))
    }

    /// Counts what an attempt asks for.
    pub(super) fn tally(&self, node: &Node, fetch: &Fetch) {
        let cold = node.present(&self.world) < 1.0;
        let from = fetch.source.as_deref().filter(|from| *from != node.id);
        self.world.count(|tally| {
            tally.attempts += 1;
            tally.cold_looks += u32::from(cold && from.is_none());
            tally.cold_attempts += u32::from(cold);
            tally.parent_fills += u32::from(from.is_some_and(|from| from.starts_with("p-")));
            tally.origin_fills += u32::from(from.is_some_and(|from| from.starts_with("o-")));
        });
    }

    async fn begin_at_origin(&self, origin: &Node) {
        if origin.state().silent {
            std::future::pending::<()>().await;
        }
        self.transfer(origin, self.world.scenario.fleet.origin_ms / 1e3, 1.0).await;
    }

    fn made(&self, fetch: &Fetch) -> Copy {
        let version = self.world.version();
        self.world.origin_gave(World::bytes(&fetch.name, fetch.piece, version).len());
        Copy { version, made_ms: unix_ms(), rank: 0, used: 0 }
    }

    /// What an attempt is answered with; nothing by a node that has fallen.
    pub(super) async fn serve(&self, node: &Node, fetch: &Fetch) -> Option<Reply> {
        let plain =
            |word, why| Some(Reply { word, why, copy: None, waited: Duration::ZERO, body: Vec::new() });
        let content_type = self.content_type(&fetch.lane)?;
        let work = content_type.work_ms / 1e3;
        if !self.weigh(node, work) {
            return None;
        }
        let refuses = node.state().refuses;
        let crowded = node.busy.load(Ordering::Relaxed) as f64 > CROWD * node.weight;
        if crowded || (refuses > 0.0 && rand::random::<f64>() < refuses) {
            return plain("refused", "");
        }
        let own = work * size(&fetch.name);
        if content_type.objects == 0 {
            let origin = self.nodes.last()?;
            if node.group != "origin" && fetch.source.as_deref() != Some(&origin.id) {
                return plain("nothing", "");
            }
            if !origin.state().up {
                return plain("nothing", "cut_off");
            }
            if origin.state().silent {
                std::future::pending::<()>().await;
            }
            self.transfer(origin, own / 2.0, 1.0).await;
            self.world.ran(&fetch.name, &fetch.id);
            self.transfer(origin, own / 2.0, 1.0).await;
            let body = World::bytes(&fetch.name, fetch.piece, 0);
            return Some(Reply { word: "ok", why: "", copy: None, waited: Duration::ZERO, body });
        }
        let reply = |copy: Copy, why, waited| {
            let body = World::bytes(&fetch.name, fetch.piece, copy.version);
            Some(Reply { word: "ok", why, copy: Some(copy), waited, body })
        };
        if let Some(copy) = self.held(node, fetch) {
            self.transfer(node, own, 1.0).await;
            return reply(copy, "local", Duration::ZERO);
        }
        let Some(source) = &fetch.source else { return plain("nothing", "") };
        let source = self.nodes.iter().find(|known| known.id == *source)?;
        let begun = Instant::now();
        let copy = match self.source(source, fetch).await {
            Ok(got) => got,
            Err(why) => return plain("nothing", why),
        };
        let waited = begun.elapsed();
        let (fill, crowd) = Busy::enter(&self.fills);
        self.transfer(node, own, crowd / self.world.scenario.fleet.link).await;
        drop(fill);
        if fetch.rank > 0 && node.group == "caches" {
            self.keep(node, fetch, copy.0, fetch.rank);
        }
        reply(copy.0, copy.1, waited)
    }
}
