//! The protocol's three codecs. Each takes bytes as they come, in any cuts, holds no more of them than one
//! message may have, and gives small typed values; each encodes what goes the other way. No sockets here.

pub mod changes;
pub mod clients;
pub mod hex;
pub mod incoming;
pub mod nodes;
