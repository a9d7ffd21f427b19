//! Clients: RESP arrays of bulk strings.

use crate::hex::Hex;
use crate::incoming::{DecodeError, ReceiveBuffer, parse_decimal};

/// The most bytes of each item of a message: verb, tag, content type, fields, body.
const ITEMS: [usize; 5] = [16, 20, 128, 4096, 48_000];
const LONGEST_LINE: usize = 32;
const MOST_TAG: u64 = u64::MAX;
const MOST_PART: u64 = u32::MAX as u64;
const MOST_GROUP: u64 = 255;
const LONGEST_MARK: usize = 64;
/// Sizes are told in KB; no object has a terabyte.
const MOST_KB: f64 = 1e9;

/// A request as a client asks for it.
#[derive(Debug, Clone, PartialEq)]
pub struct Request {
    /// The name of its content type.
    pub content_type: String,
    /// Its own id, passed on unchanged.
    pub id: Hex,
    /// How long the client waits, in milliseconds.
    pub timeout_ms: u64,
    /// A client's retry.
    pub is_retry: bool,
    /// The object.
    pub object: Hex,
    /// The part of it.
    pub part: u64,
    /// The group of the object.
    pub group: Option<u64>,
    /// The size of the part, as the deployment counts it.
    pub size_kb: Option<f64>,
    /// The tag of a copy that the client holds.
    pub cached_tag: Option<Hex>,
    /// The mark by which a repeat of a deduped request is known, passed on unchanged.
    pub idempotency_key: Option<String>,
    /// What a write brings.
    pub body: Vec<u8>,
}

/// What a client sends.
#[derive(Debug, Clone, PartialEq)]
pub enum Message {
    /// Asks for a request under a tag.
    Request(u64, Box<Request>),
    /// A framed request whose fields can't be used, and why.
    Unusable(u64, String),
    /// Waits no more for what it asked under a tag.
    Abort(u64),
    /// Asks whether the dispatcher serves.
    Health(u64),
}

/// The word of an answer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Answer<'a> {
    /// Served, with the bytes.
    Served(&'a [u8]),
    /// Served: the client's own copy is the one.
    NotModified,
    /// Trying again is harmless, after so many milliseconds if given.
    Rejected(Option<u64>),
    /// Nothing is promised.
    Failed,
    /// The dispatcher serves.
    Up,
    /// It does not, or not any more.
    Down,
}

/// Decodes what one client sends.
#[derive(Debug, Default)]
pub struct Decoder {
    incoming: ReceiveBuffer,
    /// Items still to come of the array at hand.
    missing: usize,
    /// The length of the item at hand.
    length: Option<usize>,
    items: Vec<Vec<u8>>,
}

fn count(line: &str, mark: char, most: usize) -> Result<usize, DecodeError> {
    let number = line.strip_prefix(mark).and_then(|number| parse_decimal(number, most as u64));
    let expected = || DecodeError(format!("expected '{mark}' and a length up to {most}, found '{line}'"));
    number.map(|number| number as usize).ok_or_else(expected)
}

/// A size as it is written: digits, with or without a fraction.
fn size(value: &str) -> Option<f64> {
    let plain = value.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
    value.parse().ok().filter(|kb| plain && *kb > 0.0 && *kb <= MOST_KB)
}

/// A mark as it may stand in a list of fields.
fn mark(value: &str) -> Option<String> {
    let plain = value.bytes().all(|byte| byte.is_ascii_alphanumeric() || b"-_.:/+".contains(&byte));
    (plain && (1..=LONGEST_MARK).contains(&value.len())).then(|| value.to_string())
}

/// Reads a list of fields: each of those known once at most and of its form and range; others are passed over.
fn request(content_type: &[u8], list: &[u8], body: Vec<u8>) -> Result<Request, String> {
    let text = |bytes| std::str::from_utf8(bytes).map_err(|_| "a field that is no UTF-8".to_string());
    let names = ["req", "timeout", "resent", "subject", "block", "family", "need", "cached", "opkey"];
    let mut values: [Option<&str>; 9] = [None; 9];
    for pair in text(list)?.split(',') {
        let (name, value) = pair.split_once('=').ok_or_else(|| format!("'{pair}' is no field"))?;
        if let Some(at) = names.iter().position(|known| *known == name)
            && values[at].replace(value).is_some()
        {
            return Err(format!("{name}: given twice"));
        }
    }
    let wrong = |at: usize| format!("{}: can't be '{}'", names[at], values[at].unwrap_or_default());
    let hex = |at: usize| values[at].map(|value| Hex::parse(value).ok_or_else(|| wrong(at))).transpose();
    let number = |at: usize, most: u64| {
        values[at].map(|value| parse_decimal(value, most).ok_or_else(|| wrong(at))).transpose()
    };
    Ok(Request {
        content_type: text(content_type)?.to_string(),
        id: hex(0)?.ok_or_else(|| wrong(0))?,
        timeout_ms: number(1, u64::MAX)?.filter(|ms| *ms > 0).ok_or_else(|| wrong(1))?,
        is_retry: number(2, 1)? == Some(1),
        object: hex(3)?.ok_or_else(|| wrong(3))?,
        part: number(4, MOST_PART)?.unwrap_or_default(),
        group: number(5, MOST_GROUP)?,
        size_kb: values[6].map(|value| size(value).ok_or_else(|| wrong(6))).transpose()?,
        cached_tag: hex(7)?,
        idempotency_key: values[8].map(|value| mark(value).ok_or_else(|| wrong(8))).transpose()?,
        body,
    })
}

