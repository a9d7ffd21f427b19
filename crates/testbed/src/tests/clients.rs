//! Tests of what `clients.rs` keeps to itself.

use super::*;
use crate::scenario::Scenario;
use tokio::net::TcpListener;

/// A dispatcher that answers every message as it is told: the tag, the rest of an answer for the first try.
async fn judged(net: u8, answer: &'static str, wait: Duration) -> Vec<u8> {
    let mut scenario =
        Scenario::parse(include_str!("../../scenarios/trunk-outage-short.json")).expect("a good scenario");
    scenario.types.truncate(1);
    scenario.types[0].expiry_ms = 300;
    scenario.clients.patience_s = 0.0;
    scenario.clients.rate = 3_000.0;
    let world = Arc::new(World::new(scenario));
    world.purge();
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut scratch = [0; 4096];
            while stream.read(&mut scratch).await.is_ok_and(|count| count > 0) {
                tokio::time::sleep(wait).await;
                let _ = stream.write_all(answer.as_bytes()).await;
            }
        }
    });
    // The purge was told long enough ago.
    tokio::time::sleep(crate::world::PURGE_GRACE + Duration::from_millis(100)).await;
    world.begin();
    let results = Arc::new(Results::new(5, 1));
    let (_keep, reconnect) = watch::channel(0);
    let until = Instant::now() + Duration::from_millis(700);
    let crowd = Crowd { world: world.clone(), results, dispatchers: vec![address], net, reconnect, until };
    Arc::new(crowd).client(0).await;
    world.breaches().iter().map(|breach| breach.rule).take(1).collect()
}

#[tokio::test]
async fn a_dispatcher_that_breaks_a_rule_is_caught() {
    let busy = "*4\r\n$1\r\n1\r\n$4\r\nBUSY\r\n$0\r\n\r\n$0\r\n\r\n";
    let twice = "*4\r\n$1\r\n1\r\n$4\r\nBUSY\r\n$0\r\n\r\n$0\r\n\r\n*4\r\n$1\r\n1\r\n$4\r\nBUSY\r\n$0\r\n\r\n$0\r\n\r\n";
    let foreign = "*4\r\n$1\r\n1\r\n$2\r\nOK\r\n$0\r\n\r\n$4\r\nelse\r\n";
    let late = Duration::from_millis(900);
    let (at_once, too_late) = tokio::join!(judged(91, twice, Duration::ZERO), judged(92, busy, late));
    assert_eq!((at_once, too_late), (vec![1], vec![1]));
    assert_eq!(judged(93, foreign, Duration::ZERO).await, [1]);
}
