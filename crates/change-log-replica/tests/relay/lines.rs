//! Decoding of lines and requests; lines are kept unchanged.

use crate::common::{delta, list, purge};
use copperroute_change_log_replica::lines::{Decoder, EventKind, FollowerRequest, Line, RequestReader};
use copperroute_routing::structures::random::Random;
use proptest::prelude::*;

fn lines(bytes: &[u8], seed: u64) -> Vec<Line> {
    let (mut decoder, mut chance, mut rest, mut lines) =
        (Decoder::default(), Random::new(seed), bytes, Vec::new());
    while !rest.is_empty() {
        let (cut, left) = rest.split_at(1 + (chance.next_f64() * rest.len() as f64) as usize);
        decoder.feed(cut);
        while let Some(line) = decoder.next_line().expect("readable") {
            lines.push(line);
        }
        rest = left;
    }
    lines
}

#[test]
fn lines_are_unchanged_however_the_bytes_are_split() {
    let odd = r#"{ "seq" : 4 , "invalidate":{"time":4.0e3,"bucket":  1}, "é":"\u00e9", "n":1.10 }"#;
    let events =
        [list(1), delta(2, "s-1", "leaving"), purge(3), odd.to_string(), r#"{"seq":5,"new":1}"#.into()];
    let mut text = events.join("\n") + "\n5\n";
    text += "{\"seq\":6,\"rules\":{\"version\":1}}\n";
    // The platform writes a heartbeat as an object that holds only the last number.
    let with_heartbeats = format!("{text}{{\"seq\":6}}\n{{ \"seq\": 6 }}\n");
    text += "6\n6\n";
    for seed in 0..100 {
        let lines = lines(with_heartbeats.as_bytes(), seed);
        let back: String = lines
            .iter()
            .map(|line| match line {
                Line::Event(event) => format!("{}\n", event.line),
                Line::Heartbeat(last) => format!("{last}\n"),
            })
            .collect();
        assert_eq!(back, text, "seed {seed}");
        let kinds: Vec<_> = lines
            .iter()
            .filter_map(|line| match line {
                Line::Event(event) => Some((event.seq, event.kind)),
                Line::Heartbeat(_) => None,
            })
            .collect();
        let expected = [
            (1, EventKind::Snapshot),
            (2, EventKind::Delta),
            (3, EventKind::Stateless),
            (4, EventKind::Unreadable),
            (5, EventKind::Stateless),
            (6, EventKind::Delta),
        ];
        assert_eq!(kinds, expected);
    }
}

#[test]
fn a_line_without_a_number_is_an_error() {
    for text in ["{}\n", "hello\n", "{\"seq\":\n", "{\"seq\":-1}\n", "\n"] {
        let mut decoder = Decoder::default();
        decoder.feed(text.as_bytes());
        assert!(decoder.next_line().is_err(), "{text}");
    }
}

#[test]
fn a_follower_sends_one_request_line() {
    let read_request = |text: &str| RequestReader::default().feed(text.as_bytes());
    assert_eq!(read_request("since 41\n"), FollowerRequest::Since(41));
    assert_eq!(read_request("since 41\r\n"), FollowerRequest::Since(41));
    assert_eq!(read_request("since 4"), FollowerRequest::Incomplete);
    for text in ["since\n", "since -1\n", "GET / HTTP/1.1\n", "since 1 2\n", &"x".repeat(100)] {
        assert!(matches!(read_request(text), FollowerRequest::Invalid(_)), "{text}");
    }
}

proptest! {
    #[test]
    fn arbitrary_bytes_do_not_panic(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        let mut decoder = Decoder::default();
        decoder.feed(&bytes);
        while let Ok(Some(_)) = decoder.next_line() {}
        let _ = RequestReader::default().feed(&bytes);
    }
}
