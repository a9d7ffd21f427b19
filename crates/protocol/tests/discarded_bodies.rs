//! A body that is discarded as it arrives takes no memory, and what follows it is decoded.

use copperroute_protocol::clients::{Decoder, Message};
use proptest::prelude::*;

fn request_with_body(body: &[u8]) -> Vec<u8> {
    let fields = "req=9b1f000000000000,timeout=1500,subject=7f3a000000000000";
    let head = format!("*5\r\n$3\r\nREQ\r\n$1\r\n7\r\n$4\r\npost\r\n${}\r\n{fields}\r\n", fields.len());
    [head.as_bytes(), format!("${}\r\n", body.len()).as_bytes(), body, b"\r\n"].concat()
}

const ABORT: &[u8] = b"*2\r\n$5\r\nABORT\r\n$1\r\n8\r\n";

proptest! {
    /// However the bytes are cut: once the body has begun, what arrives of it is dropped, and the request is reported
    /// without it.
    #[test]
    fn discarded_bodies_take_no_memory(
        length in 1usize..48_000,
        stops in 0usize..10_000,
        piece in 1usize..9_000,
    ) {
        let body = vec![b'\n'; length];
        let bytes = [request_with_body(&body), ABORT.to_vec()].concat();
        let body_at = request_with_body(&body).len() - 2 - length;
        // Whole or all but the end of it.
        let stop = body_at + (stops * length / 10_000).min(length - 1);
        let mut decoder = Decoder::default();
        decoder.feed(&bytes[..stop]);
        prop_assert_eq!(decoder.next_message().expect("sound"), None);
        decoder.discard_body();
        let mut messages = Vec::new();
        for piece in bytes[stop..].chunks(piece) {
            decoder.feed(piece);
            while let Some(message) = decoder.next_message().expect("sound") {
                messages.push(message);
            }
            decoder.release_spare_memory();
            prop_assert!(decoder.held_bytes() < 4_096, "{} bytes", decoder.held_bytes());
        }
        prop_assert_eq!(messages, vec![Message::WithoutBody(7, 1500), Message::Abort(8)]);
    }
}
