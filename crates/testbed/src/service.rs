//! A stand-in of the list service (the change log): numbered events, told to who asks from a number on, with a
//! capacity. Over it, it falls over and stays down until calls fall, as a service does whose work for those who
//! gave up already leaves none for the others.

use crate::nodes::Node;
use crate::scenario::{Service as Told, What};
use crate::world::unix_ms;
use serde_json::{Value, json};
use std::collections::{HashMap, VecDeque};
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};

const SECOND: Duration = Duration::from_secs(1);

/// What it counts in a second.
#[derive(Debug, Clone, Copy, Default, PartialEq, serde::Serialize)]
pub(crate) struct Tally {
    /// Connections that came.
    pub calls: u32,
    /// Those of them that were reset, as it was away or had fallen.
    pub reset: u32,
    /// Whole lists told.
    pub lists: u32,
    /// Connections held at most.
    pub held: u32,
    /// Bytes told.
    pub bytes: u64,
}

#[derive(Debug, Default)]
struct State {
    begun: Option<Instant>,
    seconds: Vec<Tally>,
    /// Calls of the last second.
    calls: VecDeque<Instant>,
    /// The most calls in any second, wherever it begins, and when.
    most: (u32, f64),
    fallen: bool,
    falls: u32,
    held: u32,
    fault: Option<What>,
    /// By dispatcher, as its address tells: the last number that it was told, on how many connections.
    told: HashMap<IpAddr, (usize, u32)>,
}

/// The list service.
pub(crate) struct Service {
    told: Told,
    events: Mutex<Vec<Value>>,
    /// The version of rules that is told with a whole list, and its number.
    rules: Mutex<Option<(u64, Value)>>,
    last: watch::Sender<usize>,
    /// Raised when all its connections end.
    life: watch::Sender<u64>,
    state: Mutex<State>,
    lists: Semaphore,
    /// Addresses of nodes as a dispatcher is to see them, where it has links of its own: by its address.
    seen: Mutex<HashMap<IpAddr, HashMap<String, SocketAddr>>>,
    /// Where it listens.
    pub address: SocketAddr,
}

/// A node's line of the list.
fn line(node: &Node, state: &str, started_ms: u64) -> Value {
    json!({"id": node.id, "addr": node.address.to_string(), "zone": node.zone, "kind": node.group, "cell": 0,
        "state": state, "weight": node.listed, "started_ms": started_ms})
}

/// The nodes as they stand after these events, as one event of this number.
fn whole_list(events: &[Value], seq: usize) -> Value {
    let mut nodes: Vec<(String, Value)> = Vec::new();
    for event in events {
        for server in event["fleet"]["servers"].as_array().into_iter().flatten() {
            let id = server["id"].as_str().unwrap_or_default().to_string();
            nodes.retain(|known| known.0 != id);
            nodes.push((id, server.clone()));
        }
    }
    let servers: Vec<_> = nodes.into_iter().map(|node| node.1).collect();
    json!({"seq": seq, "fleet": {"version": seq, "full": true, "servers": servers}})
}

/// An event with the addresses that a dispatcher is to see.
fn seen(mut event: Value, by: Option<&HashMap<String, SocketAddr>>) -> Value {
    let Some(by) = by else { return event };
    let servers = event.get_mut("fleet").and_then(|fleet| fleet.get_mut("servers"));
    for server in servers.and_then(Value::as_array_mut).into_iter().flatten() {
        let known = server["id"].as_str().and_then(|id| by.get(id));
        if let Some(address) = known {
            server["addr"] = json!(address.to_string());
        }
    }
    event
}

