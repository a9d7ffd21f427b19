//! The program on loopback sockets, with small stand-ins for nodes and the change log.

use crate::common::{message, request};
use crate::rig::{Rig, UNHURRIED, answer, followed, items, shown, told};
use expect_test::expect;
use std::io::{BufReader, Read, Write};
use std::net::{Shutdown, TcpListener};
use std::process::Stdio;
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

#[test]
fn a_request_is_served_although_a_node_fails_midway() {
    let rig = Rig::start();
    let mut client = rig.client();
    client.write_all(&message("HEALTH", 1)).expect("the program reads");
    let mut trace = answer(&client);
    let bytes = request(7, "image", "9b1f", UNHURRIED);
    client.write_all(&bytes[..30]).expect("the program reads");
    client.write_all(&bytes[30..]).expect("the program reads");
    let mut first = rig.asked();
    trace += &shown(&first);
    first.back.write_all(&told("9b1f ok why=local 400", b"half of it")).expect("the program reads");
    first.back.shutdown(Shutdown::Both).expect("the node dies");
    let mut second = rig.asked();
    trace += &shown(&second);
    second.back.write_all(&told("9b1f ok why=local 6", b"\r\n\x00\xff\r\n\r\n")).expect("the program reads");
    trace += &answer(&client);
    expect![[r#"
        1 UP
        s-a: fetch 9b1f lane=image,name=7f3a,piece=0,ttl=T 0
        s-b: fetch 9b1f lane=image,name=7f3a,piece=0,ttl=T 0
        7 OK  \r\n\x00\xff\r\n
    "#]]
    .assert_eq(&trace);
}

#[test]
fn a_purge_and_a_drain_apply() {
    let mut rig = Rig::start();
    let mut client = rig.client();
    client.write_all(&request(7, "image", "9b1f", UNHURRIED)).expect("the program reads");
    let mut first = rig.asked();
    let mut trace = shown(&first);
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).expect("a time after 1970").as_millis();
    let drains = format!(
        "{{\"seq\":2,\"invalidate\":{{\"object\":\"7f3a000000000000\",\"time\":{unix}}}}}\n\
         {{\"seq\":3,\"fleet\":{{\"servers\":[{{\"id\":\"{}\",\"state\":\"leaving\",\"zone\":\"east\",\"kind\":\"box\"}}]}}}}\n",
        first.node
    );
    rig.tell(&drains);
    // The program has read the change log once an attempt carries an age limit.
    let mut second = loop {
        client.write_all(&request(8, "image", "9b20", UNHURRIED)).expect("the program reads");
        let asked = rig.asked();
        if asked.line.contains("maxage") {
            break asked;
        }
        let mut back = asked.back;
        back.write_all(&told("9b20 ok why=local 1", b"x\r\n")).expect("the program reads");
        answer(&client);
    };
    assert_ne!(first.node, second.node);
    assert!(second.line.contains("maxage="));
    first.back.write_all(&told("9b1f ok why=local 1", b"a\r\n")).expect("the program reads");
    trace += &answer(&client);
    second.back.write_all(&told("9b20 ok why=local 1", b"b\r\n")).expect("the program reads");
    trace += &answer(&client);
    expect![[r#"
        s-a: fetch 9b1f lane=image,name=7f3a,piece=0,ttl=T 0
        7 OK  a
        8 OK  b
    "#]]
    .assert_eq(&trace);
}

#[test]
fn on_sigterm_open_requests_are_answered_and_the_program_exits_with_0() {
    let mut rig = Rig::start();
    let mut client = rig.client();
    client.write_all(&request(7, "post", "9b1f", UNHURRIED)).expect("the program reads");
    let mut asked = rig.asked();
    rig.signal("TERM");
    let mut late = rig.client();
    while {
        late.write_all(&message("HEALTH", 1)).expect("the program reads");
        answer(&late).contains("UP")
    } {}
    late.write_all(&request(2, "image", "9b20", UNHURRIED)).expect("the program reads");
    let mut second = rig.asked();
    second.back.write_all(&told("9b20 ok why=local 1", b"x\r\n")).expect("the program reads");
    let mut trace = answer(&late);
    asked.back.write_all(&told("9b1f ok - 4", b"done\r\n")).expect("the program reads");
    trace += &answer(&client);
    let status = rig.program.wait().expect("the program ends");
    trace += &format!("{:?}\n", status.code());
    expect![[r#"
        2 OK  x
        7 OK  done
        Some(0)
    "#]]
    .assert_eq(&trace);
}

#[test]
fn a_reload_ends_no_request_and_follows_the_change_log_at_its_new_address() {
    let rig = Rig::start();
    let mut client = rig.client();
    client.write_all(&request(7, "post", "9b1f", UNHURRIED)).expect("the program reads");
    let mut asked = rig.asked();
    let text = std::fs::read_to_string(&rig.config).expect("the configuration");
    std::fs::write(&rig.config, "{").expect("a faulty configuration");
    rig.signal("HUP");
    client.write_all(&message("HEALTH", 8)).expect("the program reads");
    let mut trace = answer(&client);
    let elsewhere = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = |address: std::io::Result<std::net::SocketAddr>| address.expect("an address").to_string();
    let moved = text.replace(&address(rig.log.local_addr()), &address(elsewhere.local_addr()));
    std::fs::write(&rig.config, moved).expect("a new configuration");
    rig.signal("HUP");
    followed(&elsewhere);
    asked.back.write_all(&told("9b1f ok - 4", b"done\r\n")).expect("the program reads");
    trace += &answer(&client);
    expect![[r#"
        8 UP
        7 OK  done
    "#]]
    .assert_eq(&trace);
}

#[test]
fn running_out_of_descriptors_ends_no_request() {
    let rig = Rig::limited("ulimit -n 24", Stdio::null());
    let mut busy = rig.client();
    busy.write_all(&request(7, "image", "9b1f", UNHURRIED)).expect("the program reads");
    let mut asked = rig.asked();
    let idle: Vec<_> = (0..60).map(|_| rig.client()).collect();
    let mut last = rig.client();
    last.write_all(&message("HEALTH", 1)).expect("the program reads");
    let mut trace = answer(&last);
    asked.back.write_all(&told("9b1f ok why=local 1", b"x\r\n")).expect("the program reads");
    trace += &answer(&busy);
    drop(idle);
    expect![[r#"
        1 UP
        7 OK  x
    "#]]
    .assert_eq(&trace);
}

#[test]
fn a_client_that_reads_slowly_gets_every_byte() {
    let rig = Rig::start();
    let mut client = rig.client();
    let body_of = |tag: u64| vec![b'a' + (tag % 26) as u8; 240_000 - tag as usize];
    for tag in 1..=32 {
        client
            .write_all(&request(tag, "image", &format!("9b{tag:02}"), UNHURRIED))
            .expect("the program reads");
    }
    let mut served = 0;
    while served < 32 {
        let mut asked = rig.asked();
        let id = asked.line.split(' ').nth(1).expect("an id").to_string();
        let body = body_of(id[2..4].parse().expect("a tag"));
        asked.back.write_all(&told(&format!("{id} ok why=local {}", body.len()), b"")).expect("it reads");
        asked.back.write_all(&body).expect("it reads");
        asked.back.write_all(b"\r\n").expect("it reads");
        served += 1;
    }
    let mut reader = BufReader::new(&client);
    let mut whole: Vec<_> = (0..32).map(|_| items(&mut reader)).collect();
    whole.sort_by_key(|items| String::from_utf8_lossy(&items[0]).parse::<u64>().expect("a tag"));
    for (at, items) in whole.iter().enumerate() {
        assert!(items[1] == b"OK" && items[3] == body_of(at as u64 + 1), "answer {}", at + 1);
    }
}

#[test]
fn answers_written_before_a_client_is_closed_reach_it() {
    let rig = Rig::start();
    let mut client = rig.client();
    let mut bytes = message("HEALTH", 1);
    bytes.extend_from_slice(b"GET / HTTP/1.1\r\n");
    client.write_all(&bytes).expect("the program reads");
    let mut all = Vec::new();
    client.read_to_end(&mut all).expect("it closes");
    expect![[r#"*4\r\n$1\r\n1\r\n$2\r\nUP\r\n$0\r\n\r\n$0\r\n\r\n"#]]
        .assert_eq(&all.escape_ascii().to_string());
}

#[test]
fn after_a_pause_the_program_reads_before_it_counts_a_node_as_silent() {
    let rig = Rig::start();
    let mut client = rig.client();
    client.write_all(&request(7, "image", "9b1f", ",need=1500,timeout=15000")).expect("the program reads");
    let mut asked = rig.asked();
    rig.signal("STOP");
    asked
        .back
        .write_all(&told("9b1f ok why=local 1", b"x\r\n"))
        .expect("the kernel buffers it for the program");
    // The attempt is overdue after 0.9 s, while the program is stopped.
    thread::sleep(Duration::from_millis(1_200));
    rig.signal("CONT");
    let mut trace = answer(&client);
    client.write_all(&request(8, "image", "9b20", UNHURRIED)).expect("the program reads");
    trace += &shown(&rig.asked());
    expect![[r#"
        7 OK  x
        s-a: fetch 9b20 lane=image,name=7f3a,piece=0,ttl=T,keep=1 0
    "#]]
    .assert_eq(&trace);
}

#[test]
fn an_unread_log_pipe_does_not_block_the_program() {
    let mut rig = Rig::limited("true", Stdio::piped());
    // Each event costs a log line; together they exceed the capacity of a pipe by far.
    let node = "{\"id\":\"s-z\",\"addr\":\"127.0.0.1:6009\",\"zone\":\"far\",\"kind\":\"other\",\"state\":\"active\"}";
    for seq in 2..=1_500 {
        rig.tell(&format!("{{\"seq\":{seq},\"fleet\":{{\"servers\":[{node}]}}}}\n"));
    }
    let mut client = rig.client();
    client.write_all(&message("HEALTH", 401)).expect("the program reads");
    expect![[r#"
        401 UP
    "#]]
    .assert_eq(&answer(&client));
}
