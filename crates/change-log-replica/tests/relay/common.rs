//! Configurations, events and a driver of a core, for all tests.

use copperroute_change_log_replica::config::{Config, Source, SourceKind};
use copperroute_change_log_replica::core::{Core, Effect, Event, StreamId};
use copperroute_change_log_replica::faults::Faults;
use copperroute_change_log_replica::followers::{FollowerEffect, FollowerId, FollowerSettings};
use copperroute_change_log_replica::lines::{Decoder, EventLine, Line};
use copperroute_change_log_replica::retention::RetentionSettings;
use copperroute_routing::interface::Nanos;
use std::collections::VecDeque;
use std::fmt::Write;
use std::net::SocketAddr;

/// The monotonic time at which tests begin.
pub(crate) const START: Nanos = Nanos(1_000_000_000_000);

pub(crate) fn secs(secs: f64) -> Nanos {
    Nanos::from_secs(secs)
}

pub(crate) fn at(secs: f64) -> Nanos {
    START.after(Nanos::from_secs(secs))
}

pub(crate) fn address(last: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, last], 2379))
}

/// A replica whose sources are the change log at `address(1)` and replicas at these addresses, in this order.
pub(crate) fn config(replicas: &[u8]) -> Config {
    let log = Source { address: address(1), kind: SourceKind::ChangeLog };
    let replicas = replicas.iter().map(|of| Source { address: address(*of), kind: SourceKind::Replica });
    Config {
        name: "r".into(),
        listen: address(99),
        sources: std::iter::once(log).chain(replicas).collect(),
        retention: RetentionSettings { max_age: secs(3600.0), bytes: 1_000_000 },
        followers: FollowerSettings {
            most: 8,
            calls_per_s: 100.0,
            catch_up_bytes_per_s: 1_000_000.0,
            queue_bytes: 4_096,
        },
        propagation_bound: secs(0.5),
    }
}

/// An event with a whole list of one node.
pub(crate) fn list(seq: u64) -> String {
    format!(
        "{{\"seq\":{seq},\"fleet\":{{\"version\":{seq},\"full\":true,\"servers\":[{}]}}}}",
        node("s-0", "active")
    )
}

pub(crate) fn node(id: &str, state: &str) -> String {
    format!(
        "{{\"id\":\"{id}\",\"addr\":\"10.1.0.1:50\",\"zone\":\"east\",\"state\":\"{state}\",\"new_field\":[1]}}"
    )
}

pub(crate) fn delta(seq: u64, id: &str, state: &str) -> String {
    let node = node(id, state);
    format!("{{\"seq\":{seq},\"fleet\":{{\"version\":{seq},\"full\":false,\"servers\":[{node}]}}}}")
}

pub(crate) fn purge(seq: u64) -> String {
    format!("{{\"seq\":{seq},\"invalidate\":{{\"bucket\":{},\"time\":{seq}}}}}", seq % 256)
}

/// The event that the decoder reads from a line.
pub(crate) fn event(line: &str) -> EventLine {
    let mut decoder = Decoder::default();
    decoder.feed(format!("{line}\n").as_bytes());
    match decoder.next_line() {
        Ok(Some(Line::Event(event))) => event,
        other => panic!("no event: {other:?}"),
    }
}

/// Drives a core and records its effects as a printed trace.
pub(crate) struct Player {
    pub core: Core,
    pub trace: String,
    stream: u32,
}

impl Player {
    pub(crate) fn new(config: &Config) -> Self {
        Self::with_faults(config, Faults::default())
    }

    pub(crate) fn with_faults(config: &Config, faults: Faults) -> Self {
        let core = Core::new(config, 1, 0).with_faults(faults);
        Player { core, trace: String::new(), stream: 0 }
    }

    pub(crate) fn handle(&mut self, secs: f64, event: Event<'_>) {
        let now = at(secs);
        let mut effects: VecDeque<_> = self.core.handle(now, event).into();
        while let Some(effect) = effects.pop_front() {
            let line = match &effect {
                Effect::Connect(stream, to) => {
                    self.stream = stream.0;
                    format!("call {to} as {}", stream.0)
                }
                Effect::SendRequest(stream, bytes) => format!("ask {}: {}", stream.0, shown(bytes)),
                Effect::CloseSource(stream) => format!("hang {}", stream.0),
                Effect::Follower(FollowerEffect::Write(id, bytes)) => {
                    format!("to f{}: {}", id.0, shown(bytes))
                }
                Effect::Follower(FollowerEffect::Close(id)) => format!("close f{}", id.0),
            };
            writeln!(self.trace, "{secs:.2} {line}").expect("a string takes it");
            // Everything written leaves at once.
            if let Effect::Follower(FollowerEffect::Write(id, bytes)) = effect {
                effects.extend(self.core.handle(now, Event::FollowerWritten(id, bytes.len())));
            }
        }
        self.core.check_invariants(now).expect("the invariants hold");
    }

    /// The present connection to a source is established.
    pub(crate) fn connected(&mut self, secs: f64) {
        self.handle(secs, Event::Tick);
        self.handle(secs, Event::SourceConnected(StreamId(self.stream)));
    }

    pub(crate) fn source_sends(&mut self, secs: f64, lines: &[&str]) {
        let text: String = lines.iter().map(|line| format!("{line}\n")).collect();
        self.handle(secs, Event::SourceSent(StreamId(self.stream), text.as_bytes()));
    }

    pub(crate) fn ended(&mut self, secs: f64) {
        self.handle(secs, Event::SourceEnded(StreamId(self.stream)));
    }

    /// Time passes, with ten ticks a second.
    pub(crate) fn idle(&mut self, from: f64, to: f64) {
        let mut at = from;
        while at < to {
            self.handle(at, Event::Tick);
            at += 0.1;
        }
        self.handle(to, Event::Tick);
    }

    pub(crate) fn follower(&mut self, secs: f64, id: u32, since: u64) {
        self.handle(secs, Event::FollowerConnected(FollowerId(id)));
        self.handle(secs, Event::FollowerSent(FollowerId(id), format!("since {since}\n").as_bytes()));
    }

    /// The trace since the last call of this method.
    pub(crate) fn take_trace(&mut self) -> String {
        std::mem::take(&mut self.trace)
    }
}

/// Describes bytes in one short line: events by kind and number, heartbeats as they are.
pub(crate) fn shown(bytes: &[u8]) -> String {
    let text = String::from_utf8_lossy(bytes);
    let line = |line: &str| match serde_json::from_str::<serde_json::Value>(line) {
        Ok(event) if event["fleet"]["full"] == true => {
            let ids = event["fleet"]["servers"].as_array().into_iter().flatten();
            let ids: Vec<_> = ids.map(|server| server["id"].as_str().unwrap_or("?").to_string()).collect();
            format!("list {} of [{}]", event["seq"], ids.join(" "))
        }
        Ok(event) if event["fleet"].is_object() => format!("news {}", event["seq"]),
        Ok(event) if event["invalidate"].is_object() => format!("purge {}", event["seq"]),
        Ok(event) if event.is_object() => format!("other {}", event["seq"]),
        _ => line.to_string(),
    };
    text.lines().map(line).collect::<Vec<_>>().join(", ")
}
