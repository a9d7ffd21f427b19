//! The wire: batches of tab-set lines in, one reply to each out.

use crate::stdio_transport::StdioTransport;
use copperroute_routing::interface::{
    AttemptEnd, LoadReport, Nanos, NodeEntry, Outcome, Readiness, Remark, RoutingRequest, TypeId, UNKNOWN_ID,
    ZoneId, mix, stable_hash,
};
use copperroute_routing::policy::Dispatcher;
use copperroute_settings::Options;
use std::collections::BTreeMap;
use std::fmt;
use std::io::{BufRead, Write};
use std::str::FromStr;

/// Why the adapter stopped.
#[derive(Debug)]
pub(crate) enum Fault {
    /// A line that the page does not allow: its number, and what was expected.
    Line(u64, String),
    /// The pipe broke.
    Pipe(std::io::Error),
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Fault::Line(number, what) => write!(f, "line {number}: {what}"),
            Fault::Pipe(error) => write!(f, "pipe: {error}"),
        }
    }
}

impl From<std::io::Error> for Fault {
    fn from(error: std::io::Error) -> Self {
        Fault::Pipe(error)
    }
}

/// One simulated dispatcher: its decisions and its door.
struct Instance {
    module: Dispatcher,
    transport: StdioTransport,
    types: u32,
}

/// The values of a line, taken in order.
struct Fields<'a> {
    name: &'a str,
    parts: Vec<&'a str>,
    at: usize,
}

impl<'a> Fields<'a> {
    fn new(line: &'a str) -> Self {
        let mut parts = line.split('\t');
        let name = parts.next().unwrap_or_default();
        Fields { name, parts: parts.collect(), at: 0 }
    }

    fn expect(&self, count: usize) -> Result<(), String> {
        if self.parts.len() == count {
            return Ok(());
        }
        Err(format!("{}: expected {count} values, found {}", self.name, self.parts.len()))
    }

    fn text(&mut self, field: &str) -> Result<&'a str, String> {
        let part = self.parts.get(self.at).copied();
        self.at += 1;
        part.ok_or_else(|| format!("{}: {field} is missing", self.name))
    }

    fn maybe<T: FromStr>(&mut self, field: &str) -> Result<Option<T>, String> {
        let text = self.text(field)?;
        if text == "-" {
            return Ok(None);
        }
        let value = text.parse();
        value.map(Some).map_err(|_| format!("{}: {field}: expected a number, found '{text}'", self.name))
    }

    fn number<T: FromStr>(&mut self, field: &str) -> Result<T, String> {
        self.maybe(field)?.ok_or_else(|| format!("{}: {field} may not be absent", self.name))
    }

    /// A time or span in seconds; absent counts as 0.
    fn secs(&mut self, field: &str) -> Result<Nanos, String> {
        let secs = self.maybe::<f64>(field)?.unwrap_or(0.0);
        if secs.is_finite() && secs >= 0.0 {
            return Ok(Nanos::from_secs(secs));
        }
        Err(format!("{}: {field}: expected seconds, found '{secs}'", self.name))
    }
}

fn outcome(code: &str) -> Result<Outcome, String> {
    Ok(match code {
        "OK" => Outcome::Served,
        "INTERNAL" => Outcome::Failed,
        "RESOURCE_EXHAUSTED" => Outcome::Refused,
        "DEADLINE_EXCEEDED" => Outcome::TimedOut,
        "UNAVAILABLE" => Outcome::Unreachable,
        "ABORTED" => Outcome::Broken,
        "CANCELLED" => Outcome::Cancelled,
        "TOO_LATE" => Outcome::NotSent,
        "NOT_FOUND" => Outcome::Missed,
        other => return Err(format!("state_code: unknown outcome '{other}'")),
    })
}

fn remark(number: u32) -> Remark {
    match number {
        1 => Remark::Hit,
        2 => Remark::FilledFromCopy,
        3 => Remark::FilledFromOrigin,
        4 => Remark::Joined,
        5 => Remark::Aged,
        6 => Remark::SourceRefused,
        7 => Remark::SourceLost,
        8 => Remark::SourceHasNone,
        9 => Remark::NoFillPlace,
        10 => Remark::OriginFailed,
        _ => Remark::None,
    }
}

