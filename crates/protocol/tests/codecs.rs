//! Tests of the codecs. Each input is decoded whole, byte by byte and in random cuts, which must all give the same
//! messages.

use copperroute_protocol::hex::Hex;
use copperroute_protocol::{changes, clients, nodes};
use copperroute_routing::interface::{Attempt, Nanos, NodeId};
use copperroute_routing::structures::random::Random;
use expect_test::expect;

fn hex(text: &str) -> Hex {
    Hex::parse(text).expect("sixteen hex digits")
}

/// The messages that a decoder returns for bytes; checks that they are the same for all cuts of the bytes.
fn in_all_cuts(bytes: &[u8], decode: impl Fn(&mut dyn Iterator<Item = &[u8]>) -> String) -> String {
    let whole = decode(&mut [bytes].into_iter());
    assert_eq!(whole, decode(&mut bytes.chunks(1)));
    for seed in 0..50 {
        let (mut chance, mut rest, mut cuts) = (Random::new(seed), bytes, Vec::new());
        while !rest.is_empty() {
            let (cut, left) = rest.split_at(1 + (chance.next_f64() * rest.len() as f64) as usize);
            cuts.push(cut);
            rest = left;
        }
        assert_eq!(whole, decode(&mut cuts.into_iter()), "seed {seed}");
    }
    whole
}

macro_rules! decoded {
    ($decoder:ty, $next:ident, $bytes:expr) => {
        in_all_cuts($bytes, |cuts| {
            let (mut decoder, mut trace) = (<$decoder>::default(), String::new());
            for cut in cuts {
                decoder.feed(cut);
                loop {
                    match decoder.$next() {
                        Ok(None) => break,
                        Ok(Some(message)) => trace += &format!("{message:?}\n"),
                        Err(fault) => return trace + &format!("! {fault}\n"),
                    }
                }
            }
            trace
        })
    };
}

