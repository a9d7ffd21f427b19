//! Tests of what `links.rs` keeps to itself.

use super::*;
use tokio::net::TcpListener;
use tokio::time::timeout;

/// A link before an echo, and a connection through it.
async fn through(net: u8) -> (Link, TcpStream) {
    let echo = TcpListener::bind(("127.0.0.1", 0)).await.expect("a free port");
    let to = echo.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = echo.accept().await {
            tokio::spawn(async move {
                let (mut read, mut write) = stream.split();
                let _ = tokio::io::copy(&mut read, &mut write).await;
            });
        }
    });
    let listen = SocketAddr::from(([127, net, 0, 1], 7000));
    let link = Link::open(listen, to).expect("a link");
    (link, TcpStream::connect(listen).await.expect("connected"))
}

async fn says(stream: &mut TcpStream, text: &[u8]) -> Option<Vec<u8>> {
    stream.write_all(text).await.ok()?;
    hears(stream).await
}

async fn hears(stream: &mut TcpStream) -> Option<Vec<u8>> {
    let mut heard = vec![0; 64];
    let count = timeout(Duration::from_millis(300), stream.read(&mut heard)).await.ok()?.ok()?;
    heard.truncate(count);
    Some(heard)
}

#[tokio::test]
async fn each_fault_does_what_it_says() {
    let (link, mut stream) = through(88).await;
    assert_eq!(says(&mut stream, b"one").await, Some(b"one".to_vec()));
    link.change(|fate| fate.from = Way::Held);
    assert_eq!(says(&mut stream, b"two").await, None);
    link.change(|fate| (fate.to, fate.from) = (Way::Held, Way::Open));
    assert_eq!(hears(&mut stream).await, Some(b"two".to_vec()));
    assert_eq!(says(&mut stream, b"three").await, None);
    link.change(|fate| fate.to = Way::Open);
    assert_eq!(hears(&mut stream).await, Some(b"three".to_vec()));
    link.change(|fate| fate.from = Way::Half);
    assert_eq!(says(&mut stream, b"four").await, Some(b"fo".to_vec()));
    assert_eq!(hears(&mut stream).await.unwrap_or_default(), b"");
}

#[tokio::test]
async fn a_reset_ends_what_is_open_and_lets_new_connections_through() {
    let (link, mut stream) = through(89).await;
    link.reset();
    assert!(hears(&mut stream).await.is_none_or(|heard| heard.is_empty()));
    let mut anew = TcpStream::connect(("127.89.0.1", 7000)).await.expect("connected");
    assert_eq!(says(&mut anew, b"one").await, Some(b"one".to_vec()));
}