impl Service {
    /// Begins with the whole list, and listens.
    pub(crate) async fn start(net: u8, told: Told, nodes: &[Arc<Node>]) -> std::io::Result<Arc<Service>> {
        let address = SocketAddr::from(([127, net, 3, 1], 2379));
        let listener = TcpListener::bind(address).await?;
        let all: Vec<_> = nodes.iter().map(|node| line(node, "active", 0)).collect();
        let first = json!({"seq": 1, "fleet": {"version": 1, "full": true, "servers": all}});
        let (events, last, life) = (Mutex::new(vec![first]), watch::channel(1).0, watch::channel(0).0);
        let lists = Semaphore::new(told.at_once.max(1));
        let (state, seen, rules) = Default::default();
        let service = Arc::new(Service { told, events, rules, last, life, state, lists, seen, address });
        let serving = service.clone();
        tokio::spawn(async move {
            while let Ok((stream, from)) = listener.accept().await {
                match serving.called() {
                    true => drop(tokio::spawn(serving.clone().hold(stream, from.ip()))),
                    // A reset, not an end: nothing was told.
                    false => drop(stream.set_zero_linger()),
                }
            }
        });
        Ok(service)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn events(&self) -> MutexGuard<'_, Vec<Value>> {
        self.events.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counting begins.
    pub(crate) fn begin(&self) {
        let mut state = self.state();
        let calls = std::mem::take(&mut state.calls);
        (state.begun, state.seconds, state.most, state.falls) =
            (Some(Instant::now()), Vec::new(), (0, 0.0), 0);
        state.calls = calls;
    }

    fn count(state: &mut State, count: impl FnOnce(&mut Tally)) {
        let second = state.begun.map_or(0, |begun| begun.elapsed().as_secs() as usize);
        if state.seconds.len() <= second {
            let held = state.held;
            state.seconds.resize(second + 1, Tally { held, ..Tally::default() });
        }
        count(&mut state.seconds[second]);
    }

    /// A connection has come: whether it is taken.
    fn called(&self) -> bool {
        let now = Instant::now();
        let mut state = self.state();
        state.calls.push_back(now);
        while state.calls.front().is_some_and(|at| now.duration_since(*at) >= SECOND) {
            state.calls.pop_front();
        }
        let calls = state.calls.len() as u32;
        if calls > state.most.0 {
            state.most = (calls, state.begun.map_or(0.0, |begun| begun.elapsed().as_secs_f64()));
        }
        let bears = self.told.calls_per_s;
        if bears > 0.0 {
            let over = f64::from(calls) > bears * self.told.falls_at;
            if over && !state.fallen {
                state.fallen = true;
                state.falls += 1;
                self.life.send_modify(|life| *life += 1);
            } else if state.fallen && f64::from(calls) < bears * self.told.rises_at {
                state.fallen = false;
            }
        }
        let taken = !state.fallen && !matches!(state.fault, Some(What::Away | What::Resets));
        Self::count(&mut state, |tally| {
            tally.calls += 1;
            tally.reset += u32::from(!taken);
        });
        taken
    }

    /// Forgets its past: one event with the nodes as they stand is all there is, and all connections end.
    fn begin_anew(&self) {
        let mut events = self.events();
        let mut list = whole_list(&events, 1);
        self.beside(&mut list);
        *events = vec![list];
        drop(events);
        self.state().told.clear();
        self.last.send_replace(1);
        self.life.send_modify(|life| *life += 1);
    }

    /// With a whole list goes the last version of rules, though it may be told once more after it.
    fn beside(&self, list: &mut Value) {
        list["agreed"] = json!(0);
        if let Some((number, issue)) = &*self.rules.lock().unwrap_or_else(PoisonError::into_inner) {
            (list["agreed"], list["rules"]) = (json!(number), issue.clone());
        }
    }

    /// A fault begins, or ends.
    pub(crate) fn fault(&self, what: Option<What>) {
        if what == Some(What::Anew) {
            return self.begin_anew();
        }
        self.state().fault = what;
        if matches!(what, Some(What::Away | What::Resets)) {
            self.life.send_modify(|life| *life += 1);
        }
    }

    /// A dispatcher with this address is to see these nodes elsewhere.
    pub(crate) fn show(&self, to: IpAddr, nodes: HashMap<String, SocketAddr>) {
        self.seen.lock().unwrap_or_else(PoisonError::into_inner).insert(to, nodes);
    }

    /// The events up to now, as a dispatcher's configuration holds them.
    pub(crate) fn known(&self, to: IpAddr) -> Value {
        let by = self.seen.lock().unwrap_or_else(PoisonError::into_inner).get(&to).cloned();
        let events: Vec<_> = self.events().iter().map(|event| seen(event.clone(), by.as_ref())).collect();
        json!({"seq": events.len(), "results": events})
    }

    fn add(&self, of: impl FnOnce(usize) -> Value) {
        let mut events = self.events();
        let event = of(events.len() + 1);
        events.push(event);
        self.last.send_replace(events.len());
    }

    /// A node's line has changed.
    pub(crate) fn list(&self, node: &Node, state: &str, started_ms: u64) {
        let servers = vec![line(node, state, started_ms)];
        self.add(|seq| json!({"seq": seq, "fleet": {"version": seq, "full": false, "servers": servers}}));
    }

    /// A group was purged.
    pub(crate) fn purge(&self, group: u64) {
        let time = unix_ms();
        self.add(|seq| json!({"seq": seq, "invalidate": {"bucket": group, "time": time}}));
    }

    /// A version of rules is told; who asks for the whole list is told the last `good` one.
    pub(crate) fn rules(&self, number: u64, issue: &Value, good: bool) {
        if good {
            let kept = &mut *self.rules.lock().unwrap_or_else(PoisonError::into_inner);
            *kept = Some((number, issue.clone()));
        }
        self.add(|seq| json!({"seq": seq, "rules": issue}));
    }

    /// How many of these dispatchers have been told all, and are connected.
    pub(crate) fn current(&self, dispatchers: &[IpAddr]) -> usize {
        let last = *self.last.borrow();
        let state = self.state();
        let current = |at: &&IpAddr| state.told.get(at).is_some_and(|told| told.0 >= last && told.1 > 0);
        dispatchers.iter().filter(current).count()
    }

    /// What it counted: second by second, the most calls in any second and when, and how often it fell.
    pub(crate) fn counted(&self) -> (Vec<Tally>, (u32, f64), u32) {
        let state = self.state();
        (state.seconds.clone(), state.most, state.falls)
    }

    /// What is told to one that has all up to `told`: with a limit to what is retained the whole list, then what
    /// follows that.
    fn text(&self, told: usize, from: IpAddr) -> (String, usize, bool) {
        let fault = self.state().fault;
        let by = self.seen.lock().unwrap_or_else(PoisonError::into_inner).get(&from).cloned();
        let events = self.events();
        let last = events.len();
        let lost = self.told.retention > 0 && told + self.told.retention < last;
        let whole = told == 0 || lost || fault == Some(What::Whole);
        let mut text = String::new();
        let mut after = told.min(last);
        if whole && last > 0 {
            // The nodes as they stand, under the last number that is no longer told by itself.
            let upto = if told == 0 || lost {
                last.saturating_sub(self.told.retention.min(last - 1))
            } else {
                after
            };
            let mut list = whole_list(&events[..upto], upto);
            self.beside(&mut list);
            text += &format!("{}\n", seen(list, by.as_ref()));
            after = upto;
        }
        let skips = usize::from(fault == Some(What::Gap));
        for event in events.iter().skip(after + skips) {
            text += &format!("{}\n", seen(event.clone(), by.as_ref()));
        }
        text += &format!("{last}\n");
        (text, last, whole)
    }

    /// One connection, from its first byte to its end.
    async fn hold(self: Arc<Self>, stream: TcpStream, from: IpAddr) {
        let mut life = self.life.subscribe();
        {
            let mut state = self.state();
            state.held += 1;
            let held = state.held;
            Self::count(&mut state, |tally| tally.held = tally.held.max(held));
        }
        let mut counted = false;
        tokio::select! {
            _ = self.tell(stream, from, &mut counted) => {}
            _ = life.changed() => {}
        }
        let mut state = self.state();
        state.held -= 1;
        if counted && let Some(told) = state.told.get_mut(&from) {
            told.1 -= 1;
        }
    }

    async fn tell(&self, stream: TcpStream, from: IpAddr, counted: &mut bool) {
        let _ = stream.set_nodelay(true);
        let (read, mut write) = stream.into_split();
        let mut read = BufReader::new(read);
        let mut asked = String::new();
        if read.read_line(&mut asked).await.is_err() {
            return;
        }
        let since = asked.trim().strip_prefix("since ").and_then(|since| since.parse::<usize>().ok());
        let Some(mut told) = since else { return };
        let mut last = self.last.subscribe();
        let mut rest = String::new();
        loop {
            if self.state().fault == Some(What::Mute) {
                std::future::pending::<()>().await;
            }
            let (text, upto, whole) = self.text(told, from);
            if whole {
                let Ok(_permit) = self.lists.acquire().await else { return };
                let spent = text.len() as f64 / self.told.bytes_per_s.max(1.0);
                tokio::time::sleep(Duration::from_secs_f64(spent)).await;
            }
            let torn = self.state().fault == Some(What::Half);
            let bytes = if torn { &text.as_bytes()[..text.len() / 2] } else { text.as_bytes() };
            if write.write_all(bytes).await.is_err() || torn {
                return;
            }
            {
                let mut state = self.state();
                Self::count(&mut state, |tally| {
                    tally.lists += u32::from(whole);
                    tally.bytes += bytes.len() as u64;
                });
                let of = state.told.entry(from).or_default();
                of.0 = upto;
                of.1 += u32::from(!std::mem::replace(counted, true));
            }
            told = upto;
            tokio::select! {
                _ = tokio::time::timeout(SECOND, last.changed()) => {}
                // Nobody says more than its first line: this is the connection's end.
                _ = read.read_line(&mut rest) => return,
            }
        }
    }
}

#[cfg(test)]
#[path = "tests/service.rs"]
mod tests;
