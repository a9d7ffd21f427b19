//! The simulator's protocol: batches of tab-separated lines in, one reply to each batch out.
//!
//! A batch starts with `tick` and the simulated time in seconds, and ends with `end`. Between them each line is a
//! message for one simulated dispatcher, named by its number. The reply holds the lines that the dispatchers sent, and
//! ends with `eor`. [`serve`] is called once and runs until the input ends.

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

/// The error that stopped the adapter.
#[derive(Debug)]
pub(crate) enum AdapterError {
    /// A line that the protocol does not allow: its number, counted from 1, and a description.
    MalformedLine(u64, String),
    /// Reading standard input or writing standard output failed.
    Io(std::io::Error),
}

impl fmt::Display for AdapterError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            AdapterError::MalformedLine(number, description) => write!(f, "line {number}: {description}"),
            AdapterError::Io(error) => write!(f, "standard input or output: {error}"),
        }
    }
}

impl From<std::io::Error> for AdapterError {
    fn from(error: std::io::Error) -> Self {
        AdapterError::Io(error)
    }
}

/// One simulated dispatcher: the routing policy and its transport.
struct Instance {
    policy: Dispatcher,
    transport: StdioTransport,
    /// The number of configured content types.
    type_count: u32,
}

/// The tab-separated values of a line, read in order.
struct Fields<'a> {
    name: &'a str,
    values: Vec<&'a str>,
    /// The index of the next value to read.
    next: usize,
}

impl<'a> Fields<'a> {
    fn new(line: &'a str) -> Self {
        let mut values = line.split('\t');
        let name = values.next().unwrap_or_default();
        Fields { name, values: values.collect(), next: 0 }
    }

    /// Checks the number of values.
    fn expect_count(&self, count: usize) -> Result<(), String> {
        if self.values.len() == count {
            return Ok(());
        }
        Err(format!("{}: expected {count} values, found {}", self.name, self.values.len()))
    }

    fn text(&mut self, field: &str) -> Result<&'a str, String> {
        let value = self.values.get(self.next).copied();
        self.next += 1;
        value.ok_or_else(|| format!("{}: {field} is missing", self.name))
    }

    /// A number, or none for `-`.
    fn optional_number<T: FromStr>(&mut self, field: &str) -> Result<Option<T>, String> {
        let text = self.text(field)?;
        if text == "-" {
            return Ok(None);
        }
        let value = text.parse();
        value.map(Some).map_err(|_| format!("{}: {field}: expected a number, found '{text}'", self.name))
    }

    fn number<T: FromStr>(&mut self, field: &str) -> Result<T, String> {
        self.optional_number(field)?.ok_or_else(|| format!("{}: {field} may not be absent", self.name))
    }

    /// A time or time span in seconds; 0 for `-`.
    fn secs(&mut self, field: &str) -> Result<Nanos, String> {
        let secs = self.optional_number::<f64>(field)?.unwrap_or(0.0);
        if secs.is_finite() && secs >= 0.0 {
            return Ok(Nanos::from_secs(secs));
        }
        Err(format!("{}: {field}: expected seconds, found '{secs}'", self.name))
    }
}

