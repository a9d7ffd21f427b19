//! Starts the program with a limit of memory and watches what it uses; nodes that serve at once.

use crate::rig::{Rig, told};
use std::io::Write;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// Bytes in a MB, as limits of memory count them.
const MB: u64 = 1_000_000;
/// The least memory and the most descriptors that a deployment may name.
pub(crate) const LEAST_MEMORY_MB: u64 = 32;
pub(crate) const MOST_DESCRIPTORS: u64 = 1024;
const SAMPLE_INTERVAL: Duration = Duration::from_millis(5);

/// A rig with these limits.
pub(crate) fn rig_with_limits(memory_mb: u64, descriptors: u64) -> Rig {
    let set_limits = |config: String| {
        let memory = config.replace("\"memory_mb\": 192", &format!("\"memory_mb\": {memory_mb}"));
        let all = memory.replace("\"sockets\": 1024", &format!("\"sockets\": {descriptors}"));
        assert!(all.contains(&format!("\"memory_mb\": {memory_mb}")));
        assert!(all.contains(&format!("\"sockets\": {descriptors}")));
        all
    };
    Rig::configured("true", Stdio::null(), set_limits)
}

/// The anonymous memory of a process, in bytes; 0 once it has ended.
fn anonymous_bytes(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:"));
    let kilobytes = line.and_then(|rest| rest.trim().strip_suffix(" kB")?.parse::<u64>().ok());
    kilobytes.unwrap_or_default() * 1024
}

/// Samples the memory of a process until it is stopped.
pub(crate) struct MemoryWatch {
    peak: Arc<AtomicU64>,
    is_over: Arc<AtomicBool>,
    sampler: JoinHandle<()>,
}

impl MemoryWatch {
    pub(crate) fn start(pid: u32) -> MemoryWatch {
        let (peak, is_over) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicBool::new(false)));
        let (seen, ends) = (peak.clone(), is_over.clone());
        let sampler = thread::spawn(move || {
            while !ends.load(Ordering::Relaxed) {
                seen.fetch_max(anonymous_bytes(pid), Ordering::Relaxed);
                thread::sleep(SAMPLE_INTERVAL);
            }
        });
        MemoryWatch { peak, is_over, sampler }
    }

    /// Fails if the process has used more than its limit of memory, or has ended.
    pub(crate) fn assert_within(self, rig: &mut Rig, limit_mb: u64) {
        self.is_over.store(true, Ordering::Relaxed);
        let _ = self.sampler.join();
        let peak_mb = self.peak.load(Ordering::Relaxed) as f64 / MB as f64;
        println!("peak of memory: {peak_mb:.1} MB of {limit_mb}");
        assert!(rig.program.try_wait().expect("a child").is_none(), "the program has ended");
        assert!(peak_mb <= limit_mb as f64, "used {peak_mb:.1} MB, the limit is {limit_mb}");
    }
}

/// Answers every attempt of a rig with a body of this length, at once. The thread ends with the rig.
pub(crate) fn serve_attempts(rig: &mut Rig, body_bytes: usize) {
    let (_, none) = std::sync::mpsc::channel();
    let asked = std::mem::replace(&mut rig.asked, none);
    thread::spawn(move || {
        let body = [vec![b'x'; body_bytes], b"\r\n".to_vec()].concat();
        while let Ok(mut attempt) = asked.recv() {
            let id = attempt.line.split(' ').nth(1).unwrap_or_default().to_string();
            if attempt.line.starts_with("fetch") {
                let _ = attempt.back.write_all(&told(&format!("{id} ok why=local {body_bytes}"), &body));
            }
        }
    });
}
