//! Rare moments on real sockets where something is full: descriptors, a node's connection, the program's time.

use crate::common::request;
use crate::rig::{LONG, Rig, UNHURRIED, answer, lies_read, processor_s, quiet, reset, still_there, told};
use socket2::SockRef;
use std::io::{Read, Write};
use std::net::TcpListener;
use std::process::Stdio;
use std::thread;
use std::time::{Duration, Instant};

/// Clients send much at once and reset: nothing of it holds up others.
#[test]
fn floods_that_leave_by_a_reset_hold_up_nobody() {
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

/// Idle clients up to the limit of descriptors while the list service is down: once it is back it is reached, so are
/// nodes, and others are served. The processor's time shows that nothing spins.
#[test]
fn idle_clients_that_fill_the_descriptors_keep_neither_list_nor_nodes_away() {
    let mut rig = Rig::limited("ulimit -n 40", Stdio::null());
    let list_at = rig.log.local_addr().expect("an address");
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
        // Those that were ended come again.
        idle.retain(still_there);
        if round == 0 {
            used = processor_s(rig.program.id());
        }
    }
    let used = processor_s(rig.program.id()) - used;
    assert!(used < 0.8, "{used} s of processor time in one second");
    let list = TcpListener::bind(list_at).expect("the address is free");
    let until = Instant::now() + LONG;
    list.set_nonblocking(true).expect("an option");
    rig.log = loop {
        match list.accept() {
            Ok((stream, _)) => break stream,
            Err(_) => assert!(Instant::now() < until, "the list service is not reached"),
        }
        thread::sleep(Duration::from_millis(2));
    };
    let mut client = rig.client();
    client.write_all(&request(7, "post", "9b1f", UNHURRIED)).expect("the program reads");
    let mut asked = rig.asked();
    asked.back.write_all(&told("9b1f ok - 4", b"done\r\n")).expect("the program reads");
    assert_eq!(answer(&client), "7 OK  done\n");
}

/// An origin that takes no bytes while posts are asked of it, then all clients leave, then it reads on: of each post that
/// comes its abort comes too, and the program does not go on waiting to write what it has unsaid.
#[test]
fn what_a_full_connection_has_not_taken_is_unsaid_and_nothing_spins() {
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
    // Now it reads, and goes on reading until nothing more comes.
    origin.set_nonblocking(true).expect("an option");
    let mut came = String::new();
    while let Ok((mut stream, _)) = origin.accept() {
        stream.set_nonblocking(false).expect("an option");
        stream.set_read_timeout(Some(Duration::from_millis(700))).expect("an option");
        let mut bytes = Vec::new();
        let mut room = vec![0; 65_536];
        while let Ok(count) = stream.read(&mut room)
            && count > 0
        {
            bytes.extend_from_slice(&room[..count]);
        }
        came += &String::from_utf8_lossy(&bytes);
    }
    let used = processor_s(rig.program.id());
    thread::sleep(Duration::from_millis(1_000));
    let used = processor_s(rig.program.id()) - used;
    assert!(used < 0.5, "{used} s of processor time in one second");
    let ids = |verb: &str| {
        let lines = came.lines().filter_map(|line| line.strip_prefix(verb)?.split(' ').next());
        let mut ids: Vec<_> = lines.map(str::to_string).collect();
        ids.sort();
        ids
    };
    let (fetched, aborted) = (ids("fetch "), ids("abort "));
    assert!(!fetched.is_empty() && fetched.len() < 380, "{} came", fetched.len());
    assert_eq!(fetched, aborted);
}