impl Decoder {
    /// Takes bytes as they came.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.incoming.feed(bytes);
    }

    /// Whether part of a message has come and the rest has not.
    pub fn has_partial_message(&self) -> bool {
        self.missing > 0 || !self.incoming.is_empty()
    }

    /// Lets go of room that is not needed until more comes.
    pub fn release_spare_memory(&mut self) {
        self.incoming.release_spare_memory();
    }

    /// Bytes that wait for the rest of their message.
    pub fn buffered_bytes(&self) -> usize {
        self.incoming.len() + self.items.iter().map(Vec::len).sum::<usize>()
    }

    /// The next whole message; an error means that no more can be read here.
    pub fn next_message(&mut self) -> Result<Option<Message>, DecodeError> {
        while self.missing > 0 || self.items.is_empty() {
            if self.missing == 0 {
                let Some(line) = self.incoming.take_line(LONGEST_LINE)? else { return Ok(None) };
                self.missing = count(&line, '*', ITEMS.len())?;
                if self.missing == 0 {
                    return Err(DecodeError("an empty array".into()));
                }
            }
            if self.length.is_none() {
                let Some(line) = self.incoming.take_line(LONGEST_LINE)? else { return Ok(None) };
                self.length = Some(count(&line, '$', ITEMS[self.items.len()])?);
            }
            let Some(item) = self.incoming.take_block(self.length.unwrap_or_default())? else {
                return Ok(None);
            };
            self.items.push(item);
            self.length = None;
            self.missing -= 1;
        }
        Self::message(std::mem::take(&mut self.items)).map(Some)
    }

    fn message(items: Vec<Vec<u8>>) -> Result<Message, DecodeError> {
        let mut items = items.into_iter();
        let verb = items.next().unwrap_or_default();
        let tag = items.next().unwrap_or_default();
        let tag = std::str::from_utf8(&tag)
            .ok()
            .and_then(|tag| parse_decimal(tag, MOST_TAG))
            .filter(|tag| *tag > 0);
        let tag = tag.ok_or_else(|| DecodeError("a message without a tag".into()))?;
        match verb.as_slice() {
            b"REQ" if items.len() < 2 => Ok(Message::Unusable(tag, "a request without its fields".into())),
            b"REQ" => {
                let mut next = || items.next().unwrap_or_default();
                let (content_type, list, body) = (next(), next(), next());
                Ok(match request(&content_type, &list, body) {
                    Ok(request) => Message::Request(tag, Box::new(request)),
                    Err(why) => Message::Unusable(tag, why),
                })
            }
            b"ABORT" => Ok(Message::Abort(tag)),
            b"HEALTH" => Ok(Message::Health(tag)),
            other => Ok(Message::Unusable(tag, format!("unknown verb '{}'", other.escape_ascii()))),
        }
    }
}

impl Answer<'_> {
    /// The word that it is written with.
    pub fn word(&self) -> &'static str {
        match self {
            Answer::Served(_) | Answer::NotModified => "OK",
            Answer::Rejected(_) => "BUSY",
            Answer::Failed => "FAILED",
            Answer::Up => "UP",
            Answer::Down => "DOWN",
        }
    }
}

/// An answer under a tag.
pub fn encode(tag: u64, answer: Answer<'_>) -> Vec<u8> {
    let (fields, body): (String, &[u8]) = match answer {
        Answer::Served(body) => (String::new(), body),
        Answer::NotModified => ("keep=1".into(), b""),
        Answer::Rejected(Some(ms)) => (format!("holdoff={ms}"), b""),
        _ => (String::new(), b""),
    };
    let word = answer.word();
    let tag = tag.to_string();
    let items = [tag.as_bytes(), word.as_bytes(), fields.as_bytes(), body];
    let mut bytes = Vec::with_capacity(body.len() + fields.len() + 64);
    bytes.extend_from_slice(b"*4\r\n");
    for item in items {
        bytes.extend_from_slice(format!("${}\r\n", item.len()).as_bytes());
        bytes.extend_from_slice(item);
        bytes.extend_from_slice(b"\r\n");
    }
    bytes
}
