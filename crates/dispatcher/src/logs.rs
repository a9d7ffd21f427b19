//! Starts the log, which a thread writes to standard error, so that a slow reader of the log does not delay the event
//! loop. Lines that do not fit into the queue are dropped.

pub use copperroute_change_log_replica::log_rate_limiter::LogRateLimiter;
use std::io::{self, Write};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::Duration;

/// Capacity of the queue to the thread, in lines.
const QUEUED_LINES: usize = 1024;
/// Time limit for writing the last lines when the program ends.
const FINISH_TIMEOUT: Duration = Duration::from_millis(100);

enum Message {
    Line(Vec<u8>),
    /// Answered once all lines before it are written.
    Flush(SyncSender<()>),
}

struct LogQueue(SyncSender<Message>);

impl Write for LogQueue {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let _ = self.0.try_send(Message::Line(line.to_vec()));
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Handle of the log thread.
pub struct Log(SyncSender<Message>);

fn write_lines(messages: Receiver<Message>) {
    for message in messages {
        match message {
            Message::Line(line) => {
                let _ = io::stderr().write_all(&line);
            }
            Message::Flush(done) => {
                let _ = done.send(());
            }
        }
    }
}

/// Filter used without `RUST_LOG`. calloop is off because it logs each failed call without a limit; the dispatcher logs
/// these failures itself, at a limited rate.
const FILTER: &str = "info,calloop=off";

/// Starts the log, on standard error.
pub fn start() -> Log {
    let (queue, messages) = sync_channel(QUEUED_LINES);
    std::thread::spawn(|| write_lines(messages));
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or(FILTER))
        .target(env_logger::Target::Pipe(Box::new(LogQueue(queue.clone()))))
        .init();
    Log(queue)
}

impl Log {
    /// Waits until the queued lines are written, or for a time limit.
    pub fn finish(self) {
        let (done, finished) = sync_channel(1);
        if self.0.try_send(Message::Flush(done)).is_ok() {
            let _ = finished.recv_timeout(FINISH_TIMEOUT);
        }
    }
}
