//! The population: clients that ask, wait, come back, and watch what they are answered.

use crate::nodes::size;
use crate::results::Results;
use crate::scenario::ContentType;
use crate::world::World;
use copperroute_protocol::incoming::ReceiveBuffer;
use copperroute_routing::interface::stable_hash;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::watch;

/// What the settings say of sizes: KB a second of one answer.
pub(crate) const KB_PER_S: f64 = 5_000.0;
/// An answer may come so much after its time, by the rules on sockets and what this machine adds.
const LATE: Duration = Duration::from_millis(50 + 200);
const MOST_LINE: usize = 256;

/// What all clients share.
pub(crate) struct Crowd {
    /// What is true.
    pub world: Arc<World>,
    /// What is counted.
    pub results: Arc<Results>,
    /// Where dispatchers listen.
    pub dispatchers: Vec<SocketAddr>,
    /// Where clients come from: 127.`net`.16.0 and on.
    pub net: u8,
    /// Raised when all connections end at one moment.
    pub reconnect: watch::Receiver<u64>,
    /// No first tries from then on.
    pub until: Instant,
}

/// A word of an answer.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Word {
    Served,
    Rejected(Option<u64>),
    Failed,
    /// Nobody was reached.
    None,
    /// It was asked and not answered: the connection ended.
    Lost,
}

struct Connection {
    stream: TcpStream,
    incoming: ReceiveBuffer,
    tag: u64,
    reconnects: u64,
}

/// One request, with all its tries.
struct Wanted<'a> {
    of: &'a ContentType,
    at: usize,
    object: String,
    ids: Vec<String>,
    throttled: Vec<String>,
    since: Instant,
}

impl Crowd {
    /// Client number `number`, until the scenario's end.
    pub(crate) async fn client(self: Arc<Self>, number: usize) {
        let scenario = &self.world.scenario;
        let told = &scenario.clients;
        let mut chance = StdRng::seed_from_u64(scenario.seed.wrapping_mul(1_000_003) + number as u64);
        let heeds = chance.random::<f64>() < told.heed;
        let hammers = number < told.hammer;
        let mut connection: Option<Connection> = None;
        let mut dispatcher = number % self.dispatchers.len();
        loop {
            let mean = told.count as f64 / told.rate;
            let wait = -mean * (1.0 - chance.random::<f64>()).ln();
            let begins = Instant::now() + Duration::from_secs_f64(wait);
            if begins >= self.until {
                return;
            }
            // Between requests a client rests without a connection.
            if wait > 4.0 {
                connection = None;
            }
            tokio::time::sleep_until(begins.into()).await;
            let mut wanted = self.choose(&mut chance);
            self.results.first(self.world.secs());
            loop {
                let id = format!("{:016x}", chance.random::<u64>());
                let word = self.one_try(&mut connection, &mut dispatcher, number, &mut wanted, &id).await;
                if told.new_connections && word != Word::Served {
                    connection = None;
                }
                let again = match word {
                    Word::Served => break self.results.served_in_the_end(wanted.since.elapsed()),
                    Word::Rejected(_) => true,
                    Word::Failed => wanted.of.objects > 0 || told.repeat_posts,
                    Word::None => true,
                    // It may have run.
                    Word::Lost => wanted.of.objects > 0 || told.repeat_posts,
                };
                let advice = match word {
                    Word::Rejected(Some(ms)) if heeds => Some(Duration::from_millis(ms)),
                    _ => None,
                };
                let own = Duration::from_millis(chance.random_range(told.wait_ms[0]..=told.wait_ms[1]));
                let wait = if hammers { Duration::from_millis(2) } else { advice.unwrap_or(own) };
                let patience = Duration::from_secs_f64(told.patience_s);
                if !again || wanted.since.elapsed() + wait > patience || Instant::now() + wait > self.until {
                    break self.results.given_up();
                }
                tokio::time::sleep(wait).await;
            }
            self.check(&wanted);
        }
    }

