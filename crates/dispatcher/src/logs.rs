//! The log's way out: lines go through a thread of their own, so that nobody who reads them slowly, or not at
//! all, holds up the event loop. What the thread can't take is left out.

use copperroute_routing::interface::Nanos;
use std::io::{self, Write};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::Duration;

/// Lines that may wait.
const WAITING: usize = 1024;
/// How long the program's end waits for the last lines.
const LAST_LINES: Duration = Duration::from_millis(100);

/// Lines of one kind within `PERIOD`, so that who causes them can't fill the log.
const LINES: u32 = 10;
const PERIOD: Nanos = Nanos(10_000_000_000);

/// Lines that others cause at will: some are written, the rest is counted.
#[derive(Debug, Default)]
pub struct Sparse {
    since: Nanos,
    said: u32,
    left_out: u32,
}

impl Sparse {
    /// Writes a line, if there were not many lately.
    pub fn warn(&mut self, now: Nanos, line: std::fmt::Arguments<'_>) {
        if now.since(self.since) > PERIOD {
            if self.left_out > 0 {
                log::warn!("{} lines like those before left out", self.left_out);
            }
            *self = Sparse { since: now, said: 0, left_out: 0 };
        }
        if self.said < LINES {
            self.said += 1;
            log::warn!("{line}");
        } else {
            self.left_out = self.left_out.saturating_add(1);
        }
    }
}

enum Out {
    Line(Vec<u8>),
    /// All before this has been written.
    Done(SyncSender<()>),
}

struct Lines(SyncSender<Out>);

impl Write for Lines {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let _ = self.0.try_send(Out::Line(line.to_vec()));
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Where to ask for the last lines.
pub struct Log(SyncSender<Out>);

fn write_out(lines: Receiver<Out>) {
    for out in lines {
        match out {
            Out::Line(line) => {
                let _ = io::stderr().write_all(&line);
            }
            Out::Done(tell) => {
                let _ = tell.send(());
            }
        }
    }
}

/// What is written where `RUST_LOG` says nothing. The event loop's library repeats itself without bound where calls fail; our
/// own lines tell of them.
const FILTER: &str = "info,calloop=off";

/// Starts the log, on standard error.
pub fn start() -> Log {
    let (out, lines) = sync_channel(WAITING);
    std::thread::spawn(|| write_out(lines));
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or(FILTER))
        .target(env_logger::Target::Pipe(Box::new(Lines(out.clone()))))
        .init();
    Log(out)
}

impl Log {
    /// Gives the last lines a moment to leave.
    pub fn finish(self) {
        let (tell, done) = sync_channel(1);
        if self.0.try_send(Out::Done(tell)).is_ok() {
            let _ = done.recv_timeout(LAST_LINES);
        }
    }
}
