//! Nodes: lines of words; where the last word is a length, so many bytes follow.

use crate::hex::Hex;
use crate::incoming::{DecodeError, ReceiveBuffer, parse_decimal, parse_fields};
use copperroute_routing::interface::{Attempt, LoadReport, Nanos, Outcome, Remark};
use std::fmt::Write as _;

const LONGEST_LINE: usize = 1024;
/// What an object holds at most.
const LONGEST_BODY: u64 = 240_000;

/// An attempt as it goes to a node.
#[derive(Debug, Clone)]
pub struct Fetch<'a> {
    /// The request's own id.
    pub id: Hex,
    /// The name of its content type.
    pub content_type: &'a str,
    /// The object.
    pub object: Hex,
    /// The part of it.
    pub part: u64,
    /// How long it is waited for.
    pub timeout: Nanos,
    /// Who fills a miss; nobody if absent.
    pub source: Option<&'a str>,
    /// The attempt as it was ordered; its age limit is that of the moment of writing.
    pub attempt: Attempt,
    /// The tag of the client's copy.
    pub cached_tag: Option<Hex>,
    /// The mark by which a repeat is known.
    pub idempotency_key: Option<&'a str>,
    /// What a write brings.
    pub body: &'a [u8],
}

/// A node's answer to an attempt.
#[derive(Debug, Clone, PartialEq)]
pub struct Answer {
    /// The id of the request; nothing if it has not the form of one.
    pub id: Option<Hex>,
    /// How the attempt ended.
    pub outcome: Outcome,
    /// The client's copy is the one.
    pub not_modified: bool,
    /// The tag of the copy and the Unix millisecond at which it was made, where both are told.
    pub copy: Option<(Hex, u64)>,
    /// How it came about.
    pub remark: Remark,
    /// The time waited for the source.
    pub first_byte_wait: Option<Nanos>,
    /// The load report.
    pub report: LoadReport,
    /// The bytes.
    pub body: Vec<u8>,
}

/// What a node says.
#[derive(Debug, Clone, PartialEq)]
pub enum Message {
    /// An attempt has ended.
    Answer(Answer),
    /// A probe is answered.
    ProbeAnswer {
        /// The probe's tag; nothing if it has not the form of one.
        tag: Option<Hex>,
        /// The node takes work.
        takes_work: bool,
    },
}

/// Whole milliseconds of a span, which never round down to 0, as that stands for none.
fn millis(span: Nanos) -> u64 {
    (span.0 / 1_000_000).max(1)
}

/// Writes an attempt to the end of `bytes`.
pub fn encode_fetch(fetch: &Fetch<'_>, bytes: &mut Vec<u8>) {
    let mut line = format!(
        "fetch {} lane={},name={},piece={},ttl={}",
        fetch.id,
        fetch.content_type,
        fetch.object,
        fetch.part,
        millis(fetch.timeout)
    );
    // Writing to a string cannot fail.
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

/// Writes that an attempt is given up to the end of `bytes`.
pub fn encode_abort(id: Hex, bytes: &mut Vec<u8>) {
    bytes.extend_from_slice(format!("abort {id}\r\n").as_bytes());
}

/// Writes a probe to the end of `bytes`: whether the node takes work.
pub fn encode_probe(tag: Hex, bytes: &mut Vec<u8>) {
    bytes.extend_from_slice(format!("alive {tag}\r\n").as_bytes());
}

/// Decodes what one node answers.
#[derive(Debug, Default)]
pub struct Decoder {
    incoming: ReceiveBuffer,
    /// A message whose bytes are still to come, and how many.
    begun: Option<(Message, usize)>,
}

fn remark(word: &str) -> Remark {
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

/// A load report; values that are not read, or are no numbers, are passed over.
fn report(pairs: &str) -> LoadReport {
    let pairs = pairs.split(';').filter_map(|pair| pair.split_once(':'));
    let value = |name: &str| {
        let found = pairs.clone().find(|pair| pair.0 == name).and_then(|pair| pair.1.parse().ok());
        found.filter(|value: &f64| value.is_finite() && *value >= 0.0)
    };
    LoadReport { in_flight: value("inflight"), busy: value("util") }
}

/// The head of a message and the length of its bytes.
fn head(line: &str) -> Result<(Message, usize), DecodeError> {
    let shown: String = line.chars().take(80).collect();
    let unreadable = || DecodeError(format!("expected an answer, found '{}'", shown.escape_debug()));
    let words: Vec<_> = line.split(' ').collect();
    let [id, word, list, length] = words[..] else { return Err(unreadable()) };
    let length = parse_decimal(length, LONGEST_BODY).ok_or_else(unreadable)? as usize;
    let outcome = match word {
        "yes" | "no" => {
            return Ok((Message::ProbeAnswer { tag: Hex::parse(id), takes_work: word == "yes" }, length));
        }
        "ok" | "current" => Outcome::Served,
        "nothing" => Outcome::Missed,
        "refused" => Outcome::Refused,
        "error" => Outcome::Failed,
        "stale" => Outcome::NotSent,
        _ => return Err(unreadable()),
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
            "why" => answer.remark = remark(value),
            "ttfb" => {
                let waited = value.parse::<f64>().ok().filter(|ms| ms.is_finite() && *ms > 0.0);
                answer.first_byte_wait = waited.map(|ms| Nanos::from_secs(ms / 1e3));
            }
            "rep" => answer.report = report(value),
            _ => {}
        }
    }
    answer.copy = tag.zip(made);
    Ok((Message::Answer(answer), length))
}

impl Decoder {
    /// Takes bytes as they came.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.incoming.feed(bytes);
    }

    /// Lets go of room that is not needed until more comes.
    pub fn release_spare_memory(&mut self) {
        self.incoming.release_spare_memory();
    }

    /// Whether part of a message has come and the rest has not.
    pub fn has_partial_message(&self) -> bool {
        self.begun.is_some() || !self.incoming.is_empty()
    }

    /// The next whole message; an error means that no more can be read here.
    pub fn next_message(&mut self) -> Result<Option<Message>, DecodeError> {
        if self.begun.is_none() {
            let Some(line) = self.incoming.take_line(LONGEST_LINE)? else { return Ok(None) };
            self.begun = Some(head(&line)?);
        }
        let Some((_, length)) = &self.begun else { return Ok(None) };
        let Some(body) = self.incoming.take_block(*length)? else { return Ok(None) };
        Ok(self.begun.take().map(|(message, _)| match message {
            Message::Answer(answer) => Message::Answer(Answer { body, ..answer }),
            alive @ Message::ProbeAnswer { .. } => alive,
        }))
    }
}
