//! The codecs of the three protocols: clients, nodes and the change log. Each decoder takes received bytes, cut
//! anywhere, buffers no more than one message, and returns typed messages; each module also encodes the messages of
//! the other direction. No sockets here: the dispatcher and the test programs pass bytes in and out.

pub mod changes;
pub mod clients;
pub mod hex;
pub mod incoming;
pub mod nodes;
pub mod outgoing;
