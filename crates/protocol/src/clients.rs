//! The protocol of clients: messages are RESP arrays of bulk strings. Decodes requests, aborts and health checks;
//! encodes the answers.

use crate::hex::Hex;
use crate::incoming::{DecodeError, ReceiveBuffer, parse_decimal};

/// Limits in bytes on the items of a message: verb, tag, content type, fields, body.
const MAX_ITEM_BYTES: [usize; 5] = [16, 20, 128, 4096, 48_000];
const MAX_LINE_BYTES: usize = 32;
const MAX_TAG: u64 = u64::MAX;
const MAX_PART: u64 = u32::MAX as u64;
const MAX_GROUP: u64 = 255;
const MAX_KEY_BYTES: usize = 64;
/// Limit on sizes, which are in KB: one terabyte.
const MAX_KB: f64 = 1e9;

/// A request as a client sends it.
#[derive(Debug, Clone, PartialEq)]
pub struct Request {
    /// The name of its content type.
    pub content_type: String,
    /// The request's id, passed on unchanged.
    pub id: Hex,
    /// How long the client waits for the answer, in milliseconds.
    pub timeout_ms: u64,
    /// The client marks this request as a retry.
    pub is_retry: bool,
    /// The object.
    pub object: Hex,
    /// The part of it.
    pub part: u64,
    /// The group of the object.
    pub group: Option<u64>,
    /// The size of the part in KB, as the deployment counts it.
    pub size_kb: Option<f64>,
    /// The tag of the copy in the client's cache.
    pub cached_tag: Option<Hex>,
    /// The idempotency key, passed on unchanged: nodes use it to recognise a request that they have run.
    pub idempotency_key: Option<String>,
    /// The body of a write.
    pub body: Vec<u8>,
}

/// What a client sends.
#[derive(Debug, Clone, PartialEq)]
pub enum Message {
    /// A request under a tag.
    Request(u64, Box<Request>),
    /// A request whose body was discarded, and how long the client waits for the answer, in milliseconds.
    WithoutBody(u64, u64),
    /// A complete request whose fields can't be used, and why.
    Unusable(u64, String),
    /// The client no longer waits for the request under a tag.
    Abort(u64),
    /// A health check: asks whether the dispatcher serves.
    Health(u64),
}

/// An answer to a client.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Answer<'a> {
    /// Served, with the bytes.
    Served(&'a [u8]),
    /// Served: the copy in the client's cache is current.
    NotModified,
    /// Rejected without having run, so a retry is safe; with the retry-after in milliseconds, if any.
    Rejected(Option<u64>),
    /// Failed; it is unknown whether the request has run.
    Failed,
    /// The dispatcher serves.
    Up,
    /// The dispatcher does not serve yet, or no longer.
    Down,
}

/// Decodes the messages of one client.
#[derive(Debug, Default)]
pub struct Decoder {
    incoming: ReceiveBuffer,
    /// Items of the current array that are not complete.
    items_left: usize,
    /// The length of the current item, once it is known.
    item_length: Option<usize>,
    items: Vec<Vec<u8>>,
    /// How much of the current item, which is discarded, and of its line end has not arrived.
    discarded_left: Option<usize>,
}

/// The place of a request's body among its items.
const BODY_ITEM: usize = 4;

fn parse_length(line: &str, mark: char, limit: usize) -> Result<usize, DecodeError> {
    let number = line.strip_prefix(mark).and_then(|number| parse_decimal(number, limit as u64));
    let expected = || DecodeError(format!("expected '{mark}' and a length up to {limit}, found '{line}'"));
    number.map(|number| number as usize).ok_or_else(expected)
}

/// Parses a size in KB: digits, with or without a fraction.
fn parse_size(value: &str) -> Option<f64> {
    let plain = value.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
    value.parse().ok().filter(|kb| plain && *kb > 0.0 && *kb <= MAX_KB)
}

/// Checks an idempotency key, which must be safe in a list of fields.
fn parse_key(value: &str) -> Option<String> {
    let plain = value.bytes().all(|byte| byte.is_ascii_alphanumeric() || b"-_.:/+".contains(&byte));
    (plain && (1..=MAX_KEY_BYTES).contains(&value.len())).then(|| value.to_string())
}

