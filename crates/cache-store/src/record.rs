//! A record of the log: one part of an object, or the mark of a purge. Bytes to small typed values once, and back.
//!
//! Layout, little-endian: magic 4, kind 1, content type 1, group 2, part 4, object 16, etag 16, made 8, length of the
//! body 4, checksum of the body 4, checksum of all before 4; then the body. Checksums are CRC-32C.

use copperroute_routing::interface::mix;

/// Bytes of a record without its body.
pub const HEAD: usize = 64;
/// What a body holds at most.
pub const MOST_BODY: usize = 240_000;
const MAGIC: u32 = 0x5243_5031;
const NO_GROUP: u16 = u16::MAX;

/// A part of an object of a content type: what is kept as one copy.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Key {
    /// The place of its content type in the settings.
    pub content_type: u8,
    /// The object's sixteen digits, as they came.
    pub object: [u8; 16],
    /// The part.
    pub part: u32,
}

impl Key {
    /// A fingerprint, spread over 64 bits.
    pub fn print(&self) -> u64 {
        let half =
            |at: usize| self.object[at..at + 8].iter().fold(0_u64, |sum, byte| sum << 8 | u64::from(*byte));
        mix(half(0) ^ mix(half(8) ^ mix(u64::from(self.part) << 8 | u64::from(self.content_type))))
    }
}

/// What is told of a copy besides its bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Facts {
    /// The tag of the copy.
    pub etag: [u8; 16],
    /// The Unix millisecond at which the origin gave it out.
    pub made_ms: u64,
    /// The group of the object.
    pub group: Option<u8>,
}

/// What a record says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Head {
    /// A copy, with the length and checksum of its body.
    Copy(Key, Facts, Body),
    /// An object was purged at a Unix millisecond, by the event of the change log with that number.
    PurgedObject {
        /// The object.
        object: [u8; 16],
        /// When it was purged, as a Unix millisecond.
        at_ms: u64,
        /// The number of the change log's event.
        seq: u64,
    },
    /// A group was.
    PurgedGroup {
        /// The group.
        group: u8,
        /// When it was purged, as a Unix millisecond.
        at_ms: u64,
        /// The number of the change log's event.
        seq: u64,
    },
    /// A copy is no longer kept.
    Dropped(Key),
}

/// The body behind a head.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Body {
    /// Its length.
    pub length: u32,
    /// Its checksum.
    pub sum: u32,
}

/// Why bytes are no record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unsound {
    /// They end too early.
    Short,
    /// They are something else, or damaged.
    Damaged,
}

fn pack(
    kind: u8,
    of: (u8, u16, u32),
    object: &[u8; 16],
    etag: &[u8; 16],
    time: u64,
    body: Body,
) -> [u8; HEAD] {
    let mut bytes = [0; HEAD];
    bytes[0..4].copy_from_slice(&MAGIC.to_le_bytes());
    (bytes[4], bytes[5]) = (kind, of.0);
    bytes[6..8].copy_from_slice(&of.1.to_le_bytes());
    bytes[8..12].copy_from_slice(&of.2.to_le_bytes());
    bytes[12..28].copy_from_slice(object);
    bytes[28..44].copy_from_slice(etag);
    bytes[44..52].copy_from_slice(&time.to_le_bytes());
    bytes[52..56].copy_from_slice(&body.length.to_le_bytes());
    bytes[56..60].copy_from_slice(&body.sum.to_le_bytes());
    let sum = crc32c::crc32c(&bytes[..60]);
    bytes[60..64].copy_from_slice(&sum.to_le_bytes());
    bytes
}

const NOTHING: Body = Body { length: 0, sum: 0 };

fn seq_bytes(seq: u64) -> [u8; 16] {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&seq.to_le_bytes());
    bytes
}

impl Head {
    /// The head of a copy with these bytes.
    pub fn copy(key: Key, facts: Facts, body: &[u8]) -> Head {
        Head::Copy(key, facts, Body { length: body.len() as u32, sum: crc32c::crc32c(body) })
    }

    /// The bytes of a head.
    pub fn encode(&self) -> [u8; HEAD] {
        match self {
            Head::Copy(key, facts, body) => {
                let group = facts.group.map_or(NO_GROUP, u16::from);
                pack(1, (key.content_type, group, key.part), &key.object, &facts.etag, facts.made_ms, *body)
            }
            Head::PurgedObject { object, at_ms, seq } => {
                pack(2, (0, NO_GROUP, 0), object, &seq_bytes(*seq), *at_ms, NOTHING)
            }
            Head::PurgedGroup { group, at_ms, seq } => {
                pack(3, (0, u16::from(*group), 0), &[0; 16], &seq_bytes(*seq), *at_ms, NOTHING)
            }
            Head::Dropped(key) => {
                pack(4, (key.content_type, NO_GROUP, key.part), &key.object, &[0; 16], 0, NOTHING)
            }
        }
    }

    /// The head at the start of these bytes.
    pub fn decode(bytes: &[u8]) -> Result<Head, Unsound> {
        let bytes: &[u8; HEAD] =
            bytes.get(..HEAD).and_then(|head| head.try_into().ok()).ok_or(Unsound::Short)?;
        let u32_at = |at: usize| u32::from_le_bytes([bytes[at], bytes[at + 1], bytes[at + 2], bytes[at + 3]]);
        let u64_at = |at: usize| u64::from(u32_at(at)) | u64::from(u32_at(at + 4)) << 32;
        let sixteen = |at: usize| {
            let mut found = [0; 16];
            found.copy_from_slice(&bytes[at..at + 16]);
            found
        };
        if u32_at(0) != MAGIC || u32_at(60) != crc32c::crc32c(&bytes[..60]) {
            return Err(Unsound::Damaged);
        }
        let group = u16::from_le_bytes([bytes[6], bytes[7]]);
        let key = Key { content_type: bytes[5], object: sixteen(12), part: u32_at(8) };
        let body = Body { length: u32_at(52), sum: u32_at(56) };
        match bytes[4] {
            1 if body.length as usize <= MOST_BODY => {
                let facts = Facts { etag: sixteen(28), made_ms: u64_at(44), group: u8::try_from(group).ok() };
                Ok(Head::Copy(key, facts, body))
            }
            2 => Ok(Head::PurgedObject { object: sixteen(12), at_ms: u64_at(44), seq: u64_at(28) }),
            3 => {
                let group = u8::try_from(group).map_err(|_| Unsound::Damaged)?;
                Ok(Head::PurgedGroup { group, at_ms: u64_at(44), seq: u64_at(28) })
            }
            4 => Ok(Head::Dropped(key)),
            _ => Err(Unsound::Damaged),
        }
    }

    /// Bytes that follow the head.
    pub fn body(&self) -> usize {
        match self {
            Head::Copy(_, _, body) => body.length as usize,
            _ => 0,
        }
    }
}

impl Body {
    /// Whether these are its bytes.
    pub fn is(&self, bytes: &[u8]) -> bool {
        bytes.len() == self.length as usize && crc32c::crc32c(bytes) == self.sum
    }
}
