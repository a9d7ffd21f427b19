//! Rare moments on real sockets: what comes in the very moment in which a connection, a client or the program ends. The
//! program is stopped where two things are to be found by it at once, so that no test waits and hopes. Each line of
//! `docs/crossings.md` names its test.

use crate::common::{message, request};
use crate::rig::{LONG, Rig, UNHURRIED, answer, items, shown, told};
use expect_test::expect;
use socket2::SockRef;
use std::io::{BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::process::Stdio;
use std::thread;
use std::time::{Duration, Instant};

/// Ends a connection by a reset.
fn reset(stream: &TcpStream) {
    SockRef::from(stream).set_linger(Some(Duration::ZERO)).expect("an option");
    SockRef::from(stream).shutdown(Shutdown::Both).ok();
}

/// All that still comes on a connection, and how it ends.
fn rest(mut stream: &TcpStream) -> String {
    let mut all = Vec::new();
    let end = stream.read_to_end(&mut all);
    format!(
        "{}{}\n",
        all.escape_ascii(),
        end.map_or_else(|fault| format!(" {:?}", fault.kind()), |_| " end".into())
    )
}

/// Waits until what was written on this side lies unread at the stopped program, or the end where the sending side has ended:
/// under load a kernel takes its time over loopback too.
fn lies_unread(stream: &TcpStream, ended: bool) {
    let port = |address: std::io::Result<std::net::SocketAddr>| {
        format!(":{:04X}", address.expect("an address").port())
    };
    let (theirs, ours) = (port(stream.peer_addr()), port(stream.local_addr()));
    let until = Instant::now() + LONG;
    loop {
        let table = std::fs::read_to_string("/proc/net/tcp").expect("a table of sockets");
        let found = table.lines().map(|line| line.split_whitespace().collect::<Vec<_>>()).any(|fields| {
            let of_it = fields.len() > 4 && fields[1].ends_with(&theirs) && fields[2].ends_with(&ours);
            // State 8 has seen the end; else bytes are in the queue to be read.
            of_it && if ended { fields[3] == "08" } else { !fields[4].ends_with(":00000000") }
        });
        if found {
            return;
        }
        assert!(Instant::now() < until, "nothing comes to the program");
        thread::sleep(Duration::from_millis(1));
    }
}

/// A client that sends far more than is read in one turn behind what can't be read: what was answered reaches it, and then
/// an end, no reset. A close over unread bytes would be one, and take the answer with it.
#[test]
fn what_was_answered_reaches_a_client_that_goes_on_sending_what_cannot_be_read() {
    for _ in 0..10 {
        let rig = Rig::start();
        let mut client = rig.client();
        let mut bytes = message("HEALTH", 1);
        bytes.extend_from_slice(b"GET / HTTP/1.1\r\n");
        bytes.extend(std::iter::repeat_n(b'x', 400_000));
        rig.signal("STOP");
        client.write_all(&bytes).expect("it is kept for the program");
        rig.signal("CONT");
        assert_eq!(
            rest(&client),
            "*4\\r\\n$1\\r\\n1\\r\\n$2\\r\\nUP\\r\\n$0\\r\\n\\r\\n$0\\r\\n\\r\\n end\n"
        );
    }
}

/// What was asked before a line that can't be read is owed its answer.
#[test]
fn what_was_asked_before_a_line_that_cannot_be_read_is_answered() {
    let rig = Rig::start();
    let mut client = rig.client();
    let mut bytes = request(7, "post", "9b1f", UNHURRIED);
    bytes.extend_from_slice(b"GET / HTTP/1.1\r\n");
    client.write_all(&bytes).expect("the program reads");
    let mut asked = rig.asked();
    asked.back.write_all(&told("9b1f ok - 4", b"done\r\n")).expect("the program reads");
    let mut trace = answer(&client);
    trace += &rest(&client);
    expect![[r#"
        7 OK  done
         end
    "#]]
    .assert_eq(&trace);
}

/// A client that ends its sending side may have left: nothing is sent on for it any more. One that still reads is told so.
#[test]
fn a_client_that_ends_its_sending_side_is_told_at_once_and_nothing_goes_on() {
    let rig = Rig::start();
    let mut client = rig.client();
    client.write_all(&request(7, "image", "9b1f", UNHURRIED)).expect("the program reads");
    let mut first = rig.asked();
    client.shutdown(Shutdown::Write).expect("an end");
    let mut trace = answer(&client);
    trace += &rest(&client);
    let abort = rig.asked();
    trace += &shown(&abort);
    // The miss that would have led to a fill.
    first.back.write_all(&told("9b1f nothing - 0", b"\r\n")).expect("the program reads");
    trace += &quiet(&rig);
    expect![[r#"
        7 FAILED
         end
        s-a: abort 9b1f
        8 UP
        nobody is asked
    "#]]
    .assert_eq(&trace);
}

/// The program has read all that came before this: a client of its own is answered, and no node was asked anything.
fn quiet(rig: &Rig) -> String {
    let mut client = rig.client();
    client.write_all(&message("HEALTH", 8)).expect("the program reads");
    let mut trace = answer(&client);
    trace += match rig.asked.try_recv() {
        Ok(asked) => return trace + &shown(&asked),
        Err(_) => "nobody is asked\n",
    };
    trace
}

/// A node's miss and its client's end are found in one turn, the miss first: no fill is asked for.
#[test]
fn a_miss_and_its_clients_end_in_one_turn_lead_to_no_fill() {
    for _ in 0..10 {
        let rig = Rig::start();
        let mut client = rig.client();
        client.write_all(&request(7, "image", "9b1f", UNHURRIED)).expect("the program reads");
        let mut first = rig.asked();
        rig.signal("STOP");
        first.back.write_all(&told("9b1f nothing - 0", b"\r\n")).expect("it is kept for the program");
        lies_unread(&first.back, false);
        client.shutdown(Shutdown::Write).expect("an end");
        lies_unread(&client, true);
        rig.signal("CONT");
        let mut trace = shown(&rig.asked());
        trace += &quiet(&rig);
        assert_eq!(trace, "s-a: abort 9b1f\n8 UP\nnobody is asked\n");
    }
}

/// A request and its client's end lie waiting together, on a connection that is new or not: nothing is sent on.
#[test]
fn a_request_whose_client_has_left_is_not_sent_on() {
    for round in 0..10 {
        let rig = Rig::start();
        let mut old = rig.client();
        old.write_all(&message("HEALTH", 1)).expect("the program reads");
        assert_eq!(answer(&old), "1 UP\n");
        rig.signal("STOP");
        let mut client = if round % 2 == 0 { old } else { rig.client() };
        client.write_all(&request(7, "image", "9b1f", UNHURRIED)).expect("it is kept for the program");
        client.shutdown(Shutdown::Write).expect("an end");
        lies_unread(&client, true);
        rig.signal("CONT");
        assert_eq!(quiet(&rig), "8 UP\nnobody is asked\n", "round {round}");
        assert_eq!(quiet(&rig), "8 UP\nnobody is asked\n", "round {round}");
    }
}

/// A drain and a miss are found in one turn, the miss first: the fill is not asked of the node that drains.
#[test]
fn a_miss_and_a_drain_in_one_turn_lead_to_no_pull_there() {
    for _ in 0..10 {
        let mut rig = Rig::start();
        let mut client = rig.client();
        client.write_all(&request(7, "image", "9b1f", UNHURRIED)).expect("the program reads");
        let mut first = rig.asked();
        rig.signal("STOP");
        first.back.write_all(&told("9b1f nothing - 0", b"\r\n")).expect("it is kept for the program");
        lies_unread(&first.back, false);
        let node = first.node;
        rig.tell(&format!(
            "{{\"seq\":2,\"fleet\":{{\"servers\":[{{\"id\":\"{node}\",\"state\":\"leaving\",\"zone\":\"east\",\"kind\":\"box\"}}]}}}}\n"
        ));
        lies_unread(&rig.log, false);
        rig.signal("CONT");
        let second = rig.asked();
        assert_ne!(second.node, node, "{}", second.line);
    }
}

/// An abort lies behind more than is read in a turn, and a timer that would ask another node falls due in the same one.
#[test]
fn an_abort_behind_many_bytes_is_heard_before_time_is_called() {
    let rig = Rig::start();
    let mut client = rig.client();
    client.write_all(&request(7, "image", "9b1f", ",need=1500,timeout=15000")).expect("the program reads");
    let first = rig.asked();
    rig.signal("STOP");
    let body = "x".repeat(40_000);
    let mut bytes = Vec::new();
    for tag in 100..107 {
        let unusable = request(tag, "nothing-known", &format!("9c{tag}"), "");
        let text = String::from_utf8(unusable).expect("text").replace("$0\r\n", &format!("$40000\r\n{body}"));
        bytes.extend(text.into_bytes());
    }
    bytes.extend(message("ABORT", 7));
    SockRef::from(&client).set_send_buffer_size(1_000_000).expect("an option");
    client.write_all(&bytes).expect("it is kept for the program");
    // The pull is overdue after 0.9 s, and its node silent: all that is out there would go elsewhere.
    thread::sleep(Duration::from_millis(1_200));
    rig.signal("CONT");
    let next = rig.asked();
    assert_eq!((next.node, &next.line[..5]), (first.node, "abort"));
    let mut reader = BufReader::new(&client);
    (0..7).for_each(|_| assert_eq!(items(&mut reader)[1], b"FAILED"));
    assert_eq!(quiet(&rig), "8 UP\nnobody is asked\n");
}

/// Connections and requests that lie unread in the kernel as the program ends are answered, and each connection ends
/// without a reset. Before, the listener and all connections were dropped over them.
#[test]
fn what_lies_unread_at_the_end_is_refused_and_every_connection_ends_in_order() {
    let mut rig = Rig::start();
    let resting = rig.client();
    let mut client = rig.client();
    client.write_all(&message("HEALTH", 1)).expect("the program reads");
    let mut trace = answer(&client);
    rig.signal("TERM");
    while {
        client.write_all(&message("HEALTH", 2)).expect("the program reads");
        !answer(&client).contains("DOWN")
    } {}
    rig.signal("STOP");
    let mut late = rig.client();
    late.write_all(&request(8, "image", "9b20", UNHURRIED)).expect("it is kept for the program");
    // Nothing new is waited for 0.75 s after the signal.
    thread::sleep(Duration::from_millis(900));
    rig.signal("CONT");
    trace += &answer(&late);
    trace += &rest(&resting);
    trace += &rest(&client);
    trace += &rest(&late);
    trace += &format!("{:?}\n", rig.program.wait().expect("the program ends").code());
    expect![[r#"
        1 UP
        8 BUSY
         end
         end
         end
        Some(0)
    "#]]
    .assert_eq(&trace);
}

/// Told to end twice, and to read its configuration in between, it answers what is open and ends well.
#[test]
fn further_signals_change_nothing_of_the_end() {
    let mut rig = Rig::start();
    let mut client = rig.client();
    client.write_all(&request(7, "post", "9b1f", UNHURRIED)).expect("the program reads");
    let mut asked = rig.asked();
    ["TERM", "HUP", "TERM", "HUP"].iter().for_each(|name| rig.signal(name));
    let mut late = rig.client();
    while {
        late.write_all(&message("HEALTH", 1)).expect("the program reads");
        answer(&late).contains("UP")
    } {}
    asked.back.write_all(&told("9b1f ok - 4", b"done\r\n")).expect("the program reads");
    let mut trace = answer(&client);
    trace += &rest(&client);
    trace += &format!("{:?}\n", rig.program.wait().expect("the program ends").code());
    expect![[r#"
        7 OK  done
         end
        Some(0)
    "#]]
    .assert_eq(&trace);
}

/// An answer and a reset behind it are found in one turn: the answer counts, and the download runs once.
#[test]
fn an_answer_with_a_reset_behind_it_counts() {
    for _ in 0..10 {
        let rig = Rig::start();
        let mut client = rig.client();
        client.write_all(&request(7, "post", "9b1f", UNHURRIED)).expect("the program reads");
        let mut asked = rig.asked();
        rig.signal("STOP");
        asked.back.write_all(&told("9b1f ok - 4", b"done\r\n")).expect("it is kept for the program");
        lies_unread(&asked.back, false);
        reset(&asked.back);
        rig.signal("CONT");
        assert_eq!(answer(&client), "7 OK  done\n");
        assert_eq!(quiet(&rig), "8 UP\nnobody is asked\n");
    }
}

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

fn still_there(stream: &TcpStream) -> bool {
    matches!((&*stream).read(&mut [0; 16]), Err(fault) if fault.kind() == ErrorKind::WouldBlock)
}

/// The processor time that a process has used.
fn processor_s(pid: u32) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat")).expect("it runs");
    let fields: Vec<&str> = text.rsplit(") ").next().unwrap_or_default().split(' ').collect();
    [11, 12].iter().map(|at| fields[*at].parse::<f64>().expect("a number") / 100.0).sum()
}
