//! How many requests a dispatcher carries in a second of a core, beside a bare relay that only passes bytes
//! through the same sockets.

use crate::processes::{ready, used};
use crate::world::{World, unix_ms};
use copperroute_protocol::incoming::ReceiveBuffer;
use serde_json::json;
use std::net::SocketAddr;
use std::path::Path;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt, copy_bidirectional};
use tokio::net::{TcpListener, TcpStream};
use tokio::process::Command;

/// Connections, requests open on each, and how long one is measured.
const CONNECTIONS: usize = 16;
const OPEN: u64 = 8;
const MEASURED: Duration = Duration::from_secs(4);

/// Passes bytes from one address to another and back, on one thread.
pub(crate) async fn relay(listen: SocketAddr, to: SocketAddr) -> Result<(), String> {
    let listener = TcpListener::bind(listen).await.map_err(|fault| format!("{listen}: {fault}"))?;
    loop {
        let Ok((mut from, _)) = listener.accept().await else { continue };
        tokio::spawn(async move {
            if let Ok(mut there) = TcpStream::connect(to).await {
                let _ = (from.set_nodelay(true), there.set_nodelay(true));
                let _ = copy_bidirectional(&mut from, &mut there).await;
            }
        });
    }
}

/// Answers all that comes on a listener, line by line, as `answer` says.
fn serve(listener: TcpListener, answer: fn(&str) -> Option<Vec<u8>>) {
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let _ = stream.set_nodelay(true);
            tokio::spawn(async move {
                let (mut incoming, mut scratch) = (ReceiveBuffer::default(), vec![0; 64 * 1024]);
                while let Ok(count) = stream.read(&mut scratch).await {
                    incoming.feed(&scratch[..count]);
                    let mut back = Vec::new();
                    while let Ok(Some(line)) = incoming.take_line(8192) {
                        back.extend(answer(&line).unwrap_or_default());
                    }
                    if count == 0 || stream.write_all(&back).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
}

/// A cache that holds everything.
fn node(line: &str) -> Option<Vec<u8>> {
    let id = line.strip_prefix("fetch ")?.split(' ').next()?;
    let body = World::bytes("1", 0, 0);
    let head =
        format!("{id} ok etag=0000000000000001,made={},why=local,ttfb=0 {}\r\n", unix_ms(), body.len());
    Some([head.as_bytes(), &body, b"\r\n"].concat())
}

/// A stand-in that answers clients' requests at once, for the relay.
fn request_table(line: &str) -> Option<Vec<u8>> {
    // The list of fields is the one line that has the request's number in it.
    let tag = line.strip_prefix("req=")?.split(',').next()?;
    let tag = u64::from_str_radix(tag, 16).ok()?.to_string();
    let body = World::bytes("1", 0, 0);
    let head = format!("*4\r\n${}\r\n{tag}\r\n$2\r\nOK\r\n$0\r\n\r\n${}\r\n", tag.len(), body.len());
    Some([head.as_bytes(), &body, b"\r\n"].concat())
}

/// Keeps requests open on a connection until told to stop; counts answers.
async fn load(
    to: SocketAddr,
    first: u64,
    done: Arc<AtomicU64>,
    over: Arc<AtomicBool>,
) -> std::io::Result<()> {
    let mut stream = TcpStream::connect(to).await?;
    stream.set_nodelay(true)?;
    let (mut tag, mut open) = (first, 0);
    let (mut incoming, mut scratch) = (ReceiveBuffer::default(), vec![0; 64 * 1024]);
    while !over.load(Ordering::Relaxed) {
        let mut bytes = Vec::new();
        for _ in open..OPEN {
            tag += 1;
            let list =
                format!("req={tag:016x},timeout=5000,subject={:016x},block=0,family=1,need=50.0", tag % 64);
            let tag = tag.to_string();
            bytes.extend_from_slice(
                format!(
                    "*5\r\n$3\r\nREQ\r\n${}\r\n{tag}\r\n$5\r\nimage\r\n${}\r\n{list}\r\n$0\r\n\r\n",
                    tag.len(),
                    list.len()
                )
                .as_bytes(),
            );
        }
        open = OPEN;
        stream.write_all(&bytes).await?;
        let count = stream.read(&mut scratch).await?;
        if count == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        incoming.feed(&scratch[..count]);
        while let Ok(Some(line)) = incoming.take_line(8192) {
            if line == "OK" {
                open -= 1;
                done.fetch_add(1, Ordering::Relaxed);
            }
        }
    }
    Ok(())
}

/// Requests a second of CPU of the process that listens there.
async fn measure(to: SocketAddr, pid: u32) -> Result<f64, String> {
    ready(to).await?;
    let (done, over) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicBool::new(false)));
    let loads: Vec<_> = (0..CONNECTIONS)
        .map(|at| tokio::spawn(load(to, (at as u64 + 1) << 32, done.clone(), over.clone())))
        .collect();
    tokio::time::sleep(Duration::from_millis(500)).await;
    let cpu = || used(pid).map(|used| used.0 / 1e3).ok_or_else(|| "the process has ended".to_string());
    let (before, count, begun) = (cpu()?, done.load(Ordering::Relaxed), Instant::now());
    tokio::time::sleep(MEASURED.saturating_sub(begun.elapsed())).await;
    let pace = (done.load(Ordering::Relaxed) - count) as f64 / (cpu()? - before).max(0.01);
    over.store(true, Ordering::Relaxed);
    for load in loads {
        load.await.map_err(|fault| fault.to_string())?.map_err(|fault| format!("{to}: {fault}"))?;
    }
    Ok(pace)
}

/// Measures programs in turn, so many rounds, and prints each one's share of the relay's pace.
pub(crate) async fn compare(
    programs: &[&Path],
    net: u8,
    out: &Path,
    operator: Option<&Path>,
    rounds: usize,
) -> Result<(), String> {
    let address = |part: u8, port| SocketAddr::from(([127, net, part, 1], port));
    let bind = |at| async move { TcpListener::bind(at).await.map_err(|fault| format!("{at}: {fault}")) };
    serve(bind(address(2, 6000)).await?, node);
    serve(bind(address(5, 6001)).await?, request_table);
    let log = bind(address(3, 2379)).await?;
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = log.accept().await {
            tokio::spawn(async move {
                while stream.write_all(b"1\n").await.is_ok() {
                    tokio::time::sleep(Duration::from_secs(1)).await;
                }
            });
        }
    });
    let list = json!([{"id": "s-0", "addr": address(2, 6000).to_string(), "zone": "east", "kind": "box", "cell": 0, "state": "active", "weight": 1000, "started_ms": 0}]);
    let config = json!({
        "name": "n0", "listen": address(1, 5050).to_string(), "seed": "1", "changelog": address(3, 2379).to_string(),
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"seq": 1, "results": [{"seq": 1, "fleet": {"version": 1, "full": true, "servers": list}}]},
        "settings": {
            "zone": 0, "balancers": 1, "discovery": "automatic", "localities": ["east"], "flavors": ["box", "parent", "origin"],
            "services": [{"name": "image", "effect": "safe", "aim_s": 2.0, "aim_stretch": 2.0, "deadline_s": 6.0, "value": 1.0}],
            "family_info": {"second_tier_kind": 1, "root_kind": 2, "pass_through_ok": true, "detail": "all", "client_kb_per_s": 5000.0,
                "crew_by_zone": [1], "pass_on": [false], "fresh_for_s": [0.0], "purge_done_s": 6.0, "notice_time_s": 1.0},
            "rules": {"cold_share": 0.2, "cold_s": 15.0, "fall_multiple": 2.5, "overload_for_s": 3.0},
            "limits": {"cancel": true, "retry_after": true, "max_retry_after_s": 1.0, "max_attempts": 6, "connect_timeout_s": 0.4, "streams_per_conn": 100, "conn_idle_s": 30.0}
        }
    });
    std::fs::create_dir_all(out).map_err(|fault| format!("{}: {fault}", out.display()))?;
    let file = out.join("pace.json");
    std::fs::write(&file, config.to_string()).map_err(|fault| format!("{}: {fault}", file.display()))?;
    let own = std::env::current_exe().map_err(|fault| fault.to_string())?;
    let mut shares = vec![Vec::new(); programs.len()];
    for round in 0..rounds {
        let mut relay = Command::new(&own);
        relay.args(["relay", &address(4, 5050).to_string(), &address(5, 6001).to_string()]);
        let mut relay = relay.kill_on_drop(true).spawn().map_err(|fault| fault.to_string())?;
        let bare = measure(address(4, 5050), relay.id().unwrap_or_default()).await?;
        let _ = relay.kill().await;
        for (at, program) in programs.iter().enumerate() {
            let mut command = Command::new(program);
            command.arg("serve").arg("--config").arg(&file).stderr(Stdio::null()).kill_on_drop(true);
            // Only the first takes the operator's file: the others may be older than it.
            if let Some(operator) = operator.filter(|_| at == 0) {
                command.arg("--operator").arg(operator);
            }
            let mut child = command.spawn().map_err(|fault| format!("{}: {fault}", program.display()))?;
            let pace = measure(address(1, 5050), child.id().unwrap_or_default()).await?;
            let _ = child.kill().await;
            println!(
                "round {}: {} {:.0} downloads a core-second, {:.3} of the relay's {:.0}",
                round + 1,
                program.display(),
                pace,
                pace / bare,
                bare
            );
            shares[at].push(pace / bare);
        }
    }
    for (program, shares) in programs.iter().zip(&mut shares) {
        shares.sort_by(f64::total_cmp);
        println!(
            "{}: median {:.3}, {:.3} to {:.3} of the relay's",
            program.display(),
            shares[shares.len() / 2],
            shares[0],
            shares[shares.len() - 1]
        );
    }
    Ok(())
}
