//! Resource limits on real sockets: floods of requests, exhausted file descriptors, and a node that reads nothing.

use crate::common::request;
use crate::rig::{LONG, Rig, UNHURRIED, answer, lies_read, processor_s, quiet, reset, still_there, told};
use socket2::SockRef;
use std::io::{Read, Write};
use std::net::TcpListener;
use std::process::Stdio;
use std::thread;
use std::time::{Duration, Instant};

/// Clients send many requests at once and reset their connections: other clients are not held up.
#[test]
fn floods_of_requests_that_end_in_a_reset_hold_up_no_other_client() {
    let rig = Rig::start();
    for round in 0..20 {
        let mut flood = Vec::new();
        (1..=64)
            .for_each(|tag| flood.extend(request(tag, "image", &format!("{round:02x}{tag:02x}"), UNHURRIED)));
        let mut client = rig.client();
        client.write_all(&flood).expect("the program reads");
        reset(&client);
    }
    let mut client = rig.client();
    client.write_all(&request(7, "post", "9b1f", UNHURRIED)).expect("the program reads");
    let mut asked = loop {
        let asked = rig.asked();
        if asked.line.starts_with("fetch 9b1f") {
            break asked;
        }
    };
    asked.back.write_all(&told("9b1f ok - 4", b"done\r\n")).expect("the program reads");
    assert_eq!(answer(&client), "7 OK  done\n");
}

/// Idle clients use up the file descriptors while the change log is down: once it is back, the program connects to it
/// and to nodes, and serves other clients. The processor time shows that there is no busy loop.
#[test]
fn idle_clients_that_use_up_descriptors_block_neither_change_log_nor_nodes() {
    let mut rig = Rig::limited("ulimit -n 40", Stdio::null());
    let log_address = rig.log.local_addr().expect("an address");
    reset(&rig.log);
    let mut idle = Vec::new();
    let mut used = 0.0;
    for round in 0..6 {
        while idle.len() < 60 {
            let stream = rig.client();
            stream.set_nonblocking(true).expect("an option");
            idle.push(stream);
        }
        thread::sleep(Duration::from_millis(200));
        // Clients that were closed connect again.
        idle.retain(still_there);
        if round == 0 {
            used = processor_s(rig.program.id());
        }
    }
    let used = processor_s(rig.program.id()) - used;
    assert!(used < 0.8, "{used} s of processor time in one second");
    let listener = TcpListener::bind(log_address).expect("the address is free");
    let until = Instant::now() + LONG;
    listener.set_nonblocking(true).expect("an option");
    rig.log = loop {
        match listener.accept() {
            Ok((stream, _)) => break stream,
            Err(_) => assert!(Instant::now() < until, "no connection to the change log"),
        }
        thread::sleep(Duration::from_millis(2));
    };
    let mut client = rig.client();
    client.write_all(&request(7, "post", "9b1f", UNHURRIED)).expect("the program reads");
    let mut asked = rig.asked();
    asked.back.write_all(&told("9b1f ok - 4", b"done\r\n")).expect("the program reads");
    assert_eq!(answer(&client), "7 OK  done\n");
}

/// An origin reads nothing while posts are sent to it, then all clients leave, then it reads again: each post that
/// arrives is followed by its abort, and the program doesn't keep waiting to write output that it has truncated.
#[test]
fn output_that_a_full_connection_has_not_taken_is_truncated_without_a_busy_loop() {
    let mut rig = Rig::start();
    let origin = TcpListener::bind("127.0.0.1:0").expect("a free port");
    SockRef::from(&origin).set_recv_buffer_size(4_096).expect("an option");
    let at = origin.local_addr().expect("an address");
    rig.tell(&format!(
        "{{\"seq\":2,\"fleet\":{{\"servers\":[{{\"id\":\"o-1\",\"addr\":\"{at}\",\"state\":\"active\",\"zone\":\"hub\",\"kind\":\"origin\",\"weight\":80}}]}}}}\n"
    ));
    lies_read(&rig);
    let body = "x".repeat(47_000);
    let clients: Vec<_> = (0..12)
        .map(|client| {
            let mut stream = rig.client();
            for tag in 1..=32 {
                let post =
                    String::from_utf8(request(tag, "post", &format!("{client:02x}{tag:02x}"), UNHURRIED));
                let post = post.expect("text").replace("$0\r\n", &format!("$47000\r\n{body}"));
                stream.write_all(post.as_bytes()).expect("the program reads");
            }
            stream
        })
        .collect();
    assert_eq!(quiet(&rig), "8 UP\nnobody is asked\n");
    drop(clients);
    assert_eq!(quiet(&rig), "8 UP\nnobody is asked\n");
    // The origin now reads until nothing more arrives.
    origin.set_nonblocking(true).expect("an option");
    let mut received = String::new();
    while let Ok((mut stream, _)) = origin.accept() {
        stream.set_nonblocking(false).expect("an option");
        stream.set_read_timeout(Some(Duration::from_millis(700))).expect("an option");
        let mut bytes = Vec::new();
        let mut buffer = vec![0; 65_536];
        while let Ok(count) = stream.read(&mut buffer)
            && count > 0
        {
            bytes.extend_from_slice(&buffer[..count]);
        }
        received += &String::from_utf8_lossy(&bytes);
    }
    let used = processor_s(rig.program.id());
    thread::sleep(Duration::from_millis(1_000));
    let used = processor_s(rig.program.id()) - used;
    assert!(used < 0.5, "{used} s of processor time in one second");
    let ids = |verb: &str| {
        let lines = received.lines().filter_map(|line| line.strip_prefix(verb)?.split(' ').next());
        let mut ids: Vec<_> = lines.map(str::to_string).collect();
        ids.sort();
        ids
    };
    let (fetched, aborted) = (ids("fetch "), ids("abort "));
    assert!(!fetched.is_empty() && fetched.len() < 380, "{} arrived", fetched.len());
    assert_eq!(fetched, aborted);
}
