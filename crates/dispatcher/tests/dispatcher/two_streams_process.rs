//! The program follows two stand-ins for replicas on loopback sockets; one of them disappears while events arrive.

use crate::common::{CONFIG, message, request};
use crate::rig::{Asked, LONG, UNHURRIED, answer, stand_in};
use std::io::{BufRead, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command};
use std::sync::mpsc::{Receiver, channel};
use std::thread;
use std::time::{Duration, Instant};

/// A stand-in for a replica: its listener, and the stream of the program that follows it.
struct Replica {
    listener: TcpListener,
    stream: Option<TcpStream>,
}

impl Replica {
    fn listen() -> Replica {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        listener.set_nonblocking(true).expect("a listener");
        Replica { listener, stream: None }
    }

    fn port(&self) -> u16 {
        self.listener.local_addr().expect("an address").port()
    }

    /// Waits for a connection, and returns the last event that the program has received.
    fn accept_since(&mut self) -> u64 {
        let until = Instant::now() + LONG;
        let stream = loop {
            match self.listener.accept() {
                Ok((stream, _)) => break stream,
                Err(_) => assert!(Instant::now() < until, "the program does not connect"),
            }
            thread::sleep(Duration::from_millis(2));
        };
        stream.set_nonblocking(false).expect("a stream");
        let mut line = String::new();
        BufReader::new(&stream).read_line(&mut line).expect("a line");
        self.stream = Some(stream);
        line.strip_prefix("since ").and_then(|since| since.trim().parse().ok()).expect("a number")
    }

    fn send(&mut self, line: &str) {
        let stream = self.stream.as_mut().expect("it is followed");
        stream.write_all(format!("{line}\n").as_bytes()).expect("the program reads");
    }
}

/// A running program that follows two replicas, with stand-ins for its nodes.
struct Rig {
    program: Child,
    address: String,
    asked: Receiver<Asked>,
    files: [PathBuf; 2],
}

impl Rig {
    /// Starts the program, which follows both replicas.
    fn start(replicas: &mut [Replica; 2]) -> Rig {
        let (sender, asked) = channel();
        let free = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let port = free.local_addr().expect("an address").port();
        // A loopback address of its own: another test may have taken the port since it was found free.
        let address = format!("127.251.{}.1:{port}", 1 + std::process::id() % 250);
        let mut config = CONFIG.replace("127.0.0.1:5050", &address);
        for expiry in ["5.0", "3.0"] {
            config = config.replace(&format!("\"deadline_s\": {expiry}"), "\"deadline_s\": 15.0");
        }
        for (node, port) in [("s-a", 6001), ("s-b", 6002), ("p-1", 6003), ("p-2", 6004), ("o-1", 6005)] {
            config = config.replace(&format!("127.0.0.1:{port}"), &stand_in(node, sender.clone()));
        }
        let addresses = replicas.each_ref().map(|replica| {
            let port = replica.port();
            format!(r#"{{"address":"127.0.0.1:{port}","region":"north","zone":"z{port}"}}"#)
        });
        let operator = format!(
            r#"{{"lists":{{"calls_per_s":60,"dispatchers":10,"replicas":[{}]}}}}"#,
            addresses.join(",")
        );
        let file = |name: &str| std::env::temp_dir().join(format!("copperroute-two-{port}-{name}.json"));
        let files = [file("config"), file("operator")];
        std::fs::write(&files[0], config).expect("a temporary file");
        std::fs::write(&files[1], operator).expect("a temporary file");
        let program = Command::new(env!("CARGO_BIN_EXE_copperroute"))
            .args(["serve", "--config"])
            .arg(&files[0])
            .arg("--operator")
            .arg(&files[1])
            .spawn()
            .expect("the program starts");
        let rig = Rig { program, address, asked, files };
        for replica in replicas {
            assert_eq!(replica.accept_since(), 1);
            replica.send("1");
        }
        rig
    }

    /// The node that is asked for an object, after the program has read all earlier events.
    fn asked_node(&self, id: &str) -> &'static str {
        let mut client = TcpStream::connect(&self.address).expect("the program listens");
        client.set_read_timeout(Some(LONG)).expect("a timeout");
        // A turn of the event loop reads the change log before clients, and one turn may have begun before the
        // event was sent.
        for tag in 1..4 {
            client.write_all(&message("HEALTH", tag)).expect("the program reads");
            answer(&client);
        }
        client.write_all(&request(7, "image", id, UNHURRIED)).expect("the program reads");
        // Other lines are aborts of earlier attempts.
        loop {
            let asked = self.asked.recv_timeout(LONG).expect("a node is asked");
            if asked.line.starts_with("fetch") && asked.line.contains(id) {
                return asked.node;
            }
        }
    }
}

impl Drop for Rig {
    fn drop(&mut self) {
        let _ = self.program.kill();
        let _ = self.program.wait();
        self.files.iter().for_each(|file| drop(std::fs::remove_file(file)));
    }
}

#[test]
fn events_of_one_replica_apply_while_the_other_is_gone() {
    let mut replicas = [Replica::listen(), Replica::listen()];
    let rig = Rig::start(&mut replicas);
    let first = rig.asked_node("9b1f");
    let purge = |seq| format!(r#"{{"seq":{seq},"invalidate":{{"object":"7f3a","time":1764576000100}}}}"#);
    for seq in 2..10 {
        replicas.iter_mut().for_each(|replica| replica.send(&purge(seq)));
    }
    // One replica closes while events arrive: the other goes on.
    replicas[0].stream = None;
    for seq in 10..20 {
        replicas[1].send(&purge(seq));
    }
    let drain = format!(
        r#"{{"seq":20,"fleet":{{"servers":[{{"id":"{first}","zone":"east","kind":"box","state":"left"}}]}}}}"#
    );
    replicas[1].send(&drain);
    let sent = Instant::now();
    assert_ne!(rig.asked_node("9b20"), first, "the drain of event 20 applies");
    // Well within the 2 s after which a silent stream is closed.
    assert!(sent.elapsed() < Duration::from_secs(2), "after {:?}", sent.elapsed());
    let since = replicas[0].accept_since();
    assert!((9..=20).contains(&since), "reconnected from event {since}");
    // The replica that is back sends the rest, and is then the only one.
    (since + 1..20).for_each(|seq| replicas[0].send(&purge(seq)));
    if since < 20 {
        replicas[0].send(&drain);
    }
    replicas[0].send(&purge(21));
    replicas[0].send("21");
    rig.asked_node("9b21");
    // On a slow machine the program may have closed this silent stream earlier and reconnected from the event it
    // knew then.
    let until = Instant::now() + LONG;
    loop {
        replicas[1].stream = None;
        let since = replicas[1].accept_since();
        if since == 21 {
            return;
        }
        assert!(since < 21 && Instant::now() < until, "connected from event {since}");
    }
}
