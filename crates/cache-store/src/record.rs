//! Records of the on-disk log: a copy of one part of an object, a purge, or the removal of a copy. Encodes and decodes
//! the head of a record; the body of a copy follows the head unchanged.
//!
//! Layout of the head, little-endian, in bytes: magic 4, kind 1, content type 1, group 2, part 4, object 16, entity tag
//! 16, time 8, length of the body 4, checksum of the body 4, checksum of the 60 bytes before 4. A purge holds its event
//! number in the first 8 bytes of the entity tag. Checksums are CRC-32C.

use copperroute_routing::interface::mix;

/// Length of a record's head, in bytes.
pub const HEAD: usize = 64;
/// Longest body of a record, in bytes; a head that states more is corrupt.
pub const MAX_BODY_BYTES: usize = 240_000;
const MAGIC: u32 = 0x5243_5031;
/// Stands for a group that is not known.
const NO_GROUP: u16 = u16::MAX;

/// Identifies a cached copy: one part of an object of a content type.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Key {
    /// Index of the content type in the settings.
    pub content_type: u8,
    /// The sixteen hexadecimal digits that identify the object, as received.
    pub object: [u8; 16],
    /// Number of the part within the object.
    pub part: u32,
}

impl Key {
    /// A 64-bit hash of the key. Two keys can share one.
    pub fn print(&self) -> u64 {
        let half =
            |at: usize| self.object[at..at + 8].iter().fold(0_u64, |sum, byte| sum << 8 | u64::from(*byte));
        mix(half(0) ^ mix(half(8) ^ mix(u64::from(self.part) << 8 | u64::from(self.content_type))))
    }
}

/// Metadata of a copy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Facts {
    /// The entity tag of the copy.
    pub etag: [u8; 16],
    /// When the origin sent it, in Unix milliseconds.
    pub made_ms: u64,
    /// The group of the object, if known.
    pub group: Option<u8>,
}

/// The head of a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Head {
    /// A copy, with the length and checksum of its body.
    Copy(Key, Facts, BodyDigest),
    /// An object was purged.
    PurgedObject {
        /// The object.
        object: [u8; 16],
        /// When it was purged, in Unix milliseconds.
        at_ms: u64,
        /// Number of the purge event in the change log.
        seq: u64,
    },
    /// All objects of a group were purged.
    PurgedGroup {
        /// The group.
        group: u8,
        /// When it was purged, in Unix milliseconds.
        at_ms: u64,
        /// Number of the purge event in the change log.
        seq: u64,
    },
    /// A copy was removed.
    Dropped(Key),
}

/// Length and checksum of a record's body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BodyDigest {
    /// Length in bytes.
    pub length: u32,
    /// CRC-32C of the bytes.
    pub checksum: u32,
}

/// Why bytes are not the head of a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DecodeError {
    /// There are fewer bytes than a head has.
    Truncated,
    /// They are something else, or damaged.
    Corrupt,
}

fn encode_head(
    kind: u8,
    (content_type, group, part): (u8, u16, u32),
    object: &[u8; 16],
    etag: &[u8; 16],
    time_ms: u64,
    body: BodyDigest,
) -> [u8; HEAD] {
    let mut bytes = [0; HEAD];
    bytes[0..4].copy_from_slice(&MAGIC.to_le_bytes());
    (bytes[4], bytes[5]) = (kind, content_type);
    bytes[6..8].copy_from_slice(&group.to_le_bytes());
    bytes[8..12].copy_from_slice(&part.to_le_bytes());
    bytes[12..28].copy_from_slice(object);
    bytes[28..44].copy_from_slice(etag);
    bytes[44..52].copy_from_slice(&time_ms.to_le_bytes());
    bytes[52..56].copy_from_slice(&body.length.to_le_bytes());
    bytes[56..60].copy_from_slice(&body.checksum.to_le_bytes());
    let checksum = crc32c::crc32c(&bytes[..60]);
    bytes[60..64].copy_from_slice(&checksum.to_le_bytes());
    bytes
}