/// A load report; values that are not read, or are no numbers, are passed over.
fn report(pairs: &str) -> LoadReport {
    let value = |name: &str| {
        let pair = pairs.split(',').filter_map(|pair| pair.split_once(':')).find(|pair| pair.0 == name)?;
        pair.1.parse().ok().filter(|value: &f64| value.is_finite() && *value >= 0.0)
    };
    LoadReport { in_flight: value("busy_reqs"), busy: value("cpu_share") }
}

fn entry(fields: &mut Fields<'_>, transport: &mut StdioTransport) -> Result<NodeEntry, String> {
    if fields.name != "m" {
        return Err(format!("expected an entry 'm', found '{}'", fields.name));
    }
    fields.expect(7)?;
    let address = fields.text("host")?;
    Ok(NodeEntry {
        node: transport.list_node(address),
        hash: stable_hash(address.as_bytes()),
        zone: ZoneId(fields.number("campus")?),
        kind: fields.number("family_type")?,
        cell: fields.maybe("pack")?.unwrap_or(UNKNOWN_ID),
        readiness: match fields.number::<u32>("readiness")? {
            0 => Readiness::Gone,
            1 => Readiness::Ready,
            2 => Readiness::Draining,
            other => return Err(format!("m: readiness: expected 0, 1 or 2, found '{other}'")),
        },
        weight: fields.maybe("capacity_hint")?.unwrap_or(1.0),
        started: fields.secs("since_s")?,
    })
}

fn begin(fields: &mut Fields<'_>, number: u32) -> Result<Instance, String> {
    let seed = fields.number("init_seed")?;
    let settings = Options::from_pairs(&fields.parts[fields.at..])?.settings(seed)?;
    let types = settings.content_types.len() as u32;
    Ok(Instance { module: Dispatcher::new(settings), transport: StdioTransport::new(number), types })
}

/// Hands one event to the module. The lines of the list that belong to it come in `entries`.
fn event(
    fields: &mut Fields<'_>,
    now: Nanos,
    Instance { module, transport, types }: &mut Instance,
    entries: &[String],
) -> Result<(), String> {
    match fields.name {
        "backends_changed" => {
            let how: u32 = fields.number("how")?;
            let mut nodes = Vec::with_capacity(entries.len());
            for line in entries {
                nodes.push(entry(&mut Fields::new(line), transport)?);
            }
            match how {
                0 => module.nodes_changed(now, &nodes, transport),
                1 | 2 => module.node_list_replaced(now, &nodes, transport),
                3 => module.subscription_failed(now, transport),
                other => return Err(format!("backends_changed: how: expected 0 to 3, found '{other}'")),
            }
        }
        "request" => {
            fields.expect(10)?;
            let id = fields.number("id")?;
            let content_type = TypeId(fields.number("priority")?);
            let name = fields.text("resource")?;
            let deadline = fields.secs("drop_dead_s")?;
            let bits: u32 = fields.maybe("state_bits")?.unwrap_or(0);
            let size: Option<f64> = fields.maybe("kbytes")?;
            let part: u64 = fields.maybe("chunk")?.unwrap_or(0);
            let group = fields.maybe("group")?;
            let object_hash = stable_hash(name.as_bytes());
            if content_type.0 >= *types {
                return Err(format!("request: priority: no content type {}", content_type.0));
            }
            let object = transport.object(name, part);
            let request_id = transport.open(id);
            let routing_request = RoutingRequest {
                request_id,
                content_type,
                object,
                copy_hash: mix(object_hash.wrapping_add(part)),
                object_hash,
                group,
                deadline,
                is_retry: bits & 2 != 0,
                size_kb: size.filter(|kb| *kb > 0.0),
                client: 0,
                body_hash: 0,
            };
            module.request_arrived(now, &routing_request, transport);
        }
        "ack_first" => {
            fields.expect(5)?;
            if let Some(request_id) = transport.held(fields.number("id")?) {
                module.first_byte(now, request_id, fields.number("n")?, transport);
            }
        }
        "report_back" => {
            fields.expect(10)?;
            let request_id = transport.held(fields.number("id")?);
            let outcome = outcome(fields.text("state_code")?)?;
            let duration = fields.secs("rtt_s")?;
            let completes_request = fields.number::<u32>("no_more")? == 1;
            let number = fields.number("n")?;
            let _host = fields.text("host")?;
            let first_byte_wait = Some(fields.secs("waited_s")?).filter(|span| span.0 > 0);
            let remark = remark(fields.maybe("remark")?.unwrap_or(0));
            let report = report(fields.text("health_info")?);
            if let Some(request_id) = request_id {
                let end =
                    AttemptEnd { outcome, duration, completes_request, first_byte_wait, remark, report };
                module.attempt_ended(now, request_id, number, &end, transport);
            }
        }
        "client_gone" => {
            fields.expect(2)?;
            if let Some(request_id) = transport.held(fields.number("id")?) {
                module.client_gone(now, request_id, transport);
            }
        }
        "elapsed" => {
            fields.expect(2)?;
            module.timer(now, fields.number("key_back")?, transport);
        }
        "ping_result" => {
            fields.expect(5)?;
            let _rtt = fields.secs("rtt_s")?;
            let host = fields.text("host")?;
            let passed = outcome(fields.text("state_code")?)? == Outcome::Served;
            let report = report(fields.text("health_info")?);
            if let Some(node) = transport.held_node(host).filter(|_| passed) {
                module.load_probe_answered(now, node, report);
            }
        }
        "voided" => {
            fields.expect(4)?;
            let name = fields.text("resource")?;
            let group: Option<u64> = fields.maybe("set_no")?;
            let age = fields.secs("age_span_s")?;
            match name {
                "-" | "0" | "" => module.group_purged(now, group.unwrap_or(0), age, transport),
                name => module.object_purged(now, stable_hash(name.as_bytes()), age, transport),
            }
        }
        // Peers are not listened to.
        "whisper" => {}
        other => return Err(format!("unknown message '{other}'")),
    }
    Ok(())
}

