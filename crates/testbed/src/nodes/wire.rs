//! Attempts as they are read from a connection, and answers as they are written to it.

use super::Copy;
use crate::world::unix_ms;
use copperroute_protocol::incoming::parse_fields;
use std::time::Duration;

/// An attempt as it was read.
#[derive(Debug, Clone, Default)]
pub(super) struct Fetch {
    pub(super) id: String,
    pub(super) lane: String,
    pub(super) name: String,
    pub(super) piece: u64,
    pub(super) source: Option<String>,
    pub(super) rank: u8,
    pub(super) max_age_ms: Option<u64>,
    pub(super) peek: bool,
    pub(super) pass: bool,
}

/// An answer as it is written.
pub(super) struct Reply {
    pub(super) word: &'static str,
    pub(super) why: &'static str,
    pub(super) copy: Option<Copy>,
    pub(super) waited: Duration,
    pub(super) body: Vec<u8>,
}
/// Reads the field list of an attempt.
pub(super) fn read_fetch(id: &str, list: &str) -> Fetch {
    let mut fetch = Fetch { id: id.to_string(), ..Fetch::default() };
    for (name, value) in parse_fields(list) {
        match name {
            "lane" => fetch.lane = value.to_string(),
            "name" => fetch.name = value.to_string(),
            "piece" => fetch.piece = value.parse().unwrap_or_default(),
            "src" => fetch.source = Some(value.to_string()),
            "keep" => fetch.rank = value.parse().unwrap_or_default(),
            "maxage" => fetch.max_age_ms = value.parse().ok(),
            "flags" => (fetch.peek, fetch.pass) = (value.contains("peek"), value.contains("pass")),
            _ => {}
        }
    }
    fetch
}

/// Writes an answer.
pub(super) fn write_reply(id: &str, reply: &Reply) -> Vec<u8> {
    let mut list = match &reply.copy {
        Some(copy) => format!("etag={:016x},made={}", copy.version + 1, copy.made_ms),
        None => format!("etag={:016x},made={}", 1, unix_ms()),
    };
    if !reply.why.is_empty() {
        list += &format!(",why={},ttfb={:.3}", reply.why, reply.waited.as_secs_f64() * 1e3);
    }
    let mut bytes = format!("{id} {} {list} {}\r\n", reply.word, reply.body.len()).into_bytes();
    bytes.extend_from_slice(&reply.body);
    bytes.extend_from_slice(b"\r\n");
    bytes
}
