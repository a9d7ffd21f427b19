use super::*;
use copperroute_protocol::changes::{Decoder, Line};
use tokio::io::AsyncReadExt;

fn log(backlog: usize) -> Arc<ChangeLog> {
    let node = json!({"id": "c-0", "addr": "127.0.0.1:1", "state": "active", "weight": 1});
    Arc::new(ChangeLog::new(vec![node], backlog))
}

/// What comes to one that asks from a number on, within so many milliseconds.
async fn heard(log: &Arc<ChangeLog>, at: SocketAddr, since: u64, ms: u64) -> (Vec<u64>, Vec<u64>) {
    let mut stream = TcpStream::connect(at).await.expect("a connection");
    stream.write_all(format!("since {since}\n").as_bytes()).await.expect("written");
    let (mut decoder, mut events, mut lasts) = (Decoder::default(), Vec::new(), Vec::new());
    let mut scratch = vec![0; 4096];
    let purged = tokio::time::sleep(Duration::from_millis(ms / 2));
    tokio::pin!(purged);
    let (until, mut once) = (Instant::now() + Duration::from_millis(ms), true);
    while Instant::now() < until {
        tokio::select! {
            count = stream.read(&mut scratch) => decoder.feed(&scratch[..count.expect("read")]),
            () = &mut purged, if once => {
                once = false;
                log.purge("0123456789abcdef".into());
            }
            () = tokio::time::sleep_until(until.into()) => {}
        }
        while let Some(line) = decoder.next_line().expect("readable") {
            match line {
                Line::Change(change) => events.push(change.seq),
                Line::Heartbeat(last) => lasts.push(last),
                Line::Unusable(seq, why) => panic!("{seq}: {why}"),
            }
        }
    }
    (events, lasts)
}

#[tokio::test]
async fn it_tells_what_follows_a_number_then_what_comes_and_its_last_number() {
    let (log, at) = (log(3), SocketAddr::from(([127, 69, 3, 1], 2379)));
    log.listen(at).await.expect("it listens");
    let (events, lasts) = heard(&log, at, 2, 400).await;
    assert_eq!((events, lasts), (vec![3, 4, 5], vec![4]));
    assert_eq!(log.issued().len(), 1);
}

#[tokio::test]
async fn while_it_is_away_streams_are_reset() {
    let (log, at) = (log(0), SocketAddr::from(([127, 69, 3, 2], 2379)));
    log.listen(at).await.expect("it listens");
    log.set_up(false);
    let mut stream = TcpStream::connect(at).await.expect("a connection");
    let mut scratch = [0; 16];
    let _ = stream.write_all(b"since 0\n").await;
    assert!(stream.read(&mut scratch).await.is_err());
}

#[test]
fn what_a_starting_dispatcher_knows_is_the_list_the_last_version_and_the_last_purges() {
    let log = log(200);
    log.list(0, 7);
    log.version(1, json!({"version": 1}));
    let known = log.known();
    assert_eq!(known["seq"], 203);
    let results = known["results"].as_array().expect("events");
    assert_eq!(results.len(), KNOWN_TAIL + 1);
    assert_eq!(results[0]["fleet"]["servers"][0]["weight"], 7);
    assert_eq!((&results[0]["agreed"], &results[0]["rules"]["version"]), (&json!(1), &json!(1)));
    assert_eq!(results[KNOWN_TAIL]["seq"], 203);
    assert_eq!(log.known_first()["results"][0]["seq"], 1);
}
