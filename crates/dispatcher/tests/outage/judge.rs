//! Checks the records of a scenario against the strictest bounds of the rules on drains and purges.
//!
//! An event counts as delivered when it is written to the change log. During a fault of the change log it counts as
//! delivered 2 s after a broken connection and 4 s after a silent stream, or as soon as the dispatcher reconnects.

use crate::change_log::{LogConnection, LogFault};
use crate::clients::{RequestOutcome, RequestRecord, TIMEOUT};
use crate::fleet::Terms;
use crate::nodes::Fetch;
use std::time::Duration;

/// Added to each time limit of the rules, for the time that sockets take.
const SLACK: Duration = Duration::from_millis(50);
/// When an event counts as delivered after a connection broke.
const DELIVERED_AFTER_BREAK: Duration = Duration::from_secs(2);
/// When an event counts as delivered after a stream fell silent.
const DELIVERED_AFTER_SILENCE: Duration = Duration::from_secs(4);
/// A request that arrives within this time after SIGTERM must be answered.
const ACCEPTED_AFTER_TERM: Duration = Duration::from_millis(700);
/// A request whose connection closes within this time crossed the close, and its client retries it.
const CROSSING: Duration = Duration::from_millis(50);
/// An answer that is later than the timeout by more than this counts as lost.
const LATE: Duration = Duration::from_millis(500);

/// A fault of the change log, with its start and end.
#[derive(Debug, Clone, Copy)]
pub(crate) struct FaultSpan {
    pub fault: LogFault,
    pub from: Duration,
    pub until: Option<Duration>,
}

/// Everything that was recorded of a scenario.
#[derive(Debug, Default)]
pub(crate) struct Record {
    pub terms: Terms,
    pub requests: Vec<RequestRecord>,
    pub fetches: Vec<Fetch>,
    pub log_connections: Vec<LogConnection>,
    pub faults: Vec<FaultSpan>,
    /// Each node that began to drain (true) or ended its drain (false), and when that was written.
    pub listed: Vec<(String, bool, Duration)>,
    /// The purged groups: the Unix time in milliseconds, and when that was written.
    pub purged: Vec<(u64, u64, Duration)>,
    pub signals: Vec<(String, Duration)>,
    pub probes: u64,
    /// Whether the program was still running at the end.
    pub ran: bool,
    /// The program's log.
    pub lines: String,
}

impl Record {
    /// When an event that was written at this time counts as delivered.
    fn delivered_by(&self, written: Duration) -> Duration {
        let Some(last) = self.faults.iter().rposition(|span| span.from <= written) else { return written };
        // Faults without a pause between them count as one: the one that allows the least time decides.
        let mut first = last;
        while first > 0 && self.faults[first - 1].until.is_some_and(|until| until >= self.faults[first].from)
        {
            first -= 1;
        }
        let bounds = self.faults[first..=last].iter().map(|span| match span.fault {
            LogFault::ByteByByte(_) => span.from,
            // When bytes become late, the stream looks silent to the dispatcher.
            LogFault::LateBytes(_) | LogFault::Silent | LogFault::HeartbeatsOnly => {
                span.from + DELIVERED_AFTER_SILENCE
            }
            _ => span.from + DELIVERED_AFTER_BREAK,
        });
        let began = self.faults[first].from;
        let reconnects = self
            .log_connections
            .iter()
            .filter_map(|connection| connection.requested)
            .filter(|at| *at >= began);
        written.max(bounds.chain(reconnects).min().unwrap_or(written))
    }

    /// The spans in which no new fetch may reach a node, one for each of its drains.
    fn closed_spans(&self, id: &str) -> Vec<(Duration, Duration)> {
        let mut spans = Vec::new();
        for (at, (_, drains, written)) in self.listed.iter().enumerate().filter(|(_, line)| line.0 == id) {
            if *drains {
                let later = self.listed[at + 1..].iter().find(|line| line.0 == id);
                let until = later.map_or(Duration::MAX, |line| line.2);
                spans.push((self.delivered_by(*written) + self.terms.drain_grace + SLACK, until));
            }
        }
        spans
    }

    /// Fetches that reached a drained node, or named one as their source, after the drain grace.
    pub(crate) fn drain_violations(&self) -> Vec<String> {
        let mut violations = Vec::new();
        let ids: std::collections::BTreeSet<_> = self.listed.iter().map(|line| line.0.as_str()).collect();
        for id in ids {
            for (from, until) in self.closed_spans(id) {
                let of_node = |fetch: &&Fetch| fetch.node == id || fetch.source.as_deref() == Some(id);
                let late =
                    self.fetches.iter().filter(of_node).filter(|fetch| fetch.at > from && fetch.at < until);
                violations.extend(late.map(|fetch| {
                    let source = fetch.source.as_deref().unwrap_or("-");
                    format!(
                        "{id}: fetch at {:.3} by {} from {source}, bound {:.3}",
                        s(fetch.at),
                        fetch.node,
                        s(from)
                    )
                }));
            }
        }
        violations
    }

