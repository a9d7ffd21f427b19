//! System calls of the program fail as Linux's manual says they may: judged by what clients and stand-ins of nodes saw.

use crate::common::request;
use crate::rig::{Rig, UNHURRIED, answer, told};
use copperroute_fault_injection::{Call, FaultPlan, Span};
use std::io::Write;
use std::process::Stdio;

/// Reads and writes of sockets are interrupted and cut short: what is asked and answered comes through whole.
#[test]
fn interrupted_and_short_transfers_lose_nothing() {
    let interrupted = [libc::EINTR, libc::EAGAIN];
    let plan = FaultPlan::new(1)
        .fail(Call::Recv, &interrupted, 3, Span::ALWAYS)
        .fail(Call::Send, &interrupted, 3, Span::ALWAYS)
        .short(2);
    let rig = Rig::failing(&plan, Stdio::null());
    let mut client = rig.client();
    for tag in 1..=20 {
        let id = format!("9b{tag:02}");
        client.write_all(&request(tag, "image", &id, UNHURRIED)).expect("the program reads");
        let mut asked = rig.asked();
        asked
            .back
            .write_all(&told(&format!("{id} ok why=local 5"), b"whole\r\n"))
            .expect("the program reads");
        assert_eq!(answer(&client), format!("{tag} OK  whole\n"), "{plan}");
    }
}
