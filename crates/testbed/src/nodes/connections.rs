//! Where a node listens, and the connections that dispatchers make to it.

use super::wire::{read_fetch, write_reply};
use super::{Busy, Fleet, Node};
use copperroute_protocol::incoming::ReceiveBuffer;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::mpsc;
use tokio::task::AbortHandle;

const MOST_LINE: usize = 4096;

impl Fleet {
    /// Whether a node takes one more connection.
    fn takes(&self, node: &Node) -> bool {
        let told = &self.world.scenario.fleet;
        let now = Instant::now();
        let mut opened = node.opened.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        while opened.front().is_some_and(|at| now.duration_since(*at) >= Duration::from_secs(1)) {
            opened.pop_front();
        }
        let held = node.held.load(Ordering::Relaxed);
        let full = told.most_connections > 0 && held >= told.most_connections;
        let taken = !full && (told.most_new == 0 || opened.len() < told.most_new);
        opened.push_back(now);
        self.world.count(|tally| {
            tally.opened += 1;
            tally.turned_away += u32::from(!taken);
            tally.held_most = tally.held_most.max(held as u32 + 1);
        });
        taken
    }
}

/// Listens while the node is up.
pub(super) async fn live(fleet: Arc<Fleet>, node: Arc<Node>) {
    let mut life = node.life.subscribe();
    loop {
        let up = node.state().up;
        if !up {
            tokio::time::sleep(Duration::from_millis(5)).await;
            continue;
        }
        let listen = || {
            let socket = TcpSocket::new_v4()?;
            socket.set_reuseaddr(true)?;
            socket.bind(node.address)?;
            socket.listen(1024)
        };
        let Ok(listener) = listen() else {
            tokio::time::sleep(Duration::from_millis(5)).await;
            continue;
        };
        life.mark_unchanged();
        loop {
            tokio::select! {
                _ = life.changed() => break,
                accepted = listener.accept() => if let Ok((stream, _)) = accepted {
                    if fleet.takes(&node) {
                        tokio::spawn(carry(fleet.clone(), node.clone(), stream));
                    } else {
                        let _ = stream.set_zero_linger();
                    }
                }
            }
        }
    }
}

/// One connection of a dispatcher.
async fn carry(fleet: Arc<Fleet>, node: Arc<Node>, stream: TcpStream) {
    let _held = Busy::enter(&node.held);
    let mut life = node.life.subscribe();
    let _ = stream.set_nodelay(true);
    let (mut read, mut write) = stream.into_split();
    let (answers, mut waiting) = mpsc::unbounded_channel::<(String, Vec<u8>)>();
    let mut open: HashMap<String, AbortHandle> = HashMap::new();
    let (mut incoming, mut scratch) = (ReceiveBuffer::default(), vec![0; 64 * 1024]);
    let mut head: Option<(String, usize)> = None;
    'alive: loop {
        tokio::select! {
            _ = life.changed() => break,
            answer = waiting.recv() => {
                let Some((id, bytes)) = answer else { break };
                open.remove(&id);
                if write.write_all(&bytes).await.is_err() {
                    break;
                }
            }
            got = read.read(&mut scratch) => {
                let Ok(count) = got else { break };
                if count == 0 {
                    break;
                }
                incoming.feed(&scratch[..count]);
                loop {
                    if let Some((line, length)) = head.take() {
                        match incoming.take_block(length) {
                            Ok(Some(_)) => {}
                            Ok(None) => {
                                head = Some((line, length));
                                break;
                            }
                            Err(_) => break 'alive,
                        }
                        let words: Vec<_> = line.split(' ').collect();
                        let fetch = read_fetch(words[1], words[2]);
                        fleet.world.pulled(&fetch.id, &node.id, fetch.source.as_deref());
                        fleet.tally(&node, &fetch);
                        if node.state().silent {
                            continue;
                        }
                        let (id, answers) = (fetch.id.clone(), answers.clone());
                        let (fleet, node) = (fleet.clone(), node.clone());
                        let task = tokio::spawn(async move {
                            if let Some(reply) = fleet.serve(&node, &fetch).await {
                                let _ = answers.send((fetch.id.clone(), write_reply(&fetch.id, &reply)));
                            }
                        });
                        open.insert(id, task.abort_handle());
                    }
                    let Ok(line) = incoming.take_line(MOST_LINE) else { break 'alive };
                    let Some(line) = line else { break };
                    let words: Vec<_> = line.split(' ').collect();
                    match words[..] {
                        ["fetch", _, _, length] => match length.parse() {
                            Ok(length) => head = Some((line.clone(), length)),
                            Err(_) => break 'alive,
                        },
                        ["abort", id] => {
                            if let Some(task) = open.remove(id) {
                                task.abort();
                            }
                        }
                        _ => {
                            fleet.world.breach(1, format!("{} was sent '{line}'", node.id));
                            break 'alive;
                        }
                    }
                }
            }
        }
    }
    open.values().for_each(AbortHandle::abort);
}
