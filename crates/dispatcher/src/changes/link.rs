//! One connection to the change log: its bytes, how late its lines are, and what its end is told with.

use copperroute_protocol::changes::{Decoder, Line};
use copperroute_protocol::incoming::DecodeError;
use copperroute_routing::change_log::Lateness;
use copperroute_routing::interface::Nanos;
use std::net::SocketAddr;

/// Lines later than this are used, and the service is called again beside them.
const PROMPT: Nanos = Nanos(700_000_000);

/// One connection to the change log.
#[derive(Debug)]
pub(super) struct Link {
    /// Its number.
    pub(super) connection: u32,
    /// When the call began.
    pub(super) called: Nanos,
    decoder: Decoder,
    lateness: Lateness,
    up: Option<Nanos>,
    first_byte: Option<Nanos>,
    last_byte: Option<Nanos>,
    last_line: Option<Nanos>,
    lines: u64,
}

impl Link {
    pub(super) fn new(connection: u32, called: Nanos) -> Self {
        Link {
            connection,
            called,
            decoder: Decoder::default(),
            lateness: Lateness::default(),
            up: None,
            first_byte: None,
            last_byte: None,
            last_line: None,
            lines: 0,
        }
    }

    /// It has come up, and asks for what follows an event.
    pub(super) fn asked(&mut self, now: Nanos) {
        self.up = Some(now);
        self.lateness.request_sent(now);
    }

    /// Bytes have come.
    pub(super) fn received(&mut self, now: Nanos, bytes: &[u8]) {
        self.first_byte.get_or_insert(now);
        self.last_byte = Some(now);
        self.decoder.feed(bytes);
    }

    /// The next whole line, if there is one.
    pub(super) fn next_line(&mut self, now: Nanos) -> Result<Option<Line>, DecodeError> {
        let line = self.decoder.next_line()?;
        if let Some(line) = &line {
            self.lines += 1;
            self.last_line = Some(now);
            self.lateness.line_received(now);
            if matches!(line, Line::Heartbeat(_)) {
                self.lateness.heartbeat_received(now);
            }
        }
        Ok(line)
    }

    /// Whether its bytes end within a line.
    pub(super) fn is_midway(&self) -> bool {
        self.decoder.has_partial_line()
    }

    /// Whether it has told a whole line.
    pub(super) fn has_told(&self) -> bool {
        self.last_line.is_some()
    }

    /// How late its lines are; `None` before the first.
    pub(super) fn late_by(&self) -> Option<Nanos> {
        self.lateness.late_by()
    }

    /// Whether its lines come about as they are written.
    pub(super) fn is_prompt(&self) -> bool {
        self.late_by().is_some_and(|late_by| late_by <= PROMPT)
    }

    /// When it last made progress: bytes came, or it came up, or it was called.
    pub(super) fn progressed(&self) -> Nanos {
        self.last_byte.or(self.up).unwrap_or(self.called)
    }

    /// Writes what it came to, as it ends.
    pub(super) fn log_end(&self, now: Nanos, address: SocketAddr, why: &str) {
        let ms = |time: Option<Nanos>| time.map_or(-1, |time| (time.since(self.called).0 / 1_000_000) as i64);
        log::info!(
            connection = self.connection,
            address:% = address,
            lasted_ms = ms(Some(now)),
            up_ms = ms(self.up),
            first_byte_ms = ms(self.first_byte),
            last_byte_ms = ms(self.last_byte),
            last_line_ms = ms(self.last_line),
            lines = self.lines,
            late_ms = self.late_by().map_or(-1, |late_by| (late_by.0 / 1_000_000) as i64);
            "change log: call ended, {why}"
        );
    }
}
