//! Connections to nodes that break as a network does it, with `ETIMEDOUT`, `EHOSTUNREACH` or `ENETUNREACH`: of what may have
//! run they tell as little as a reset does. Judged by what clients and stand-ins of nodes saw.

use crate::common::{message, request};
use crate::rig::{LONG, Rig, UNHURRIED, items, quiet, reset, shown, told};
use crate::system_calls::TAKES_OVER;
use copperroute_fault_injection::{Call, FaultPlan, Span};
use std::io::{BufReader, ErrorKind, Read, Write};
use std::net::TcpStream;
use std::process::Stdio;
use std::thread::sleep;

/// What reads and writes end with when the network is gone.
const ERRORS: [i32; 3] = [libc::ETIMEDOUT, libc::EHOSTUNREACH, libc::ENETUNREACH];

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
