use super::*;
use tokio::net::TcpListener;

/// A source that tells one line and then nothing; its address, and a way to it.
async fn way(net: u8) -> (Access, SocketAddr) {
    let source = TcpListener::bind((std::net::Ipv4Addr::new(127, net, 3, 1), 0)).await.expect("it listens");
    let to = source.local_addr().expect("an address");
    tokio::spawn(async move {
        let mut streams = Vec::new();
        while let Ok((mut stream, _)) = source.accept().await {
            let _ = stream.write_all(b"7\n").await;
            streams.push(stream);
        }
    });
    let access = Access::new(2);
    let listen = SocketAddr::from(([127, net, 4, 1], 2380));
    access.open(1, listen, to).expect("it opens");
    (access, listen)
}

#[tokio::test]
async fn what_passes_is_counted_by_source_and_streams_are_up_until_they_are_reset() {
    let (access, listen) = way(63).await;
    let mut stream = TcpStream::connect(listen).await.expect("a connection");
    let mut line = [0; 2];
    stream.read_exact(&mut line).await.expect("a line");
    let up = Counted { calls: 1, bytes: 2, messages: 1, streams: 1 };
    assert_eq!(access.counted(), [Counted::default(), up]);
    assert_eq!(access.counted().into_iter().sum::<Counted>(), up);
    access.reset();
    assert!(stream.read_exact(&mut line).await.is_err());
    let reset = access.counted();
    assert_eq!(reset[1], Counted { streams: 0, ..up });
    let mut again = TcpStream::connect(listen).await.expect("a connection");
    again.read_exact(&mut line).await.expect("a line");
    assert_eq!(access.counted()[1].calls, 2);
}
