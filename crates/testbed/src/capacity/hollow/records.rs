//! What a host tells of its dispatchers: written by the host, an observer outside the control code, after each event that
//! it has handed in. Lines are gathered, as each carries its own time.

use std::cell::RefCell;
use std::io::Write as _;
use std::rc::Rc;
use std::time::Duration;

/// Lines wait no longer than this.
const WRITTEN_EACH: Duration = Duration::from_millis(50);

/// What a dispatcher has done, at a Unix microsecond.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Record {
    /// It has started.
    Started { dispatcher: usize, at_us: u64 },
    /// It has acted on all events up to this number.
    Applied { dispatcher: usize, at_us: u64, seq: u64 },
    /// This version of the rules is in force at it.
    Version { dispatcher: usize, at_us: u64, number: u64 },
    /// It has ended by itself.
    Exited { dispatcher: usize, at_us: u64 },
}

impl Record {
    /// Its line.
    fn encode(self) -> String {
        match self {
            Record::Started { dispatcher, at_us } => format!("started {dispatcher} {at_us}\n"),
            Record::Applied { dispatcher, at_us, seq } => format!("applied {dispatcher} {at_us} {seq}\n"),
            Record::Version { dispatcher, at_us, number } => {
                format!("version {dispatcher} {at_us} {number}\n")
            }
            Record::Exited { dispatcher, at_us } => format!("exited {dispatcher} {at_us}\n"),
        }
    }

    /// Reads a line.
    pub(crate) fn decode(line: &str) -> Option<Record> {
        let mut words = line.split_whitespace();
        let what = words.next()?;
        let dispatcher = words.next()?.parse().ok()?;
        let at_us = words.next()?.parse().ok()?;
        let mut number = || words.next()?.parse().ok();
        match what {
            "started" => Some(Record::Started { dispatcher, at_us }),
            "applied" => Some(Record::Applied { dispatcher, at_us, seq: number()? }),
            "version" => Some(Record::Version { dispatcher, at_us, number: number()? }),
            "exited" => Some(Record::Exited { dispatcher, at_us }),
            _ => None,
        }
    }
}

/// Those that are not written yet.
#[derive(Default)]
pub(super) struct Records(RefCell<Vec<u8>>);

impl Records {
    /// One more.
    pub(super) fn push(&self, record: Record) {
        self.0.borrow_mut().extend_from_slice(record.encode().as_bytes());
    }

    /// Writes them.
    pub(super) fn flush(&self) {
        let bytes = std::mem::take(&mut *self.0.borrow_mut());
        let mut out = std::io::stdout().lock();
        // Who reads them no more has ended the run.
        let _ = out.write_all(&bytes).and_then(|()| out.flush());
    }

    /// Writes them again and again.
    pub(super) async fn write_out(self: Rc<Self>) {
        loop {
            tokio::time::sleep(WRITTEN_EACH).await;
            self.flush();
        }
    }
}
