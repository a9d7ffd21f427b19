//! The protocol of nodes: messages are lines of words. If the last word is a length, that many bytes and a line end
//! follow. Encodes attempts, aborts and probes; decodes the answers.

use crate::hex::Hex;
use crate::incoming::{DecodeError, ReceiveBuffer, parse_decimal, parse_fields};
use copperroute_routing::interface::{Attempt, LoadReport, Nanos, Outcome, Remark};
use std::fmt::Write as _;

/// Limit on the first line of an answer.
const MAX_LINE_BYTES: usize = 1024;
/// Limit on the body of an answer: the largest object.
const MAX_BODY_BYTES: u64 = 240_000;

/// An attempt as it is sent to a node.
#[derive(Debug, Clone)]
pub struct Fetch<'a> {
    /// The request's id.
    pub id: Hex,
    /// The name of the content type.
    pub content_type: &'a str,
    /// The object.
    pub object: Hex,
    /// The part of it.
    pub part: u64,
    /// How long the dispatcher waits for the answer.
    pub timeout: Nanos,
    /// The id of the node from which a miss is filled; a miss is not filled without one.
    pub source: Option<&'a str>,
    /// The attempt as routing ordered it, except that its age limit is the one that holds now.
    pub attempt: Attempt,
    /// The tag of the copy in the client's cache.
    pub cached_tag: Option<Hex>,
    /// The idempotency key of the request.
    pub idempotency_key: Option<&'a str>,
    /// The body of a write.
    pub body: &'a [u8],
}

/// A node's answer to an attempt.
#[derive(Debug, Clone, PartialEq)]
pub struct Answer {
    /// The id of the request; `None` if it is not a valid id.
    pub id: Option<Hex>,
    /// How the attempt ended.
    pub outcome: Outcome,
    /// The copy in the client's cache is current.
    pub not_modified: bool,
    /// The tag of the copy, and the Unix time in milliseconds at which it was made, if the answer has both.
    pub copy: Option<(Hex, u64)>,
    /// How the outcome came about.
    pub remark: Remark,
    /// How long the node waited for the first byte of the fill source.
    pub first_byte_wait: Option<Nanos>,
    /// The load report of the node.
    pub report: LoadReport,
    /// The body.
    pub body: Vec<u8>,
}

/// A message of a node.
#[derive(Debug, Clone, PartialEq)]
pub enum Message {
    /// An attempt has ended.
    Answer(Answer),
    /// The answer to a probe.
    ProbeAnswer {
        /// The probe's tag; `None` if it is not a valid tag.
        tag: Option<Hex>,
        /// The node takes work.
        takes_work: bool,
    },
}

/// Whole milliseconds of a span, at least 1, as 0 means no limit in the protocol.
fn millis(span: Nanos) -> u64 {
    (span.0 / 1_000_000).max(1)
}

/// Appends an attempt to `bytes`.
pub fn encode_fetch(fetch: &Fetch<'_>, bytes: &mut Vec<u8>) {
    let mut line = format!(
        "fetch {} lane={},name={},piece={},ttl={}",
        fetch.id,
        fetch.content_type,
        fetch.object,
        fetch.part,
        millis(fetch.timeout)
    );
    // Writing to a string can't fail.
    let _ = fetch.source.map_or(Ok(()), |source| write!(line, ",src={source}"));
    let order = &fetch.attempt;
    let _ = if order.rank > 0 { write!(line, ",keep={}", order.rank) } else { Ok(()) };
    let _ = order.max_age.map_or(Ok(()), |age| write!(line, ",maxage={}", millis(age)));
    let flags = [
        (order.join, "share"),
        (order.held_only, "peek"),
        (order.no_parent_copy, "pass"),
        (order.renew, "swr"),
    ];
    let flags: Vec<_> = flags.iter().filter(|flag| flag.0).map(|flag| flag.1).collect();
    let _ = if flags.is_empty() { Ok(()) } else { write!(line, ",flags={}", flags.join("+")) };
    let _ = fetch.cached_tag.map_or(Ok(()), |tag| write!(line, ",have={tag}"));
    let _ = fetch.idempotency_key.map_or(Ok(()), |mark| write!(line, ",dedupe={mark}"));
    let _ = write!(line, " {}\r\n", fetch.body.len());
    bytes.extend_from_slice(line.as_bytes());
    bytes.extend_from_slice(fetch.body);
    bytes.extend_from_slice(b"\r\n");
}

/// Appends to `bytes` that the attempt of a request is aborted.
pub fn encode_abort(id: Hex, bytes: &mut Vec<u8>) {
    bytes.extend_from_slice(format!("abort {id}\r\n").as_bytes());
}

