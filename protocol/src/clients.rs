//! Clients: RESP arrays of bulk strings.

use crate::incoming::{Incoming, Unreadable, fields};

const MOST_ITEMS: usize = 8;
const LONGEST_ITEM: usize = 256 * 1024;
const LONGEST_LINE: usize = 32;
/// What is asked for is kept in mind for as long as its client says it waits.
const LONGEST_WAIT_MS: u64 = 86_400_000;

/// A download as a client asks for it.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Request {
    /// The name of its content type.
    pub content_type: String,
    /// Its own id, passed on unchanged.
    pub id: String,
    /// How long the client waits, in milliseconds.
    pub timeout_ms: u64,
    /// A client's retry.
    pub repeat: bool,
    /// The object.
    pub object: String,
    /// The part of it.
    pub part: u64,
    /// The group of the object.
    pub group: Option<u64>,
    /// The size of the part, as the deployment counts it.
    pub size_kb: Option<f64>,
    /// The tag of a copy that the client holds.
    pub held: Option<String>,
    /// What a write brings.
    pub body: Vec<u8>,
}

/// What a client sends.
#[derive(Debug, Clone, PartialEq)]
pub enum Message {
    /// Asks for a download under a tag.
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
    Fulfilled(&'a [u8]),
    /// Served: the client's own copy is the one.
    Current,
    /// Trying again is harmless, after so many milliseconds if given.
    Throttled(Option<u64>),
    /// Nothing is promised.
    Abandoned,
    /// The dispatcher serves.
    Up,
    /// It does not, or not any more.
    Down,
}

/// Decodes what one client sends.
#[derive(Debug, Default)]
pub struct Decoder {
    incoming: Incoming,
    /// Items still to come of the array at hand.
    missing: usize,
    /// The length of the item at hand.
    length: Option<usize>,
    items: Vec<Vec<u8>>,
}

fn count(line: &str, mark: char, most: usize) -> Result<usize, Unreadable> {
    let number = line.strip_prefix(mark).and_then(|digits| digits.parse().ok());
    let expected = || Unreadable(format!("expected '{mark}' and a length up to {most}, found '{line}'"));
    number.filter(|number| *number <= most).ok_or_else(expected)
}

/// Whether a word may go on into a line of fields as it is.
fn is_word(text: &str) -> bool {
    let plain = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.' | b':');
    !text.is_empty() && text.len() <= 128 && text.bytes().all(plain)
}

fn request(content_type: &[u8], list: &[u8], body: Vec<u8>) -> Result<Request, String> {
    let text = |bytes| std::str::from_utf8(bytes).map_err(|_| "a field that is no UTF-8".to_string());
    let mut request = Request { content_type: text(content_type)?.to_string(), body, ..Request::default() };
    let number = |name: &str, value: &str| {
        value.parse::<u64>().map_err(|_| format!("{name}: expected a number, found '{value}'"))
    };
    for (name, value) in fields(text(list)?) {
        match name {
            "req" => request.id = value.to_string(),
            "timeout" => request.timeout_ms = number(name, value)?,
            "resent" => request.repeat = value == "1",
            "subject" => request.object = value.to_string(),
            "block" => request.part = number(name, value)?,
            "family" => request.group = Some(number(name, value)?),
            "need" => request.size_kb = value.parse().ok().filter(|kb: &f64| kb.is_finite() && *kb > 0.0),
            "cached" => request.held = Some(value.to_string()).filter(|tag| is_word(tag)),
            _ => {}
        }
    }
    for (name, value) in [("req", &request.id), ("subject", &request.object)] {
        if !is_word(value) {
            return Err(format!("{name}: expected a word, found '{value}'"));
        }
    }
    match request.timeout_ms {
        1..=LONGEST_WAIT_MS => Ok(request),
        _ => Err("timeout: expected milliseconds, a day of them at most".to_string()),
    }
}

impl Decoder {
    /// Takes bytes as they came.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.incoming.feed(bytes);
    }

    /// The next whole message; an error means that no more can be read here.
    pub fn next_message(&mut self) -> Result<Option<Message>, Unreadable> {
        while self.missing > 0 || self.items.is_empty() {
            if self.missing == 0 {
                let Some(line) = self.incoming.line(LONGEST_LINE)? else { return Ok(None) };
                self.missing = count(&line, '*', MOST_ITEMS)?;
                if self.missing == 0 {
                    return Err(Unreadable("an empty array".into()));
                }
            }
            if self.length.is_none() {
                let Some(line) = self.incoming.line(LONGEST_LINE)? else { return Ok(None) };
                self.length = Some(count(&line, '$', LONGEST_ITEM)?);
            }
            let Some(item) = self.incoming.block(self.length.unwrap_or_default())? else { return Ok(None) };
            self.items.push(item);
            self.length = None;
            self.missing -= 1;
        }
        Self::message(std::mem::take(&mut self.items)).map(Some)
    }

    fn message(items: Vec<Vec<u8>>) -> Result<Message, Unreadable> {
        let mut items = items.into_iter();
        let verb = items.next().unwrap_or_default();
        let tag = items.next().unwrap_or_default();
        let tag = std::str::from_utf8(&tag).ok().and_then(|tag| tag.parse().ok()).filter(|tag| *tag > 0);
        let tag = tag.ok_or_else(|| Unreadable("a message without a tag".into()))?;
        match verb.as_slice() {
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

/// An answer under a tag.
pub fn encode(tag: u64, answer: Answer<'_>) -> Vec<u8> {
    let (word, fields, body): (&str, String, &[u8]) = match answer {
        Answer::Fulfilled(body) => ("OK", String::new(), body),
        Answer::Current => ("OK", "keep=1".into(), b""),
        Answer::Throttled(None) => ("BUSY", String::new(), b""),
        Answer::Throttled(Some(ms)) => ("BUSY", format!("holdoff={ms}"), b""),
        Answer::Abandoned => ("FAILED", String::new(), b""),
        Answer::Up => ("UP", String::new(), b""),
        Answer::Down => ("DOWN", String::new(), b""),
    };
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
