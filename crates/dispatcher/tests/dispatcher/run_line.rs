//! Started by the `run` line of the deploy file, with the operator's file named there, the program uses none of
//! the features that the bench rejects. Checked through /proc while the program serves.

use crate::common::CONFIG;
use std::fs;
use std::io::{BufRead, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::path::Path;
use std::process::{Child, Command};
use std::time::{Duration, Instant};

const ROOT: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../..");

/// The words of the `run` line after `exec`.
fn run_line() -> Vec<String> {
    let deploy = fs::read_to_string(Path::new(ROOT).join("deploy/balancer.toml")).expect("the deploy file");
    let line = deploy.lines().find_map(|line| line.strip_prefix("run = \"")).expect("a run line");
    let words: Vec<_> = line.split('"').next().unwrap_or_default().split(' ').map(str::to_string).collect();
    assert_eq!(words[0], "exec", "without exec the shell stays as a second process");
    words[1..].to_vec()
}

struct Running(Child);

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Starts the test build of the program with the arguments of the run line, and connects a client to it.
fn start(config: &Path, address: &str) -> (Running, TcpStream) {
    let words = run_line();
    assert!(words[0].ends_with("/copperroute"), "{words:?}");
    let program = Command::new(env!("CARGO_BIN_EXE_copperroute"))
        .args(&words[1..])
        .env("PROXY_CONFIG", config)
        .current_dir(ROOT)
        .spawn()
        .expect("the program starts");
    let program = Running(program);
    let until = Instant::now() + Duration::from_secs(20);
    loop {
        match TcpStream::connect(address) {
            Ok(client) => return (program, client),
            Err(fault) => assert!(Instant::now() < until, "{address}: {fault}"),
        }
        std::thread::sleep(Duration::from_millis(5));
    }
}

#[test]
fn run_line_starts_one_process_without_unix_sockets_disk_writes_or_children() {
    let log = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = format!("127.{}.251.1:5050", 1 + std::process::id() % 250);
    let config = CONFIG
        .replace("127.0.0.1:5050", &address)
        .replace("127.0.0.1:2379", &log.local_addr().expect("an address").to_string());
    let file = std::env::temp_dir().join(format!("copperroute-run-{}.json", std::process::id()));
    fs::write(&file, config).expect("a temporary file");
    let (program, mut client) = start(&file, &address);
    client.set_read_timeout(Some(Duration::from_secs(20))).expect("a timeout");
    client.write_all(b"*2\r\n$6\r\nHEALTH\r\n$1\r\n1\r\n").expect("written");
    let mut answer = String::new();
    BufReader::new(client).read_line(&mut answer).expect("an answer");

    let proc = format!("/proc/{}", program.0.id());
    let unix = fs::read_to_string(format!("{proc}/net/unix")).expect("the table of sockets");
    for fd in fs::read_dir(format!("{proc}/fd")).expect("descriptors").flatten() {
        let Ok(to) = fs::read_link(fd.path()) else { continue };
        let to = to.to_string_lossy().to_string();
        assert!(!to.contains("io_uring"), "{to}");
        if let Some(inode) = to.strip_prefix("socket:[").and_then(|rest| rest.strip_suffix(']')) {
            assert!(!unix.lines().any(|line| line.split_whitespace().nth(6) == Some(inode)), "a Unix socket");
        }
        let flags = fs::read_to_string(format!("{proc}/fdinfo/{}", fd.file_name().to_string_lossy()));
        let flags = flags.unwrap_or_default();
        let flags =
            flags.lines().find_map(|line| line.strip_prefix("flags:")).unwrap_or("0").trim().to_string();
        let writable = u32::from_str_radix(&flags, 8).is_ok_and(|flags| flags & 3 != 0);
        let on_disk = to.starts_with('/') && !to.starts_with("/dev/") && !to.starts_with("/proc/");
        let std_stream = ["0", "1", "2"].contains(&fd.file_name().to_string_lossy().as_ref());
        assert!(std_stream || !(writable && on_disk), "{to} is open for writing");
    }
    for task in fs::read_dir(format!("{proc}/task")).expect("threads").flatten() {
        let children = fs::read_to_string(task.path().join("children")).unwrap_or_default();
        assert_eq!(children.trim(), "", "the program has a child process");
    }
    drop(program);
    let _ = fs::remove_file(file);
}