/// Appends a probe to `bytes`, which asks whether the node takes work.
pub fn encode_probe(tag: Hex, bytes: &mut Vec<u8>) {
    bytes.extend_from_slice(format!("alive {tag}\r\n").as_bytes());
}

/// Decodes the messages of one node.
#[derive(Debug, Default)]
pub struct Decoder {
    incoming: ReceiveBuffer,
    /// A message whose body is not complete, and the length of the body.
    partial: Option<(Message, usize)>,
}

fn parse_remark(word: &str) -> Remark {
    match word {
        "local" => Remark::Hit,
        "pulled" => Remark::FilledFromCopy,
        "pulled_far" => Remark::FilledFromOrigin,
        "rode" => Remark::Joined,
        "expired" => Remark::Aged,
        "turned_away" => Remark::SourceRefused,
        "cut_off" => Remark::SourceLost,
        "not_there" => Remark::SourceHasNone,
        "no_place" => Remark::NoFillPlace,
        "far_fault" => Remark::OriginFailed,
        _ => Remark::None,
    }
}

/// Parses a load report; unknown values and invalid numbers are ignored.
fn parse_report(pairs: &str) -> LoadReport {
    let pairs = pairs.split(';').filter_map(|pair| pair.split_once(':'));
    let value = |name: &str| {
        let found = pairs.clone().find(|pair| pair.0 == name).and_then(|pair| pair.1.parse().ok());
        found.filter(|value: &f64| value.is_finite() && *value >= 0.0)
    };
    LoadReport { in_flight: value("inflight"), busy: value("util") }
}

/// Parses the first line of a message; returns the message and the length of its body.
fn parse_head(line: &str) -> Result<(Message, usize), DecodeError> {
    let shown: String = line.chars().take(80).collect();
    let invalid = || DecodeError(format!("expected an answer, found '{}'", shown.escape_debug()));
    let words: Vec<_> = line.split(' ').collect();
    let [id, word, list, length] = words[..] else { return Err(invalid()) };
    let length = parse_decimal(length, MAX_BODY_BYTES).ok_or_else(invalid)? as usize;
    let outcome = match word {
        "yes" | "no" => {
            return Ok((Message::ProbeAnswer { tag: Hex::parse(id), takes_work: word == "yes" }, length));
        }
        "ok" | "current" => Outcome::Served,
        "nothing" => Outcome::Missed,
        "refused" => Outcome::Refused,
        "error" => Outcome::Failed,
        "stale" => Outcome::NotSent,
        _ => return Err(invalid()),
    };
    let mut answer = Answer {
        id: Hex::parse(id),
        outcome,
        not_modified: word == "current",
        copy: None,
        remark: Remark::None,
        first_byte_wait: None,
        report: LoadReport::default(),
        body: Vec::new(),
    };
    let (mut tag, mut made) = (None, None);
    for (name, value) in parse_fields(list) {
        match name {
            "etag" => tag = Hex::parse(value),
            "made" => made = parse_decimal(value, u64::MAX),
            "why" => answer.remark = parse_remark(value),
            "ttfb" => {
                let waited = value.parse::<f64>().ok().filter(|ms| ms.is_finite() && *ms > 0.0);
                answer.first_byte_wait = waited.map(|ms| Nanos::from_secs(ms / 1e3));
            }
            "rep" => answer.report = parse_report(value),
            _ => {}
        }
    }
    answer.copy = tag.zip(made);
    Ok((Message::Answer(answer), length))
}

impl Decoder {
    /// Appends received bytes.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.incoming.feed(bytes);
    }

    /// Releases memory that is not needed until more bytes arrive.
    pub fn release_spare_memory(&mut self) {
        self.incoming.release_spare_memory();
    }

    /// The memory that an incomplete message takes, in bytes.
    pub fn held_bytes(&self) -> usize {
        self.incoming.held_bytes()
    }

    /// Whether an incomplete message has been received.
    pub fn has_partial_message(&self) -> bool {
        self.partial.is_some() || !self.incoming.is_empty()
    }

    /// Decodes the next complete message; after an error the connection can't be decoded further.
    pub fn next_message(&mut self) -> Result<Option<Message>, DecodeError> {
        if self.partial.is_none() {
            let Some(line) = self.incoming.take_line(MAX_LINE_BYTES)? else { return Ok(None) };
            self.partial = Some(parse_head(&line)?);
        }
        let Some((_, length)) = &self.partial else { return Ok(None) };
        let Some(body) = self.incoming.take_block(*length)? else { return Ok(None) };
        Ok(self.partial.take().map(|(message, _)| match message {
            Message::Answer(answer) => Message::Answer(Answer { body, ..answer }),
            alive @ Message::ProbeAnswer { .. } => alive,
        }))
    }
}