/// Answers batches until the input ends.
pub(crate) fn serve(mut input: impl BufRead, mut output: impl Write) -> Result<(), Fault> {
    let mut instances: BTreeMap<u32, Instance> = BTreeMap::new();
    let mut now: Option<Nanos> = None;
    let mut reply = String::new();
    let mut line = String::new();
    let mut number = 0;
    loop {
        line.clear();
        if input.read_line(&mut line)? == 0 {
            return match now {
                None => Ok(()),
                Some(_) => Err(Fault::Line(number, "the input ended inside a batch".to_string())),
            };
        }
        number += 1;
        let fault = |what: String| Fault::Line(number, what);
        let mut fields = Fields::new(line.trim_end_matches(['\n', '\r']));
        match (fields.name, now) {
            ("tick", None) => now = Some(fields.secs("clock").map_err(fault)?),
            ("end", Some(_)) => {
                reply.push_str("eor\n");
                output.write_all(reply.as_bytes())?;
                output.flush()?;
                reply.clear();
                now = None;
            }
            ("", None) => {}
            (name, None) => {
                return Err(Fault::Line(number, format!("expected 'tick', found '{name}'")));
            }
            (name, Some(clock)) => {
                let at: u32 = fields.number("dispatcher").map_err(fault)?;
                if name == "begin" {
                    let mut instance = begin(&mut fields, at).map_err(fault)?;
                    instance.module.start(clock, &mut instance.transport);
                    reply.push_str(&std::mem::take(&mut instance.transport.lines));
                    instances.insert(at, instance);
                    continue;
                }
                if name == "destroy" {
                    instances.remove(&at);
                    continue;
                }
                let mut entries = Vec::new();
                if name == "backends_changed" {
                    fields.expect(4).map_err(fault)?;
                    let count = fields.parts[3].parse::<usize>().map_err(|_| {
                        fault(format!(
                            "backends_changed: entries: expected a count, found '{}'",
                            fields.parts[3]
                        ))
                    })?;
                    for _ in 0..count {
                        let mut text = String::new();
                        input.read_line(&mut text)?;
                        number += 1;
                        entries.push(text.trim_end_matches(['\n', '\r']).to_string());
                    }
                }
                let fault = |what: String| Fault::Line(number, what);
                let Some(instance) = instances.get_mut(&at) else {
                    return Err(fault(format!("{name}: no dispatcher {at}")));
                };
                event(&mut fields, clock, instance, &entries).map_err(fault)?;
                reply.push_str(&instance.transport.lines);
                instance.transport.lines.clear();
            }
        }
    }
}

#[cfg(test)]
#[path = "tests/wire.rs"]
mod tests;