    fn choose(&self, chance: &mut StdRng) -> Wanted<'_> {
        let types = &self.world.scenario.types;
        let mut left = chance.random::<f64>() * types.iter().map(|of| of.share).sum::<f64>();
        let found = types.iter().position(|of| {
            left -= of.share;
            left < 0.0
        });
        let at = found.unwrap_or(types.len() - 1);
        let of = &types[at];
        let object = match of.objects {
            0 => chance.random::<u64>(),
            // The first of them is asked for most, the second half as often, and so on.
            most => {
                stable_hash(format!("{at} {}", (most as f64).powf(chance.random::<f64>()) as u64).as_bytes())
            }
        };
        let (ids, throttled) = (Vec::new(), Vec::new());
        Wanted { of, at, object: format!("{object:016x}"), ids, throttled, since: Instant::now() }
    }

    /// The rules that show only at a request's end.
    fn check(&self, wanted: &Wanted<'_>) {
        let attempts = self.world.attempts_of(&wanted.ids);
        let together = self.world.scenario.dispatchers.operator.is_some();
        let most = if together {
            attempts
        } else {
            wanted.ids.iter().map(|id| self.world.attempts_of(std::slice::from_ref(id))).max().unwrap_or(0)
        };
        // With several dispatchers none knows what the others have pulled.
        if most > 6 && (!together || self.dispatchers.len() == 1) {
            self.world.breach(6, format!("{most} pulls for {} in {} tries", wanted.object, wanted.ids.len()));
        }
        for id in wanted.throttled.iter().filter(|id| self.world.has_run(&wanted.object, id)) {
            self.world.breach(2, format!("post {} was throttled and ran, as {id}", wanted.object));
        }
    }

    async fn connect(&self, number: usize, dispatcher: SocketAddr) -> std::io::Result<Connection> {
        let reconnects = *self.reconnect.borrow();
        let socket = TcpSocket::new_v4()?;
        let from = [127, self.net, 16 + (number / 250) as u8, (number % 250) as u8 + 1];
        socket.bind(SocketAddr::from((from, 0)))?;
        let stream = tokio::time::timeout(Duration::from_secs(1), socket.connect(dispatcher)).await??;
        stream.set_nodelay(true)?;
        Ok(Connection { stream, incoming: ReceiveBuffer::default(), tag: 0, reconnects })
    }

    async fn one_try(
        &self,
        connection: &mut Option<Connection>,
        dispatcher: &mut usize,
        number: usize,
        wanted: &mut Wanted<'_>,
        id: &str,
    ) -> Word {
        let reconnects = *self.reconnect.borrow();
        connection.take_if(|held| held.reconnects != reconnects);
        for fresh in [false, true] {
            if connection.is_none() {
                match self.connect(number, self.dispatchers[*dispatcher]).await {
                    Ok(made) => *connection = Some(made),
                    Err(_) => {
                        *dispatcher = (*dispatcher + 1) % self.dispatchers.len();
                        self.results.unreachable(self.world.secs());
                        return Word::None;
                    }
                }
            }
            let Some(held) = connection.as_mut() else { return Word::None };
            let asked = Instant::now();
            let repeat = !wanted.ids.is_empty();
            let used = held.tag > 0;
            let written = held.ask(wanted, id, repeat).await;
            let word = match written {
                Ok(()) => self.answer(held, wanted, asked, *dispatcher).await,
                Err(_) => Err(()),
            };
            let Ok(word) = word else {
                *connection = None;
                // A close crosses a request on a connection that rested: once more, on a new one.
                if !fresh && used && asked.elapsed() < Duration::from_millis(50) {
                    continue;
                }
                wanted.ids.push(id.to_string());
                let at = self.world.secs();
                if *self.reconnect.borrow() == reconnects && !self.world.scenario.may_lose(*dispatcher, at) {
                    self.world.breach(
                        1,
                        format!("download {id} was lost after {:.0} ms", asked.elapsed().as_secs_f64() * 1e3),
                    );
                }
                *dispatcher = (*dispatcher + 1) % self.dispatchers.len();
                return Word::Lost;
            };
            wanted.ids.push(id.to_string());
            if matches!(word, Word::Rejected(_)) {
                wanted.throttled.push(id.to_string());
            }
            let work = wanted.of.work_ms / 1e3 * size(&wanted.object);
            let target = wanted.of.target_ms / 1e3 + wanted.of.stretch * work;
            let took = asked.elapsed();
            let in_time = word == Word::Served && took.as_secs_f64() <= target;
            let benefit = if in_time { wanted.of.benefit } else { 0.0 };
            let throttled = matches!(word, Word::Rejected(_));
            self.results.ended(self.world.secs(), wanted.at, word == Word::Served, throttled, benefit, took);
            return word;
        }
        Word::None
    }

    /// Waits for the answer; an error means that the connection is of no further use and no answer has come.
    async fn answer(
        &self,
        held: &mut Connection,
        wanted: &Wanted<'_>,
        asked: Instant,
        dispatcher: usize,
    ) -> Result<Word, ()> {
        let patience = Duration::from_millis(wanted.of.expiry_ms) + LATE;
        let mut reconnect = self.reconnect.clone();
        let made = held.reconnects;
        let reading = held.read();
        let read = tokio::select! {
            read = tokio::time::timeout(patience, reading) => read,
            // The receiver that is shared never marks a value as seen.
            _ = reconnect.wait_for(|count| *count != made) => return Err(()),
        };
        let Ok(read) = read else {
            if !self.world.scenario.may_lose(dispatcher, self.world.secs()) {
                self.world.breach(1, format!("no answer within {} ms", patience.as_millis()));
            }
            return Err(());
        };
        let (tag, word, list, body) = read?;
        if tag != held.tag {
            self.world.breach(1, format!("an answer under tag {tag}, which is not open"));
        }
        let word = match word.as_str() {
            "OK" => Word::Served,
            "BUSY" => Word::Rejected(list.strip_prefix("holdoff=").and_then(|ms| ms.parse().ok())),
            _ => Word::Failed,
        };
        if word == Word::Served {
            match World::version_of(&wanted.object, 0, &body) {
                None => self.world.breach(1, format!("'{}' came with bytes that nobody made", wanted.object)),
                Some(version) if wanted.of.objects > 0 && version < self.world.oldest_version(asked) => {
                    self.world.breach(5, format!("'{}' came from before a purge", wanted.object));
                }
                Some(_) => {}
            }
        }
        Ok(word)
    }
}