const NO_BODY: BodyDigest = BodyDigest { length: 0, checksum: 0 };

fn seq_bytes(seq: u64) -> [u8; 16] {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&seq.to_le_bytes());
    bytes
}

impl Head {
    /// The head of a copy with this body.
    pub fn copy(key: Key, facts: Facts, body: &[u8]) -> Head {
        Head::Copy(key, facts, BodyDigest { length: body.len() as u32, checksum: crc32c::crc32c(body) })
    }

    /// Encodes the head.
    pub fn encode(&self) -> [u8; HEAD] {
        match self {
            Head::Copy(key, facts, body) => {
                let group = facts.group.map_or(NO_GROUP, u16::from);
                encode_head(
                    1,
                    (key.content_type, group, key.part),
                    &key.object,
                    &facts.etag,
                    facts.made_ms,
                    *body,
                )
            }
            Head::PurgedObject { object, at_ms, seq } => {
                encode_head(2, (0, NO_GROUP, 0), object, &seq_bytes(*seq), *at_ms, NO_BODY)
            }
            Head::PurgedGroup { group, at_ms, seq } => {
                encode_head(3, (0, u16::from(*group), 0), &[0; 16], &seq_bytes(*seq), *at_ms, NO_BODY)
            }
            Head::Dropped(key) => {
                encode_head(4, (key.content_type, NO_GROUP, key.part), &key.object, &[0; 16], 0, NO_BODY)
            }
        }
    }

    /// Decodes the head at the start of these bytes.
    pub fn decode(bytes: &[u8]) -> Result<Head, DecodeError> {
        let bytes: &[u8; HEAD] =
            bytes.get(..HEAD).and_then(|head| head.try_into().ok()).ok_or(DecodeError::Truncated)?;
        let u32_at = |at: usize| u32::from_le_bytes([bytes[at], bytes[at + 1], bytes[at + 2], bytes[at + 3]]);
        let u64_at = |at: usize| u64::from(u32_at(at)) | u64::from(u32_at(at + 4)) << 32;
        let sixteen_at = |at: usize| {
            let mut sixteen = [0; 16];
            sixteen.copy_from_slice(&bytes[at..at + 16]);
            sixteen
        };
        if u32_at(0) != MAGIC || u32_at(60) != crc32c::crc32c(&bytes[..60]) {
            return Err(DecodeError::Corrupt);
        }
        let group = u16::from_le_bytes([bytes[6], bytes[7]]);
        let key = Key { content_type: bytes[5], object: sixteen_at(12), part: u32_at(8) };
        let body = BodyDigest { length: u32_at(52), checksum: u32_at(56) };
        match bytes[4] {
            1 if body.length as usize <= MAX_BODY_BYTES => {
                let facts =
                    Facts { etag: sixteen_at(28), made_ms: u64_at(44), group: u8::try_from(group).ok() };
                Ok(Head::Copy(key, facts, body))
            }
            2 => Ok(Head::PurgedObject { object: sixteen_at(12), at_ms: u64_at(44), seq: u64_at(28) }),
            3 => {
                let group = u8::try_from(group).map_err(|_| DecodeError::Corrupt)?;
                Ok(Head::PurgedGroup { group, at_ms: u64_at(44), seq: u64_at(28) })
            }
            4 => Ok(Head::Dropped(key)),
            _ => Err(DecodeError::Corrupt),
        }
    }

    /// Length of the body that follows the head, in bytes.
    pub fn body(&self) -> usize {
        match self {
            Head::Copy(_, _, body) => body.length as usize,
            _ => 0,
        }
    }
}

impl BodyDigest {
    /// Whether these bytes have this length and checksum.
    pub fn matches(&self, bytes: &[u8]) -> bool {
        bytes.len() == self.length as usize && crc32c::crc32c(bytes) == self.checksum
    }
}
