//! The log's way out: lines go through a thread of their own, so that nobody who reads them slowly, or not at
//! all, holds up the event loop. What the thread can't take is left out.

pub use copperroute_change_log_replica::log_rate_limiter::LogRateLimiter;
use std::io::{self, Write};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::Duration;

/// Lines that may wait.
const WAITING: usize = 1024;
/// How long the program's end waits for the last lines.
const LAST_LINES: Duration = Duration::from_millis(100);

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
