//! Tests of what `service.rs` keeps to itself.

use super::*;
use tokio::io::AsyncReadExt;

async fn service(net: u8, told: &str) -> Arc<Service> {
    let told = serde_json::from_str(told).expect("a service");
    Service::start(net, told, &[]).await.expect("listens")
}

async fn call(service: &Service, since: u64) -> String {
    let mut stream = TcpStream::connect(service.address).await.expect("connected");
    let _ = stream.write_all(format!("since {since}\n").as_bytes()).await;
    let mut heard = vec![0; 4096];
    let read = tokio::time::timeout(Duration::from_millis(400), stream.read(&mut heard)).await;
    let count = read.ok().and_then(Result::ok).unwrap_or(0);
    String::from_utf8_lossy(&heard[..count]).to_string()
}

#[tokio::test]
async fn it_falls_over_its_capacity_and_stays_down_until_calls_fall() {
    let service = service(94, r#"{"calls_per_s": 4, "falls_at": 1.5, "rises_at": 0.9}"#).await;
    service.begin();
    for _ in 0..6 {
        assert!(call(&service, 1).await.contains('1'));
    }
    assert_eq!(call(&service, 1).await, "", "the seventh within a second is too many");
    assert_eq!(call(&service, 1).await, "");
    assert_eq!(service.counted().2, 1);
    tokio::time::sleep(SECOND).await;
    assert!(call(&service, 1).await.contains('1'));
}

#[tokio::test]
async fn who_asks_from_before_what_is_retained_gets_the_whole_list() {
    let service = service(95, r#"{"retention": 2}"#).await;
    (0..5).for_each(|group| service.purge(group));
    assert!(call(&service, 1).await.contains("\"full\":true"));
    assert!(!call(&service, 4).await.contains("\"full\""));
    service.fault(Some(What::Gap));
    assert!(!call(&service, 4).await.contains("\"seq\":5"));
}