impl Connection {
    async fn ask(&mut self, wanted: &Wanted<'_>, id: &str, repeat: bool) -> std::io::Result<()> {
        self.tag += 1;
        let need = wanted.of.work_ms / 1e3 * size(&wanted.object) * KB_PER_S;
        let group = stable_hash(wanted.object.as_bytes()) % 4;
        let mut list = format!(
            "req={id},timeout={},subject={},block=0,family={group},need={need:.1}",
            wanted.of.expiry_ms, wanted.object
        );
        if repeat {
            list += ",resent=1";
        }
        let body = if wanted.of.objects == 0 { wanted.object.as_str() } else { "" };
        let tag = self.tag.to_string();
        let mut bytes = b"*5\r\n".to_vec();
        for item in ["REQ", &tag, &wanted.of.name, &list, body] {
            bytes.extend_from_slice(format!("${}\r\n{item}\r\n", item.len()).as_bytes());
        }
        self.stream.write_all(&bytes).await
    }

    /// The next message: tag, word, fields, body.
    async fn read(&mut self) -> Result<(u64, String, String, Vec<u8>), ()> {
        let mut items: Vec<Vec<u8>> = Vec::new();
        let (mut missing, mut length) = (0, None);
        let mut scratch = [0; 16 * 1024];
        loop {
            loop {
                if let Some(bytes) = length {
                    let Some(item) = self.incoming.take_block(bytes).map_err(drop)? else { break };
                    items.push(item);
                    (missing, length) = (missing - 1, None);
                    if missing == 0 {
                        let mut text = items.iter().map(|item| String::from_utf8_lossy(item).to_string());
                        let mut next = || text.next().unwrap_or_default();
                        let (tag, word, list) = (next().parse().map_err(drop)?, next(), next());
                        return Ok((tag, word, list, items.into_iter().nth(3).unwrap_or_default()));
                    }
                }
                let Some(line) = self.incoming.take_line(MOST_LINE).map_err(drop)? else { break };
                match line.split_at_checked(1) {
                    Some(("*", count)) => missing = count.parse().map_err(drop)?,
                    Some(("$", bytes)) if missing > 0 => length = Some(bytes.parse().map_err(drop)?),
                    _ => return Err(()),
                }
            }
            let count = self.stream.read(&mut scratch).await.map_err(drop)?;
            if count == 0 {
                return Err(());
            }
            self.incoming.feed(&scratch[..count]);
        }
    }
}

#[cfg(test)]
#[path = "tests/clients.rs"]
mod tests;
