//! Stand-ins of nodes for the light load on real dispatchers: each holds a copy of every object that was made before the
//! run, and says by the body whether the attempt's age limit allowed that copy. So whoever asks sees from outside whether
//! the dispatcher had acted on a purge of the object.

use super::clock::unix_us;
use copperroute_protocol::incoming::ReceiveBuffer;
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// What a copy from before the run holds, and one that was made anew.
pub(super) const OLD: &[u8] = b"old copy";
pub(super) const FRESH: &[u8] = b"fresh copy";
/// All copies were made so long before they are asked for.
const AGE_MS: u64 = 3_600_000;
const LONGEST_LINE: usize = 8_192;

/// Answers all who connect there.
pub(super) async fn serve(address: SocketAddr) -> Result<(), String> {
    let listener = TcpListener::bind(address).await.map_err(|fault| format!("{address}: {fault}"))?;
    tokio::spawn(async move {
        loop {
            if let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(answer_all(stream));
            }
        }
    });
    Ok(())
}

async fn answer_all(mut stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let (mut incoming, mut scratch) = (ReceiveBuffer::default(), vec![0; LONGEST_LINE]);
    while let Ok(count) = stream.read(&mut scratch).await {
        incoming.feed(&scratch[..count]);
        let mut answers = Vec::new();
        while let Ok(Some(line)) = incoming.take_line(LONGEST_LINE) {
            answers.extend(answer(&line).unwrap_or_default());
        }
        if count == 0 || stream.write_all(&answers).await.is_err() {
            return;
        }
    }
}

/// The answer to an attempt; nothing to any other line.
pub(super) fn answer(line: &str) -> Option<Vec<u8>> {
    let (id, rest) = line.strip_prefix("fetch ")?.split_once(' ')?;
    let fields = rest.split(' ').next()?.split(',');
    let most_age_ms = fields.filter_map(|field| field.strip_prefix("maxage=")?.parse::<u64>().ok()).next();
    let now_ms = unix_us() / 1_000;
    let (body, made_ms) = match most_age_ms {
        Some(most) if most < AGE_MS => (FRESH, now_ms),
        _ => (OLD, now_ms - AGE_MS),
    };
    let length = body.len();
    let head = format!("{id} ok etag=0000000000000001,made={made_ms},why=local,ttfb=0 {length}\r\n");
    Some([head.as_bytes(), body, b"\r\n"].concat())
}

#[cfg(test)]
#[path = "../tests/capacity_caches.rs"]
mod tests;