    /// Requests that were served a purged copy although they were written after the purge had to take effect.
    pub(crate) fn purge_violations(&self) -> Vec<String> {
        let mut violations = Vec::new();
        for (group, at_ms, written) in &self.purged {
            let bound = self.delivered_by(*written) + self.terms.purge_notice + SLACK;
            let late =
                self.requests.iter().filter(|request| request.group == *group && request.written > bound);
            violations.extend(late.filter_map(|request| match request.outcome {
                RequestOutcome::Served(made) if made < *at_ms => Some(format!(
                    "request {} of group {group}, written {:.3}, bound {:.3}, {} ms older than the purge",
                    request.id,
                    s(request.written),
                    s(bound),
                    at_ms - made
                )),
                _ => None,
            }));
        }
        violations
    }

    /// Requests without an answer, or with a late one, that the program had to answer. A request that crosses the close
    /// of an idle connection doesn't count: its client retries it.
    pub(crate) fn lost(&self) -> Vec<String> {
        let ended = self.signals.iter().find(|signal| signal.0 == "TERM").map(|signal| signal.1);
        let must_be_answered = |request: &&RequestRecord| {
            ended.is_none_or(|ended| request.written < ended + ACCEPTED_AFTER_TERM)
        };
        let lost = |request: &&RequestRecord| match request.outcome {
            RequestOutcome::TimedOut => true,
            RequestOutcome::Closed => request.took > CROSSING,
            _ => request.took > TIMEOUT + LATE,
        };
        let line = |request: &RequestRecord| {
            format!(
                "request {} written {:.3}: {:?} after {:.3} s",
                request.id,
                s(request.written),
                request.outcome,
                s(request.took)
            )
        };
        self.requests.iter().filter(must_be_answered).filter(lost).map(line).collect()
    }

    /// The share of the requests written in a span that were served; the span is in seconds.
    pub(crate) fn served(&self, from: f64, until: f64) -> f64 {
        let within = |request: &&RequestRecord| s(request.written) >= from && s(request.written) < until;
        let all: Vec<_> = self.requests.iter().filter(within).collect();
        let served =
            all.iter().filter(|request| matches!(request.outcome, RequestOutcome::Served(_))).count();
        served as f64 / all.len().max(1) as f64
    }

    /// A summary of the scenario in one line.
    pub(crate) fn summary(&self) -> String {
        let faults: Vec<_> = self.faults.iter().map(|span| format!("{:?}", span.fault)).collect();
        let broken = [self.drain_violations(), self.purge_violations(), self.lost()].map(|lines| lines.len());
        let (requests, served) = (self.requests.len(), self.served(0.0, f64::MAX));
        let [drains, purges, lost] = broken;
        format!(
            "{}: drains {drains}, purges {purges}, lost {lost}; {served:.3} of {requests} requests served, {} probes",
            faults.join(" + "),
            self.probes
        )
    }

    /// Describes the broken rules with the first violations of each kind; none if no rule is broken.
    pub(crate) fn broken(&self) -> Option<String> {
        let kinds =
            [("drains", self.drain_violations()), ("purges", self.purge_violations()), ("lost", self.lost())];
        let mut text = String::new();
        for (kind, lines) in kinds.iter().filter(|(_, lines)| !lines.is_empty()) {
            text += &format!("{kind}: {} times\n", lines.len());
            lines.iter().take(5).for_each(|line| text += &format!("  {line}\n"));
        }
        if !self.ran && !self.signals.iter().any(|signal| signal.0 == "TERM") {
            text += "the program ended\n";
        }
        (!text.is_empty()).then(|| format!("{text}{}", self.report()))
    }

    /// The faults, events, connections and log lines of the scenario, to find the cause of a violation.
    pub(crate) fn report(&self) -> String {
        let mut text = String::new();
        for FaultSpan { fault, from, until } in &self.faults {
            text += &format!("fault {fault:?} from {:.3} to {:.3}\n", s(*from), until.map_or(0.0, s));
        }
        for (id, drains, written) in &self.listed {
            text +=
                &format!("{id} {} written {:.3}\n", if *drains { "drains" } else { "returns" }, s(*written));
        }
        for (group, _, written) in &self.purged {
            text += &format!("purge of group {group} written {:.3}\n", s(*written));
        }
        self.signals.iter().for_each(|(name, at)| text += &format!("SIG{name} {:.3}\n", s(*at)));
        for connection in &self.log_connections {
            let at = |time: Option<Duration>| time.map_or("-".into(), |time| format!("{:.3}", s(time)));
            let delivered =
                connection.delivered.map_or("-".into(), |(seq, at)| format!("{seq} at {:.3}", s(at)));
            let (requested, ended) = (at(connection.requested), at(connection.ended));
            text += &format!(
                "connection {:.3} requested {requested} delivered {delivered} ended {ended}\n",
                s(connection.accepted)
            );
        }
        text + &self.lines
    }
}

fn s(time: Duration) -> f64 {
    time.as_secs_f64()
}
