//! Nodes: lines of words; where the last word is a length, so many bytes follow.

use crate::incoming::{Incoming, Unreadable, fields};
use copperroute::interface::{Nanos, Outcome, Pull, Remark, Report};
use std::fmt::Write as _;

const LONGEST_LINE: usize = 4096;
const LONGEST_BODY: usize = 4 * 1024 * 1024;

/// A pull as it goes to a node.
#[derive(Debug, Clone)]
pub struct Fetch<'a> {
    /// The download's own id.
    pub id: &'a str,
    /// The name of its content type.
    pub content_type: &'a str,
    /// The object.
    pub object: &'a str,
    /// The part of it.
    pub part: u64,
    /// How long it is waited for.
    pub wait: Nanos,
    /// Who fills a miss; nobody if absent.
    pub source: Option<&'a str>,
    /// The pull as it was ordered; its age limit is that of the moment of writing.
    pub order: Pull,
    /// The tag of the client's copy.
    pub held: Option<&'a str>,
    /// What a write brings.
    pub body: &'a [u8],
}

/// A node's answer to a pull.
#[derive(Debug, Clone, PartialEq)]
pub struct Answer {
    /// The id of the download.
    pub id: String,
    /// How the pull ended.
    pub outcome: Outcome,
    /// The client's copy is the one.
    pub current: bool,
    /// How it came about.
    pub remark: Remark,
    /// The time waited for the source.
    pub waited: Option<Nanos>,
    /// The load report.
    pub report: Report,
    /// The bytes.
    pub body: Vec<u8>,
}

/// Whole milliseconds of a span, which never round down to 0, as that stands for none.
fn millis(span: Nanos) -> u64 {
    (span.0 / 1_000_000).max(1)
}

/// Writes a pull to the end of `bytes`.
pub fn encode_fetch(fetch: &Fetch<'_>, bytes: &mut Vec<u8>) {
    let mut line = format!(
        "fetch {} lane={},name={},piece={},ttl={}",
        fetch.id,
        fetch.content_type,
        fetch.object,
        fetch.part,
        millis(fetch.wait)
    );
    // Writing to a string cannot fail.
    let _ = fetch.source.map_or(Ok(()), |source| write!(line, ",src={source}"));
    let order = &fetch.order;
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
    let _ = fetch.held.map_or(Ok(()), |tag| write!(line, ",have={tag}"));
    let _ = write!(line, " {}\r\n", fetch.body.len());
    bytes.extend_from_slice(line.as_bytes());
    bytes.extend_from_slice(fetch.body);
    bytes.extend_from_slice(b"\r\n");
}

/// Writes that a pull is given up to the end of `bytes`.
pub fn encode_abort(id: &str, bytes: &mut Vec<u8>) {
    bytes.extend_from_slice(format!("abort {id}\r\n").as_bytes());
}

/// Decodes what one node answers.
#[derive(Debug, Default)]
pub struct Decoder {
    incoming: Incoming,
    /// An answer whose bytes are still to come, and how many.
    begun: Option<(Answer, usize)>,
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
fn report(pairs: &str) -> Report {
    let mut pairs = pairs.split(';').filter_map(|pair| pair.split_once(':'));
    let in_hand = pairs.find(|pair| pair.0 == "inflight").and_then(|pair| pair.1.parse().ok());
    Report { in_hand: in_hand.filter(|value: &f64| value.is_finite() && *value >= 0.0) }
}

/// The head of an answer and the length of its bytes.
fn head(line: &str) -> Result<(Answer, usize), Unreadable> {
    let unreadable = || Unreadable(format!("expected an answer, found '{line}'"));
    let words: Vec<_> = line.split(' ').collect();
    let [id, word, list, length] = words[..] else { return Err(unreadable()) };
    let length: usize =
        length.parse().ok().filter(|length| *length <= LONGEST_BODY).ok_or_else(unreadable)?;
    let outcome = match word {
        "ok" | "current" => Outcome::Fulfilled,
        "nothing" => Outcome::NotHeld,
        "refused" => Outcome::Refused,
        "error" => Outcome::Failed,
        "stale" => Outcome::NotSent,
        _ => return Err(unreadable()),
    };
    let mut answer = Answer {
        id: id.to_string(),
        outcome,
        current: word == "current",
        remark: Remark::None,
        waited: None,
        report: Report::default(),
        body: Vec::new(),
    };
    for (name, value) in fields(list) {
        match name {
            "why" => answer.remark = remark(value),
            "ttfb" => {
                let waited = value.parse::<f64>().ok().filter(|ms| ms.is_finite() && *ms > 0.0);
                answer.waited = waited.map(|ms| Nanos::from_secs(ms / 1e3));
            }
            "rep" => answer.report = report(value),
            _ => {}
        }
    }
    Ok((answer, length))
}

impl Decoder {
    /// Takes bytes as they came.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.incoming.feed(bytes);
    }

    /// Whether part of an answer has come and the rest has not.
    pub fn is_midway(&self) -> bool {
        self.begun.is_some() || !self.incoming.is_empty()
    }

    /// The next whole answer; an error means that no more can be read here.
    pub fn next_answer(&mut self) -> Result<Option<Answer>, Unreadable> {
        if self.begun.is_none() {
            let Some(line) = self.incoming.line(LONGEST_LINE)? else { return Ok(None) };
            self.begun = Some(head(&line)?);
        }
        let Some((_, length)) = &self.begun else { return Ok(None) };
        let Some(body) = self.incoming.block(*length)? else { return Ok(None) };
        Ok(self.begun.take().map(|(answer, _)| Answer { body, ..answer }))
    }
}
