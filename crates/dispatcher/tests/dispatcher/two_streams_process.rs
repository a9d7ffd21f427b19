//! The program itself between two stand-ins of replicas, on loopback sockets: one of them vanishes while events come.

use crate::common::{CONFIG, message, request};
use crate::rig::{Asked, LONG, UNHURRIED, answer, stand_in};
use std::io::{BufRead, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command};
use std::sync::mpsc::{Receiver, channel};
use std::thread;
use std::time::{Duration, Instant};

/// A stand-in of a replica: its listener, and the stream that follows it.
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

    /// Waits until it is called, and returns the event that the program has heard of.
    fn called(&mut self) -> u64 {
        let until = Instant::now() + LONG;
        let stream = loop {
            match self.listener.accept() {
                Ok((stream, _)) => break stream,
                Err(_) => assert!(Instant::now() < until, "the program does not call"),
            }
            thread::sleep(Duration::from_millis(2));
        };
        stream.set_nonblocking(false).expect("a stream");
        let mut line = String::new();
        BufReader::new(&stream).read_line(&mut line).expect("a line");
        self.stream = Some(stream);
        line.strip_prefix("since ").and_then(|since| since.trim().parse().ok()).expect("a number")
    }

    fn tell(&mut self, line: &str) {
        let stream = self.stream.as_mut().expect("it is followed");
        stream.write_all(format!("{line}\n").as_bytes()).expect("the program reads");
    }
}

struct Rig {
    program: Child,
    address: String,
    asked: Receiver<Asked>,
    files: [PathBuf; 2],
}

impl Rig {
    /// The program, which follows both.
    fn start(replicas: &mut [Replica; 2]) -> Rig {
        let (tell, asked) = channel();
        let free = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let port = free.local_addr().expect("an address").port();
        // An address of its own: a port that was free a moment ago may be another test's by now.
        let address = format!("127.251.{}.1:{port}", 1 + std::process::id() % 250);
        let mut config = CONFIG.replace("127.0.0.1:5050", &address);
        for expiry in ["5.0", "3.0"] {
            config = config.replace(&format!("\"deadline_s\": {expiry}"), "\"deadline_s\": 15.0");
        }
        for (node, port) in [("s-a", 6001), ("s-b", 6002), ("p-1", 6003), ("p-2", 6004), ("o-1", 6005)] {
            config = config.replace(&format!("127.0.0.1:{port}"), &stand_in(node, tell.clone()));
        }
        let told = replicas.each_ref().map(|replica| {
            let port = replica.port();
            format!(r#"{{"address":"127.0.0.1:{port}","region":"north","zone":"z{port}"}}"#)
        });
        let operator =
            format!(r#"{{"lists":{{"calls_per_s":60,"dispatchers":10,"replicas":[{}]}}}}"#, told.join(","));
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
            assert_eq!(replica.called(), 1);
            replica.tell("1");
        }
        rig
    }

    /// The node that is asked for an object, once all that was told is read.
    fn asks(&self, id: &str) -> &'static str {
        let mut client = TcpStream::connect(&self.address).expect("the program listens");
        client.set_read_timeout(Some(LONG)).expect("a timeout");
        // The change log is read before clients in a turn, and one turn may have begun before it was told.
        for tag in 1..4 {
            client.write_all(&message("HEALTH", tag)).expect("the program reads");
            answer(&client);
        }
        client.write_all(&request(7, "image", id, UNHURRIED)).expect("the program reads");
        // Other lines call off what was asked for before.
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
fn one_of_two_replicas_vanishes_and_the_other_drains_a_node_meanwhile() {
    let mut replicas = [Replica::listen(), Replica::listen()];
    let rig = Rig::start(&mut replicas);
    let first = rig.asks("9b1f");
    let purge = |seq| format!(r#"{{"seq":{seq},"invalidate":{{"object":"7f3a","time":1764576000100}}}}"#);
    for seq in 2..10 {
        replicas.iter_mut().for_each(|replica| replica.tell(&purge(seq)));
    }
    // It ends in the midst of events: the other goes on.
    replicas[0].stream = None;
    for seq in 10..20 {
        replicas[1].tell(&purge(seq));
    }
    let drain = format!(
        r#"{{"seq":20,"fleet":{{"servers":[{{"id":"{first}","zone":"east","kind":"box","state":"left"}}]}}}}"#
    );
    replicas[1].tell(&drain);
    let told = Instant::now();
    assert_ne!(rig.asks("9b20"), first, "the drain of event 20 acts");
    // Far within the 2 s after which a silent stream is given up.
    assert!(told.elapsed() < Duration::from_secs(2), "after {:?}", told.elapsed());
    let since = replicas[0].called();
    assert!((9..=20).contains(&since), "called again for what follows event {since}");
    // The one that is back tells the rest, and carries on alone.
    (since + 1..20).for_each(|seq| replicas[0].tell(&purge(seq)));
    if since < 20 {
        replicas[0].tell(&drain);
    }
    replicas[0].tell(&purge(21));
    replicas[0].tell("21");
    rig.asks("9b21");
    // On a slow machine it may have been given up before, as it says nothing, and called for what was known then.
    let until = Instant::now() + LONG;
    loop {
        replicas[1].stream = None;
        let since = replicas[1].called();
        if since == 21 {
            return;
        }
        assert!(since < 21 && Instant::now() < until, "called for what follows event {since}");
    }
}
