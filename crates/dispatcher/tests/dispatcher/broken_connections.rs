//! Connections to nodes that fail with a network error (`ETIMEDOUT`, `EHOSTUNREACH` or `ENETUNREACH`). Like a reset,
//! such an error doesn't show whether the request ran. Checked by what clients and stand-in nodes receive.

use crate::common::{message, request};
use crate::rig::{LONG, Rig, UNHURRIED, items, quiet, reset, shown, told};
use crate::system_calls::TAKES_OVER;
use copperroute_fault_injection::{Call, FaultPlan, Span};
use std::io::{BufReader, ErrorKind, Read, Write};
use std::net::TcpStream;
use std::process::Stdio;
use std::thread::sleep;

/// Errors that reads and writes return when the network fails.
const ERRORS: [i32; 3] = [libc::ETIMEDOUT, libc::EHOSTUNREACH, libc::ENETUNREACH];

/// Fails the connection to a request's node while the answer is awaited, by this error of `recv` or by a reset.
/// Returns a trace of the nodes asked, the client's answer, and any later attempt.
fn fail_connection_while_waiting(content_type: &str, error: Option<i32>) -> String {
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
            // No other peer sends anything now, so the fault hits only this node's connection.
            write(FaultPlan::new(0).fail(Call::Recv, &[error], 1, Span::ALWAYS));
            asked.back.write_all(b"*").expect("the kernel buffers it");
            asked.back.set_read_timeout(Some(LONG)).expect("a timeout");
            let end = asked.back.read(&mut [0; 1]);
            assert!(!matches!(&end, Ok(1..)), "{end:?}");
            assert!(
                !matches!(&end, Err(fault) if fault.kind() == ErrorKind::WouldBlock),
                "the connection was not closed"
            );
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
    // A second answer to the request would come before the health answer.
    (&client).write_all(&message("HEALTH", 8)).expect("the program reads");
    trace += &format!("{}\n", next_answer(&mut reader));
    trace += &quiet(&rig);
    let _ = std::fs::remove_file(&path);
    trace
}

#[test]
fn a_read_error_is_handled_like_a_reset() {
    for content_type in ["post", "image"] {
        let by_reset = fail_connection_while_waiting(content_type, None);
        println!("{by_reset}");
        assert!(by_reset.ends_with("nobody is asked\n"), "{by_reset}");
        for error in ERRORS {
            assert_eq!(fail_connection_while_waiting(content_type, Some(error)), by_reset, "error {error}");
        }
    }
}

/// Reads the next answer. All reads of a connection must use the same reader, as it buffers.
fn next_answer(reader: &mut BufReader<&TcpStream>) -> String {
    let words: Vec<_> = items(reader).iter().map(|word| word.escape_ascii().to_string()).collect();
    words.join(" ").trim_end().to_owned()
}