/// Parses the fields of a request. A known field may occur once and must be valid; unknown fields are ignored.
fn parse_request(content_type: &[u8], list: &[u8], body: Vec<u8>) -> Result<Request, String> {
    let text = |bytes| std::str::from_utf8(bytes).map_err(|_| "a field that is not UTF-8".to_string());
    let names = ["req", "timeout", "resent", "subject", "block", "family", "need", "cached", "opkey"];
    let mut values: [Option<&str>; 9] = [None; 9];
    for pair in text(list)?.split(',') {
        let (name, value) =
            pair.split_once('=').ok_or_else(|| format!("'{pair}' is not a name=value field"))?;
        if let Some(at) = names.iter().position(|known| *known == name)
            && values[at].replace(value).is_some()
        {
            return Err(format!("{name}: given twice"));
        }
    }
    let invalid = |at: usize| format!("{}: invalid value '{}'", names[at], values[at].unwrap_or_default());
    let hex = |at: usize| values[at].map(|value| Hex::parse(value).ok_or_else(|| invalid(at))).transpose();
    let number = |at: usize, limit: u64| {
        values[at].map(|value| parse_decimal(value, limit).ok_or_else(|| invalid(at))).transpose()
    };
    Ok(Request {
        content_type: text(content_type)?.to_string(),
        id: hex(0)?.ok_or_else(|| invalid(0))?,
        timeout_ms: number(1, u64::MAX)?.filter(|ms| *ms > 0).ok_or_else(|| invalid(1))?,
        is_retry: number(2, 1)? == Some(1),
        object: hex(3)?.ok_or_else(|| invalid(3))?,
        part: number(4, MAX_PART)?.unwrap_or_default(),
        group: number(5, MAX_GROUP)?,
        size_kb: values[6].map(|value| parse_size(value).ok_or_else(|| invalid(6))).transpose()?,
        cached_tag: hex(7)?,
        idempotency_key: values[8].map(|value| parse_key(value).ok_or_else(|| invalid(8))).transpose()?,
        body,
    })
}

impl Decoder {
    /// Appends received bytes.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.incoming.feed(bytes);
    }

    /// Whether an incomplete message has been received.
    pub fn has_partial_message(&self) -> bool {
        self.items_left > 0 || !self.incoming.is_empty()
    }

    /// Releases memory that is not needed until more bytes arrive.
    pub fn release_spare_memory(&mut self) {
        self.incoming.release_spare_memory();
    }

    /// The memory that incomplete messages take, in bytes.
    pub fn held_bytes(&self) -> usize {
        self.incoming.held_bytes() + self.items.iter().map(Vec::capacity).sum::<usize>()
    }

    /// Discards the body that is being received, if it is: what has arrived of it and what follows.
    pub fn discard_body(&mut self) {
        if let Some(length) = self.item_length.filter(|_| self.items.len() == BODY_ITEM)
            && self.discarded_left.is_none()
        {
            self.discarded_left = Some(length + 2);
            self.skip_discarded();
            self.incoming.release_spare_memory();
        }
    }

    /// Drops what has arrived of a discarded item; returns whether that was the rest of it.
    fn skip_discarded(&mut self) -> bool {
        let Some(left) = self.discarded_left else { return false };
        let left = left - self.incoming.skip(left);
        self.discarded_left = Some(left);
        left == 0
    }

    /// Decodes the next complete message; after an error the connection can't be decoded further.
    pub fn next_message(&mut self) -> Result<Option<Message>, DecodeError> {
        while self.items_left > 0 || self.items.is_empty() {
            if self.items_left == 0 {
                let Some(line) = self.incoming.take_line(MAX_LINE_BYTES)? else { return Ok(None) };
                self.items_left = parse_length(&line, '*', MAX_ITEM_BYTES.len())?;
                if self.items_left == 0 {
                    return Err(DecodeError("an empty array".into()));
                }
            }
            if self.item_length.is_none() {
                let Some(line) = self.incoming.take_line(MAX_LINE_BYTES)? else { return Ok(None) };
                self.item_length = Some(parse_length(&line, '$', MAX_ITEM_BYTES[self.items.len()])?);
            }
            let Some(item) = self.next_item()? else { return Ok(None) };
            self.items.push(item);
            self.item_length = None;
            self.items_left -= 1;
        }
        let message = Self::parse_message(std::mem::take(&mut self.items))?;
        let is_discarded = self.discarded_left.take().is_some();
        Ok(Some(match message {
            Message::Request(tag, request) if is_discarded => Message::WithoutBody(tag, request.timeout_ms),
            message => message,
        }))
    }

    /// Takes the current item; an empty one in place of one that is discarded.
    fn next_item(&mut self) -> Result<Option<Vec<u8>>, DecodeError> {
        if self.discarded_left.is_some() {
            return Ok(self.skip_discarded().then(Vec::new));
        }
        self.incoming.take_block(self.item_length.unwrap_or_default())
    }

    fn parse_message(items: Vec<Vec<u8>>) -> Result<Message, DecodeError> {
        let mut items = items.into_iter();
        let verb = items.next().unwrap_or_default();
        let tag = items.next().unwrap_or_default();
        let tag =
            std::str::from_utf8(&tag).ok().and_then(|tag| parse_decimal(tag, MAX_TAG)).filter(|tag| *tag > 0);
        let tag = tag.ok_or_else(|| DecodeError("a message without a tag".into()))?;
        match verb.as_slice() {
            b"REQ" if items.len() < 2 => Ok(Message::Unusable(tag, "a request without its fields".into())),
            b"REQ" => {
                let mut next = || items.next().unwrap_or_default();
                let (content_type, list, body) = (next(), next(), next());
                Ok(match parse_request(&content_type, &list, body) {
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
    /// The word of the protocol for this answer.
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

/// Encodes an answer to the request or health check under a tag.
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
