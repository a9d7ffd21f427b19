//! One connection to the change log: it decodes lines, tracks how late they are, and logs a summary when the
//! connection ends. `stream` owns it.

use copperroute_protocol::changes::{Decoder, Line};
use copperroute_protocol::incoming::DecodeError;
use copperroute_routing::change_log::Lateness;
use copperroute_routing::interface::Nanos;
use std::net::SocketAddr;

/// If its lines are later than this, a connection is still used, but another one is opened besides it.
const PROMPT_LIMIT: Nanos = Nanos(700_000_000);

/// One connection to the change log.
#[derive(Debug)]
pub(super) struct Link {
    /// The number of the connection.
    pub(super) connection: u32,
    /// When connecting began.
    pub(super) connect_started: Nanos,
    decoder: Decoder,
    lateness: Lateness,
    connected_at: Option<Nanos>,
    first_byte: Option<Nanos>,
    last_byte: Option<Nanos>,
    last_line: Option<Nanos>,
    lines: u64,
}

impl Link {
    pub(super) fn new(connection: u32, called: Nanos) -> Self {
        Link {
            connection,
            connect_started: called,
            decoder: Decoder::default(),
            lateness: Lateness::default(),
            connected_at: None,
            first_byte: None,
            last_byte: None,
            last_line: None,
            lines: 0,
        }
    }

    /// The connection is established, and a request for the events after the last applied one was sent.
    pub(super) fn request_sent(&mut self, now: Nanos) {
        self.connected_at = Some(now);
        self.lateness.request_sent(now);
    }

    /// Bytes were received.
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

    /// Whether the received bytes end within a line.
    pub(super) fn has_partial_line(&self) -> bool {
        self.decoder.has_partial_line()
    }

    /// Whether a whole line was received.
    pub(super) fn has_received_line(&self) -> bool {
        self.last_line.is_some()
    }

    /// How late the lines are; `None` before the first.
    pub(super) fn late_by(&self) -> Option<Nanos> {
        self.lateness.late_by()
    }

    /// Whether the lines arrive without notable delay.
    pub(super) fn is_prompt(&self) -> bool {
        self.late_by().is_some_and(|late_by| late_by <= PROMPT_LIMIT)
    }

    /// The last progress: when bytes last arrived, else when the connection was established, else when
    /// connecting began.
    pub(super) fn last_progress(&self) -> Nanos {
        self.last_byte.or(self.connected_at).unwrap_or(self.connect_started)
    }

    /// Logs a summary as the connection ends.
    pub(super) fn log_end(&self, now: Nanos, address: SocketAddr, why: &str) {
        let ms = |time: Option<Nanos>| {
            time.map_or(-1, |time| (time.since(self.connect_started).0 / 1_000_000) as i64)
        };
        log::info!(
            connection = self.connection,
            address:% = address,
            lasted_ms = ms(Some(now)),
            up_ms = ms(self.connected_at),
            first_byte_ms = ms(self.first_byte),
            last_byte_ms = ms(self.last_byte),
            last_line_ms = ms(self.last_line),
            lines = self.lines,
            late_ms = self.late_by().map_or(-1, |late_by| (late_by.0 / 1_000_000) as i64);
            "change log: connection ended, {why}"
        );
    }
}