#[test]
fn clients_send_requests_aborts_and_health_checks() {
    let fields = "req=9b1f03aa5c7e2d41,timeout=1500,resent=1,subject=7f3a9c21e0b4d655,block=3,family=17,need=412.5,cached=4be0c1927d55a6f3,opkey=cbd3d4163e11037e316e8180a6e9f325,new=1";
    let mut bytes =
        format!("*5\r\n$3\r\nREQ\r\n$1\r\n7\r\n$7\r\nsegment\r\n${}\r\n{fields}\r\n", fields.len())
            .into_bytes();
    bytes.extend_from_slice(
        b"$4\r\n\r\n*\xff\r\n*2\r\n$5\r\nABORT\r\n$1\r\n7\r\n*3\r\n$6\r\nHEALTH\r\n$1\r\n8\r\n$0\r\n\r\n",
    );
    expect![[r#"
        Request(7, Request { content_type: "segment", id: 9b1f03aa5c7e2d41, timeout_ms: 1500, is_retry: true, object: 7f3a9c21e0b4d655, part: 3, group: Some(17), size_kb: Some(412.5), cached_tag: Some(4be0c1927d55a6f3), idempotency_key: Some("cbd3d4163e11037e316e8180a6e9f325"), body: [13, 10, 42, 255] })
        Abort(7)
        Health(8)
    "#]]
    .assert_eq(&decoded!(clients::Decoder, next_message, &bytes));
}

#[test]
fn a_request_with_unusable_fields_keeps_its_tag() {
    let message = |fields: &str| {
        let bytes = format!("*4\r\n$3\r\nREQ\r\n$1\r\n7\r\n$1\r\nx\r\n${}\r\n{fields}\r\n", fields.len());
        decoded!(clients::Decoder, next_message, bytes.as_bytes())
    };
    let good = "req=9b1f03aa5c7e2d41,timeout=5,subject=7f3a9c21e0b4d655";
    let fields = [
        "subject=7f3a9c21e0b4d655,timeout=5",
        "req=9b1f 3aa5c7e2d41,subject=7f3a9c21e0b4d655,timeout=5",
        "req=9b1f03aa5c7e2d412,subject=7f3a9c21e0b4d655,timeout=5",
        "req=9b1f03aa5c7e2d41,subject=7f3a9c21e0b4d655",
        "req=9b1f03aa5c7e2d41,subject=7f3a9c21e0b4d655,timeout=x",
        "req=9b1f03aa5c7e2d41,subject=7f3a9c21e0b4d655,timeout=0",
        "req=9b1f03aa5c7e2d41,subject=7f3a9c21e0b4d655,timeout=+5",
        &format!("{good},block=-1"),
        &format!("{good},block=007"),
        &format!("{good},family=256"),
        &format!("{good},need=nan"),
        &format!("{good},need=1e300"),
        &format!("{good},cached=4b"),
        &format!("{good},opkey="),
        &format!("{good},opkey=a b"),
        &format!("{good},timeout=6"),
        &format!("{good},,"),
        "",
    ];
    expect![[r#"
        Unusable(7, "req: invalid value ''")
        Unusable(7, "req: invalid value '9b1f 3aa5c7e2d41'")
        Unusable(7, "req: invalid value '9b1f03aa5c7e2d412'")
        Unusable(7, "timeout: invalid value ''")
        Unusable(7, "timeout: invalid value 'x'")
        Unusable(7, "timeout: invalid value '0'")
        Unusable(7, "timeout: invalid value '+5'")
        Unusable(7, "block: invalid value '-1'")
        Unusable(7, "block: invalid value '007'")
        Unusable(7, "family: invalid value '256'")
        Unusable(7, "need: invalid value 'nan'")
        Unusable(7, "need: invalid value '1e300'")
        Unusable(7, "cached: invalid value '4b'")
        Unusable(7, "opkey: invalid value ''")
        Unusable(7, "opkey: invalid value 'a b'")
        Unusable(7, "timeout: given twice")
        Unusable(7, "'' is not a name=value field")
        Unusable(7, "'' is not a name=value field")
    "#]]
    .assert_eq(&fields.map(message).concat());
}

#[test]
fn a_malformed_message_of_a_client_is_named() {
    let bytes: [&[u8]; 7] = [
        b"GET / HTTP/1.1\r\n",
        b"*0\r\n",
        b"*9\r\n",
        b"*1\r\n$9999999\r\n",
        b"*1\r\n$2\r\nabc\r\n",
        b"*1\r\n$5\r\nABORT\r\n",
        b"*000000000000000000000000000000000000000000000",
    ];
    let decode = |bytes: &[u8]| decoded!(clients::Decoder, next_message, bytes);
    expect![[r#"
        ! expected '*' and a length up to 5, found 'GET / HTTP/1.1'
        ! an empty array
        ! expected '*' and a length up to 5, found '*9'
        ! expected '$' and a length up to 16, found '$9999999'
        ! no line end after 2 bytes
        ! a message without a tag
        ! a line of more than 32 bytes
    "#]]
    .assert_eq(&bytes.map(decode).concat());
}

#[test]
fn answers_to_clients() {
    use clients::Answer::*;
    let answers = [Served(b"\r\n"), NotModified, Rejected(None), Rejected(Some(120)), Failed, Up, Down];
    let encoded = answers.map(|answer| clients::encode(7, answer).escape_ascii().to_string() + "\n");
    expect![[r#"
        *4\r\n$1\r\n7\r\n$2\r\nOK\r\n$0\r\n\r\n$2\r\n\r\n\r\n
        *4\r\n$1\r\n7\r\n$2\r\nOK\r\n$6\r\nkeep=1\r\n$0\r\n\r\n
        *4\r\n$1\r\n7\r\n$4\r\nBUSY\r\n$0\r\n\r\n$0\r\n\r\n
        *4\r\n$1\r\n7\r\n$4\r\nBUSY\r\n$11\r\nholdoff=120\r\n$0\r\n\r\n
        *4\r\n$1\r\n7\r\n$6\r\nFAILED\r\n$0\r\n\r\n$0\r\n\r\n
        *4\r\n$1\r\n7\r\n$2\r\nUP\r\n$0\r\n\r\n$0\r\n\r\n
        *4\r\n$1\r\n7\r\n$4\r\nDOWN\r\n$0\r\n\r\n$0\r\n\r\n
    "#]]
    .assert_eq(&encoded.concat());
}

#[test]
fn attempts_to_nodes() {
    let plain = nodes::Fetch {
        id: hex("9b1f03aa5c7e2d41"),
        content_type: "segment",
        object: hex("7f3a9c21e0b4d655"),
        part: 3,
        timeout: Nanos(1_500_900_000),
        source: None,
        attempt: Attempt {
            node: NodeId(0),
            source: NodeId(0),
            time_limit: None,
            rank: 0,
            max_age: None,
            send_by: None,
            join: false,
            held_only: false,
            no_parent_copy: false,
            renew: false,
        },
        cached_tag: None,
        idempotency_key: None,
        body: b"",
    };
    let full = nodes::Fetch {
        source: Some("p-1"),
        attempt: Attempt {
            rank: 3,
            // Less than a millisecond must not become 0, which means no limit.
            max_age: Some(Nanos(900_000)),
            join: true,
            held_only: true,
            no_parent_copy: true,
            renew: true,
            ..plain.attempt
        },
        cached_tag: Some(hex("4be0c1927d55a6f3")),
        idempotency_key: Some("cbd3d4163e11037e316e8180a6e9f325"),
        body: b"\r\nx",
        ..plain.clone()
    };
    let mut bytes = Vec::new();
    nodes::encode_fetch(&plain, &mut bytes);
    nodes::encode_fetch(&full, &mut bytes);
    nodes::encode_abort(hex("9b1f03aa5c7e2d41"), &mut bytes);
    nodes::encode_probe(hex("9b1f03aa5c7e2d41"), &mut bytes);
    expect![[r#"
        fetch 9b1f03aa5c7e2d41 lane=segment,name=7f3a9c21e0b4d655,piece=3,ttl=1500 0\r\n
        \r\n
        fetch 9b1f03aa5c7e2d41 lane=segment,name=7f3a9c21e0b4d655,piece=3,ttl=1500,src=p-1,keep=3,maxage=1,flags=share+peek+pass+swr,have=4be0c1927d55a6f3,dedupe=cbd3d4163e11037e316e8180a6e9f325 3\r\n
        \r\n
        x\r\n
        abort 9b1f03aa5c7e2d41\r\n
        alive 9b1f03aa5c7e2d41\r\n
    "#]].assert_eq(&bytes.escape_ascii().to_string().replace("\\r\\n", "\\r\\n\n"));
}

#[test]
fn answers_of_nodes() {
    let bytes = b"9b1f03aa5c7e2d41 ok etag=4be0c1927d55a6f3,made=1764,why=pulled_far,ttfb=12.5,rep=util:0.61;inflight:7 4\r\n\r\n\x00\xff\r\n\
        9b2003aa5c7e2d41 current etag=4be0c1927d55a6f3,why=local 0\r\n\r\n9b2103aa5c7e2d41 nothing - 0\r\n\r\n9b2203aa5c7e2d41 refused why=turned_away 0\r\n\r\n\
        9b2303aa5c7e2d41 error why=unheard_of,new=1,rep=inflight:nan 0\r\n\r\n9b24 stale - 0\r\n\r\n\
        0000000000000001 yes - 0\r\n\r\n0000000000000002 no - 0\r\n\r\n1 yes - 0\r\n\r\n";
    expect![[r#"
        Answer(Answer { id: Some(9b1f03aa5c7e2d41), outcome: Served, not_modified: false, copy: Some((4be0c1927d55a6f3, 1764)), remark: FilledFromOrigin, first_byte_wait: Some(Nanos(12500000)), report: LoadReport { in_flight: Some(7.0), busy: Some(0.61) }, body: [13, 10, 0, 255] })
        Answer(Answer { id: Some(9b2003aa5c7e2d41), outcome: Served, not_modified: true, copy: None, remark: Hit, first_byte_wait: None, report: LoadReport { in_flight: None, busy: None }, body: [] })
        Answer(Answer { id: Some(9b2103aa5c7e2d41), outcome: Missed, not_modified: false, copy: None, remark: None, first_byte_wait: None, report: LoadReport { in_flight: None, busy: None }, body: [] })
        Answer(Answer { id: Some(9b2203aa5c7e2d41), outcome: Refused, not_modified: false, copy: None, remark: SourceRefused, first_byte_wait: None, report: LoadReport { in_flight: None, busy: None }, body: [] })
        Answer(Answer { id: Some(9b2303aa5c7e2d41), outcome: Failed, not_modified: false, copy: None, remark: None, first_byte_wait: None, report: LoadReport { in_flight: None, busy: None }, body: [] })
        Answer(Answer { id: None, outcome: NotSent, not_modified: false, copy: None, remark: None, first_byte_wait: None, report: LoadReport { in_flight: None, busy: None }, body: [] })
        ProbeAnswer { tag: Some(0000000000000001), takes_work: true }
        ProbeAnswer { tag: Some(0000000000000002), takes_work: false }
        ProbeAnswer { tag: None, takes_work: true }
    "#]].assert_eq(&decoded!(nodes::Decoder, next_message, bytes));
}

#[test]
fn a_malformed_message_of_a_node_is_named() {
    let bytes: [&[u8]; 5] = [
        b"hello\r\n",
        b"9b1f ok - 99999999\r\n",
        b"9b1f ok - -1\r\n",
        b"9b1f nope - 0\r\n",
        b"9b1f ok - 1\r\nabc\r\n",
    ];
    let decode = |bytes: &[u8]| decoded!(nodes::Decoder, next_message, bytes);
    expect![[r#"
        ! expected an answer, found 'hello'
        ! expected an answer, found '9b1f ok - 99999999'
        ! expected an answer, found '9b1f ok - -1'
        ! expected an answer, found '9b1f nope - 0'
        ! no line end after 1 bytes
    "#]]
    .assert_eq(&bytes.map(decode).concat());
}

#[test]
fn the_change_log() {
    let bytes = br#"41
{"seq":42,"fleet":{"version":7,"full":false,"servers":[{"id":"s-1","addr":"10.1.0.9:5050","zone":"east","kind":"std","cell":2,"state":"leaving","weight":4,"started_ms":0}]}}
{"seq":43,"invalidate":{"object":"7f3a","time":1764576000123}}
{"seq":44,"invalidate":{"bucket":17,"time":1764576000480}}
{"seq":45,"something":{"new":1}}
{"seq":46,"fleet":{"servers":[{"id":"s-1","state":"gone fishing"}]}}
"#;
    expect![[r#"
        Heartbeat(41)
        Change(Change { seq: 42, fleet: Some(Fleet { version: Some(7), full: false, servers: [ListedNode { id: "s-1", addr: Some(10.1.0.9:5050), zone: "east", kind: "std", cell: Some(2), state: Leaving, weight: Some(4.0), started_ms: Some(0) }] }), invalidate: None, rules: None, agreed: None })
        Change(Change { seq: 43, fleet: None, invalidate: Some(Purge { object: Some("7f3a"), bucket: None, time: 1764576000123 }), rules: None, agreed: None })
        Change(Change { seq: 44, fleet: None, invalidate: Some(Purge { object: None, bucket: Some(17), time: 1764576000480 }), rules: None, agreed: None })
        Change(Change { seq: 45, fleet: None, invalidate: None, rules: None, agreed: None })
        Unusable(46, "unknown variant `gone fishing`, expected one of `active`, `leaving`, `left` at line 1 column 64")
    "#]].assert_eq(&decoded!(changes::Decoder, next_line, bytes));
}

/// Bytes made of pieces of the protocols and of noise, from a seed.
fn random_bytes(seed: u64) -> Vec<u8> {
    const PIECES: [&[u8]; 16] = [
        b"*2\r\n",
        b"*5\r\n",
        b"$3\r\nREQ\r\n",
        b"$1\r\n7\r\n",
        b"$5\r\nABORT\r\n",
        b"$-1\r\n",
        b"$262144\r\n",
        b"9b1f ok ",
        b"why=local,ttfb=-1,rep=inflight:1e400 ",
        b"4\r\nbody\r\n",
        b"18446744073709551615\r\n",
        b"\r\n",
        b"{\"seq\":1",
        b",\"fleet\":{}}\n",
        b"99999999999999999999\n",
        b"{\"seq\":2,\"invalidate\":{\"time\":-1}}\n",
    ];
    let mut chance = Random::new(seed);
    let mut bytes = Vec::new();
    for _ in 0..chance.next_u32() % 12 {
        match chance.next_u32() % 20 {
            at @ 0..16 => bytes.extend_from_slice(PIECES[at as usize]),
            _ => bytes.push(chance.next_u32() as u8),
        }
    }
    bytes
}

#[test]
fn random_bytes_are_decoded_the_same_in_all_cuts() {
    let (mut read, mut unreadable) = (0, 0);
    for seed in 0..1_500 {
        let bytes = random_bytes(seed);
        let traces = [
            decoded!(clients::Decoder, next_message, &bytes),
            decoded!(nodes::Decoder, next_message, &bytes),
            decoded!(changes::Decoder, next_line, &bytes),
        ];
        read += traces.iter().filter(|trace| !trace.is_empty() && !trace.starts_with('!')).count();
        unreadable += traces.iter().filter(|trace| trace.contains("! ")).count();
    }
    assert!(read > 50 && unreadable > 1_000, "{read} {unreadable}");
}