/// Translates the protocol's result code of an attempt.
fn parse_outcome(code: &str) -> Result<Outcome, String> {
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

/// Translates the protocol's number of a remark; an unknown number is no remark.
fn parse_remark(number: u32) -> Remark {
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

/// Parses a load report from `name:value` pairs. Unknown names and values that are not finite non-negative numbers
/// are ignored.
fn parse_report(pairs: &str) -> LoadReport {
    let value = |name: &str| {
        let pair = pairs.split(',').filter_map(|pair| pair.split_once(':')).find(|pair| pair.0 == name)?;
        pair.1.parse().ok().filter(|value: &f64| value.is_finite() && *value >= 0.0)
    };
    LoadReport { in_flight: value("busy_reqs"), busy: value("cpu_share") }
}

/// Parses a line of a node list.
fn parse_entry(fields: &mut Fields<'_>, transport: &mut StdioTransport) -> Result<NodeEntry, String> {
    if fields.name != "m" {
        return Err(format!("expected an entry 'm', found '{}'", fields.name));
    }
    fields.expect_count(7)?;
    let address = fields.text("host")?;
    Ok(NodeEntry {
        node: transport.assign_node(address),
        hash: stable_hash(address.as_bytes()),
        zone: ZoneId(fields.number("campus")?),
        kind: fields.number("family_type")?,
        cell: fields.optional_number("pack")?.unwrap_or(UNKNOWN_ID),
        readiness: match fields.number::<u32>("readiness")? {
            0 => Readiness::Gone,
            1 => Readiness::Ready,
            2 => Readiness::Draining,
            other => return Err(format!("m: readiness: expected 0, 1 or 2, found '{other}'")),
        },
        weight: fields.optional_number("capacity_hint")?.unwrap_or(1.0),
        started: fields.secs("since_s")?,
    })
}

/// Creates the dispatcher with this number from the options of a `begin` message.
fn create_instance(fields: &mut Fields<'_>, number: u32) -> Result<Instance, String> {
    let seed = fields.number("init_seed")?;
    let settings = Options::from_pairs(&fields.values[fields.next..])?.settings(seed)?;
    let type_count = settings.content_types.len() as u32;
    Ok(Instance { policy: Dispatcher::new(settings), transport: StdioTransport::new(number), type_count })
}

/// Passes one message to the routing policy. `entries` holds the node list lines that follow a `backends_changed`
/// message.
fn handle_event(
    fields: &mut Fields<'_>,
    now: Nanos,
    Instance { policy, transport, type_count }: &mut Instance,
    entries: &[String],
) -> Result<(), String> {
    match fields.name {
        "backends_changed" => {
            let how: u32 = fields.number("how")?;
            let mut nodes = Vec::with_capacity(entries.len());
            for line in entries {
                nodes.push(parse_entry(&mut Fields::new(line), transport)?);
            }
            match how {
                0 => policy.nodes_changed(now, &nodes, transport),
                1 | 2 => policy.node_list_replaced(now, &nodes, transport),
                3 => policy.subscription_failed(now, transport),
                other => return Err(format!("backends_changed: how: expected 0 to 3, found '{other}'")),
            }
        }
        "request" => {
            fields.expect_count(10)?;
            let id = fields.number("id")?;
            let content_type = TypeId(fields.number("priority")?);
            let name = fields.text("resource")?;
            let deadline = fields.secs("drop_dead_s")?;
            let bits: u32 = fields.optional_number("state_bits")?.unwrap_or(0);
            let size: Option<f64> = fields.optional_number("kbytes")?;
            let part: u64 = fields.optional_number("chunk")?.unwrap_or(0);
            let group = fields.optional_number("group")?;
            let object_hash = stable_hash(name.as_bytes());
            if content_type.0 >= *type_count {
                return Err(format!("request: priority: no content type {}", content_type.0));
            }
            let object = transport.assign_object(name, part);
            let request_id = transport.assign_request(id);
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
            policy.request_arrived(now, &routing_request, transport);
        }
        "ack_first" => {
            fields.expect_count(5)?;
            if let Some(request_id) = transport.find_request(fields.number("id")?) {
                policy.first_byte(now, request_id, fields.number("n")?, transport);
            }
        }
        "report_back" => {
            fields.expect_count(10)?;
            let request_id = transport.find_request(fields.number("id")?);
            let outcome = parse_outcome(fields.text("state_code")?)?;
            let duration = fields.secs("rtt_s")?;
            let completes_request = fields.number::<u32>("no_more")? == 1;
            let number = fields.number("n")?;
            let _host = fields.text("host")?;
            let first_byte_wait = Some(fields.secs("waited_s")?).filter(|span| span.0 > 0);
            let remark = parse_remark(fields.optional_number("remark")?.unwrap_or(0));
            let report = parse_report(fields.text("health_info")?);
            if let Some(request_id) = request_id {
                let end =
                    AttemptEnd { outcome, duration, completes_request, first_byte_wait, remark, report };
                policy.attempt_ended(now, request_id, number, &end, transport);
            }
        }
        "client_gone" => {
            fields.expect_count(2)?;
            if let Some(request_id) = transport.find_request(fields.number("id")?) {
                policy.client_gone(now, request_id, transport);
            }
        }
        "elapsed" => {
            fields.expect_count(2)?;
            policy.timer(now, fields.number("key_back")?, transport);
        }
        "ping_result" => {
            fields.expect_count(5)?;
            let _rtt = fields.secs("rtt_s")?;
            let host = fields.text("host")?;
            let passed = parse_outcome(fields.text("state_code")?)? == Outcome::Served;
            let report = parse_report(fields.text("health_info")?);
            if let Some(node) = transport.find_node(host).filter(|_| passed) {
                policy.load_probe_answered(now, node, report);
            }
        }
        "voided" => {
            fields.expect_count(4)?;
            let name = fields.text("resource")?;
            let group: Option<u64> = fields.optional_number("set_no")?;
            let age = fields.secs("age_span_s")?;
            match name {
                "-" | "0" | "" => policy.group_purged(now, group.unwrap_or(0), age, transport),
                name => policy.object_purged(now, stable_hash(name.as_bytes()), age, transport),
            }
        }
        // Messages from other dispatchers are ignored.
        "whisper" => {}
        other => return Err(format!("unknown message '{other}'")),
    }
    Ok(())
}

/// Answers each batch until the input ends. Fails on the first malformed line, and when the input ends inside a batch.
pub(crate) fn serve(mut input: impl BufRead, mut output: impl Write) -> Result<(), AdapterError> {
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
                Some(_) => {
                    Err(AdapterError::MalformedLine(number, "the input ended inside a batch".to_string()))
                }
            };
        }
        number += 1;
        let malformed = |description: String| AdapterError::MalformedLine(number, description);
        let mut fields = Fields::new(line.trim_end_matches(['\n', '\r']));
        match (fields.name, now) {
            ("tick", None) => now = Some(fields.secs("clock").map_err(malformed)?),
            ("end", Some(_)) => {
                reply.push_str("eor\n");
                output.write_all(reply.as_bytes())?;
                output.flush()?;
                reply.clear();
                now = None;
            }
            ("", None) => {}
            (name, None) => {
                return Err(AdapterError::MalformedLine(number, format!("expected 'tick', found '{name}'")));
            }
            (name, Some(clock)) => {
                let dispatcher: u32 = fields.number("dispatcher").map_err(malformed)?;
                if name == "begin" {
                    let mut instance = create_instance(&mut fields, dispatcher).map_err(malformed)?;
                    instance.policy.start(clock, &mut instance.transport);
                    reply.push_str(&std::mem::take(&mut instance.transport.lines));
                    instances.insert(dispatcher, instance);
                    continue;
                }
                if name == "destroy" {
                    instances.remove(&dispatcher);
                    continue;
                }
                let mut entries = Vec::new();
                if name == "backends_changed" {
                    fields.expect_count(4).map_err(malformed)?;
                    let count = fields.values[3].parse::<usize>().map_err(|_| {
                        malformed(format!(
                            "backends_changed: entries: expected a count, found '{}'",
                            fields.values[3]
                        ))
                    })?;
                    for _ in 0..count {
                        let mut text = String::new();
                        input.read_line(&mut text)?;
                        number += 1;
                        entries.push(text.trim_end_matches(['\n', '\r']).to_string());
                    }
                }
                let malformed = |description: String| AdapterError::MalformedLine(number, description);
                let Some(instance) = instances.get_mut(&dispatcher) else {
                    return Err(malformed(format!("{name}: no dispatcher {dispatcher}")));
                };
                handle_event(&mut fields, clock, instance, &entries).map_err(malformed)?;
                reply.push_str(&instance.transport.lines);
                instance.transport.lines.clear();
            }
        }
    }
}

#[cfg(test)]
#[path = "tests/wire.rs"]
mod tests;
