//! The program itself on loopback sockets, against small stand-ins of nodes and the change log.

use crate::common::{CONFIG, answered, message, request, short};
use expect_test::expect;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Nothing here takes nearly as long; it only ends a test that hangs.
const LONG: Duration = Duration::from_secs(20);

/// A download so large that no stand-in counts as slow, however busy the machine is.
const UNHURRIED: &str = ",need=25000,timeout=15000";

/// What a stand-in of a node was sent, and its way to answer.
struct Asked {
    node: &'static str,
    line: String,
    back: TcpStream,
}

/// A node: tells each line that it is sent, and answers nothing by itself.
fn stand_in(node: &'static str, asked: Sender<Asked>) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address").to_string();
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let asked = asked.clone();
            thread::spawn(move || {
                let mut lines = BufReader::new(stream.try_clone().expect("a second handle")).lines();
                while let Some(Ok(line)) = lines.next() {
                    if line.starts_with("fetch") {
                        lines.next();
                    }
                    let back = stream.try_clone().expect("a second handle");
                    if asked.send(Asked { node, line, back }).is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

/// A program that serves, with stand-ins all around.
struct Rig {
    program: Child,
    address: String,
    asked: Receiver<Asked>,
    log: TcpStream,
    config: PathBuf,
}

impl Rig {
    fn start() -> Rig {
        Rig::limited("true", Stdio::null())
    }

    /// The same after a command of the shell has set limits.
    fn limited(limits: &str, errors: Stdio) -> Rig {
        let (tell, asked) = channel();
        let log = TcpListener::bind("127.0.0.1:0").expect("a free port");
        // An address of its own: a port that was free a moment ago may be another test's by now.
        static RIGS: AtomicU32 = AtomicU32::new(0);
        let rig = RIGS.fetch_add(1, Ordering::Relaxed);
        let address = format!("127.{}.{}.1:5050", 1 + std::process::id() % 250, rig);
        let mut config = CONFIG.replace("127.0.0.1:5050", &address);
        config = config.replace("127.0.0.1:2379", &log.local_addr().expect("an address").to_string());
        for expiry in ["5.0", "3.0"] {
            config = config.replace(&format!("\"deadline_s\": {expiry}"), "\"deadline_s\": 15.0");
        }
        for (node, port) in [("s-a", 6001), ("s-b", 6002), ("p-1", 6003), ("p-2", 6004), ("o-1", 6005)] {
            config = config.replace(&format!("127.0.0.1:{port}"), &stand_in(node, tell.clone()));
        }
        let path = std::env::temp_dir().join(format!("copperroute-{}.json", address.replace(':', "-")));
        std::fs::write(&path, config).expect("a temporary file");
        let serve = format!("{limits}; exec \"$0\" serve --config \"$1\"");
        let program = Command::new("sh")
            .args(["-c", &serve, env!("CARGO_BIN_EXE_copperroute")])
            .arg(&path)
            .stderr(errors)
            .spawn()
            .expect("the program starts");
        // It connects to the change log once it has read its configuration and listens.
        let log = followed(&log);
        Rig { program, address, asked, log, config: path }
    }

    fn client(&self) -> TcpStream {
        let stream = TcpStream::connect(&self.address).expect("the program listens");
        stream.set_read_timeout(Some(LONG)).expect("a timeout");
        stream
    }

    fn asked(&self) -> Asked {
        self.asked.recv_timeout(LONG).expect("a node is asked")
    }

    /// The change log tells something.
    fn tell(&mut self, line: &str) {
        self.log.write_all(line.as_bytes()).expect("the program reads");
    }

    fn signal(&self, name: &str) {
        let kill = format!("kill -{name} {}", self.program.id());
        assert!(Command::new("sh").args(["-c", &kill]).status().expect("a shell").success());
    }
}

impl Drop for Rig {
    fn drop(&mut self) {
        let _ = self.program.kill();
        let _ = self.program.wait();
        let _ = std::fs::remove_file(&self.config);
    }
}

/// A stand-in of the change log that is followed from its first event.
fn followed(log: &TcpListener) -> TcpStream {
    log.set_nonblocking(true).expect("a listener");
    let until = Instant::now() + LONG;
    let mut stream = loop {
        match log.accept() {
            Ok((stream, _)) => break stream,
            Err(_) => assert!(Instant::now() < until, "the program does not follow the change log"),
        }
        thread::sleep(Duration::from_millis(2));
    };
    let mut since = [0; 8];
    stream.read_exact(&mut since).expect("a line");
    assert_eq!(&since, b"since 1\n");
    stream.write_all(b"1\n").expect("the program reads");
    stream
}

/// A node's answer and what follows its line.
fn told(answer: &str, rest: &[u8]) -> Vec<u8> {
    let mut bytes = answered(answer).into_bytes();
    bytes.extend_from_slice(b"\r\n");
    bytes.extend_from_slice(rest);
    bytes
}

/// An answer's four bulk strings.
fn items(reader: &mut impl BufRead) -> Vec<Vec<u8>> {
    let mut line = String::new();
    reader.read_line(&mut line).expect("an answer");
    assert_eq!(line, "*4\r\n");
    let mut item = || {
        line.clear();
        reader.read_line(&mut line).expect("a length");
        let length: usize = line.trim_end()[1..].parse().expect("a length");
        let mut item = vec![0; length + 2];
        reader.read_exact(&mut item).expect("an item");
        item.truncate(length);
        item
    };
    (0..4).map(|_| item()).collect()
}

/// An answer as a line.
fn answer(stream: &TcpStream) -> String {
    let words: Vec<_> =
        items(&mut BufReader::new(stream)).iter().map(|w| w.escape_ascii().to_string()).collect();
    words.join(" ").trim_end().to_string() + "\n"
}

/// Who is asked depends on hashes that are the same in every run; what varies from run to run is the wait.
fn shown(asked: &Asked) -> String {
    let wait = asked.line.split("ttl=").nth(1).map_or("", |rest| rest.split([',', ' ']).next().unwrap_or(""));
    short(&format!("{}: {}\n", asked.node, asked.line.replace(&format!("ttl={wait}"), "ttl=T")))
}

#[test]
fn a_download_is_served_though_a_node_dies_midway() {
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
fn a_purge_and_a_drain_are_heeded() {
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
    // The change log is heard when the next download names an age.
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
fn told_to_end_it_answers_what_is_open_and_ends_well() {
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
fn told_to_read_its_configuration_again_it_ends_nothing_and_follows_the_log_elsewhere() {
    let rig = Rig::start();
    let mut client = rig.client();
    client.write_all(&request(7, "post", "9b1f", UNHURRIED)).expect("the program reads");
    let mut asked = rig.asked();
    let text = std::fs::read_to_string(&rig.config).expect("the configuration");
    std::fs::write(&rig.config, "{").expect("a wrong one");
    rig.signal("HUP");
    client.write_all(&message("HEALTH", 8)).expect("the program reads");
    let mut trace = answer(&client);
    let elsewhere = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = |address: std::io::Result<std::net::SocketAddr>| address.expect("an address").to_string();
    let moved = text.replace(&address(rig.log.local_addr()), &address(elsewhere.local_addr()));
    std::fs::write(&rig.config, moved).expect("a new one");
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
fn running_out_of_descriptors_ends_nothing() {
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
fn a_client_that_reads_late_gets_every_byte() {
    let rig = Rig::start();
    let mut client = rig.client();
    let sized = |tag: u64| vec![b'a' + (tag % 26) as u8; 240_000 - tag as usize];
    for tag in 1..=32 {
        client
            .write_all(&request(tag, "image", &format!("9b{tag:02}"), UNHURRIED))
            .expect("the program reads");
    }
    let mut given = 0;
    while given < 32 {
        let mut asked = rig.asked();
        let id = asked.line.split(' ').nth(1).expect("an id").to_string();
        let body = sized(id[2..4].parse().expect("a tag"));
        asked.back.write_all(&told(&format!("{id} ok why=local {}", body.len()), b"")).expect("it reads");
        asked.back.write_all(&body).expect("it reads");
        asked.back.write_all(b"\r\n").expect("it reads");
        given += 1;
    }
    let mut reader = BufReader::new(&client);
    let mut whole: Vec<_> = (0..32).map(|_| items(&mut reader)).collect();
    whole.sort_by_key(|items| String::from_utf8_lossy(&items[0]).parse::<u64>().expect("a tag"));
    for (at, items) in whole.iter().enumerate() {
        assert!(items[1] == b"OK" && items[3] == sized(at as u64 + 1), "answer {}", at + 1);
    }
}

#[test]
fn what_was_answered_before_a_client_is_closed_still_reaches_it() {
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
fn after_a_pause_of_its_own_it_reads_before_it_calls_a_node_silent() {
    let rig = Rig::start();
    let mut client = rig.client();
    client.write_all(&request(7, "image", "9b1f", ",need=1500,timeout=15000")).expect("the program reads");
    let mut asked = rig.asked();
    rig.signal("STOP");
    asked.back.write_all(&told("9b1f ok why=local 1", b"x\r\n")).expect("it is kept for the program");
    // The pull is overdue after 0.9 s.
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
fn a_log_that_nobody_reads_holds_up_nothing() {
    let mut rig = Rig::limited("true", Stdio::piped());
    // Each costs a line, far more in all than a pipe holds.
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
