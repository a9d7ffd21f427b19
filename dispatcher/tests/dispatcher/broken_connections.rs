//! Connections to nodes that break as a network does it, with `ETIMEDOUT`, `EHOSTUNREACH` or `ENETUNREACH`: of what may have
//! run they tell as little as a reset does. Judged by what clients and stand-ins of nodes saw.

use crate::common::{message, request};
use crate::rig::{LONG, Rig, UNHURRIED, items, quiet, reset, shown, told};
use crate::system_calls::{TAKES_OVER, Trial};
use copperroute_fault_injection::{Call, FaultPlan, Span};
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::TcpStream;
use std::process::Stdio;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread::{self, sleep};

/// What reads and writes end with when the network is gone.
const ERRORS: [i32; 3] = [libc::ETIMEDOUT, libc::EHOSTUNREACH, libc::ENETUNREACH];
/// Clients at once, and what each asks, each on a connection of its own.
const CLIENTS: u64 = 6;
const REQUESTS: u64 = 12;

/// A request's connection to its node breaks while the answer is waited for, by this error of `recv` or by a reset.
/// Returns who was asked, the answer, and whether anybody is asked still.
fn broken_while_waiting(content_type: &str, error: Option<i32>) -> String {
    let name = format!("copperroute-broken-{}-{content_type}-{error:?}.plan", std::process::id());
    let path = std::env::temp_dir().join(name);
    let write = |plan: FaultPlan| {
        std::fs::write(&path, plan.to_string()).expect("written");
        sleep(TAKES_OVER);
    };
    write(FaultPlan::new(0));
    let rig = Rig::failing(&FaultPlan::new(0).file(&path), Stdio::null());
    let mut client = rig.client();
    client.write_all(&request(7, content_type, "9b1f", UNHURRIED)).expect("the program reads");
    let mut asked = rig.asked();
    let mut trace = shown(&asked);
    match error {
        None => reset(&asked.back),
        Some(error) => {
            // Nobody else says anything now: only this node's connection is read.
            write(FaultPlan::new(0).fail(Call::Recv, &[error], 1, Span::ALWAYS));
            asked.back.write_all(b"*").expect("it is kept for the program");
            asked.back.set_read_timeout(Some(LONG)).expect("a timeout");
            let end = asked.back.read(&mut [0; 1]);
            assert!(!matches!(&end, Ok(1..)), "{end:?}");
            assert!(!matches!(&end, Err(fault) if fault.kind() == ErrorKind::WouldBlock), "it stands still");
            write(FaultPlan::new(0));
        }
    }
    if content_type != "post" {
        let mut again = rig.asked();
        trace += &shown(&again);
        again.back.write_all(&told("9b1f ok why=local 5", b"whole\r\n")).expect("the program reads");
    }
    let mut reader = BufReader::new(&client);
    trace += &format!("{}\n", next_answer(&mut reader));
    // A second answer would come before this one.
    (&client).write_all(&message("HEALTH", 8)).expect("the program reads");
    trace += &format!("{}\n", next_answer(&mut reader));
    trace += &quiet(&rig);
    let _ = std::fs::remove_file(&path);
    trace
}

#[test]
fn a_connection_that_breaks_in_a_read_counts_as_one_that_was_reset() {
    for content_type in ["post", "image"] {
        let by_reset = broken_while_waiting(content_type, None);
        println!("{by_reset}");
        assert!(by_reset.ends_with("nobody is asked\n"), "{by_reset}");
        for error in ERRORS {
            assert_eq!(broken_while_waiting(content_type, Some(error)), by_reset, "error {error}");
        }
    }
}

/// The next answer on a connection, all of whose answers this reads.
fn next_answer(reader: &mut BufReader<&TcpStream>) -> String {
    let words: Vec<_> = items(reader).iter().map(|word| word.escape_ascii().to_string()).collect();
    words.join(" ").trim_end().to_owned()
}

/// What became of one request on a connection of its own: its answer, or none where that connection has ended.
fn ask_once(address: &str, content_type: &str, id: &str, tag: u64) -> Option<String> {
    let mut client = TcpStream::connect(address).expect("the program listens");
    client.set_read_timeout(Some(LONG)).expect("a timeout");
    client.write_all(&request(tag, content_type, id, UNHURRIED)).ok()?;
    let mut reader = BufReader::new(&client);
    if has_ended(&mut reader) {
        return None;
    }
    let came = next_answer(&mut reader);
    assert!(came.starts_with(&format!("{tag} ")), "request {id}: {came}");
    // A second answer would come before this one.
    let _ = (&client).write_all(&message("HEALTH", tag + 1));
    if !has_ended(&mut reader) {
        assert_eq!(next_answer(&mut reader), format!("{} UP", tag + 1), "after the answer to {id}");
    }
    Some(came)
}

/// Whether a connection ends before anything else comes; one that stands has to bring something.
fn has_ended(reader: &mut BufReader<&TcpStream>) -> bool {
    match reader.fill_buf() {
        Ok(bytes) => bytes.is_empty(),
        Err(fault) => {
            let stands = matches!(fault.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut);
            assert!(!stands, "the connection stands, and nothing comes");
            true
        }
    }
}

/// Reads and writes of any socket break, one in some: posts run once at most, and whose client stands is answered.
#[test]
fn connections_that_break_anywhere_run_no_post_twice() {
    let trial = Trial::start("broken");
    static IDS: AtomicU64 = AtomicU64::new(0x1000);
    for seed in 1..=6 {
        let plan = FaultPlan::new(seed).fail(Call::Recv, &ERRORS, 8, Span::ALWAYS).fail(
            Call::Send,
            &ERRORS,
            8,
            Span::ALWAYS,
        );
        trial.fails(&plan);
        let clients: Vec<_> = (0..CLIENTS)
            .map(|number| {
                let address = trial.rig.address.clone();
                thread::spawn(move || {
                    let (kind, last) = if number % 2 == 1 { ("post", 'f') } else { ("image", '0') };
                    let ask = |request| {
                        let id = format!("{:015x}{last}", IDS.fetch_add(1, Ordering::Relaxed));
                        ask_once(&address, kind, &id, 2 * request + 1)
                    };
                    (0..REQUESTS).map(ask).collect::<Vec<_>>()
                })
            })
            .collect();
        let came: Vec<_> = clients
            .into_iter()
            .flat_map(|client| client.join().unwrap_or_else(|_| panic!("{plan}")))
            .collect();
        trial.posts_ran_once(&plan);
        let answered = came.iter().flatten().count();
        let served = came.iter().flatten().filter(|answer| answer.contains(" OK ")).count();
        println!("seed {seed}: {served} served, {answered} answered of {}", came.len());
        // Of breaks that hit anyone about a quarter hits a client's own connection.
        assert!(answered > came.len() / 2 && served > answered / 2, "{served}, {answered}, {plan}");
    }
    trial.ends(&FaultPlan::new(0));
}
