//! The processes that host hollow dispatchers, seen from the rig: orders in, records out.

use super::hollow::{Hosted, Order, Record};
use super::layout::Layout;
use super::ledger::Ledger;
use super::scenario::Scenario;
use std::process::Stdio;
use std::sync::Arc;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::process::{Child, Command};
use tokio::sync::{Mutex, mpsc};

/// One process, and who it hosts.
struct Host {
    child: Mutex<Child>,
    id: u32,
    orders: mpsc::UnboundedSender<Order>,
    first: usize,
    count: usize,
}

/// All of them.
pub(super) struct Hosts(Vec<Host>);

impl Hosts {
    /// Starts the processes, with no dispatcher in them yet; all that they tell goes to the ledger.
    pub(super) fn start(
        scenario: &Scenario,
        layout: &Layout,
        clock_errors_ms: &[i64],
        ledger: &Arc<Ledger>,
    ) -> Result<Hosts, String> {
        let each = scenario.fleet.hollow_each;
        let all: Vec<_> = (scenario.fleet.real..scenario.dispatchers()).collect();
        let hosts = all.chunks(each).enumerate().map(|(number, who)| {
            let hosted = |at: &usize| Hosted {
                number: *at,
                config: layout.config_file(*at),
                operator: (!scenario.operator.is_empty()).then(|| layout.operator_file(*at)),
                clock_error_ms: clock_errors_ms[*at],
            };
            Host::start(number, &who.iter().map(hosted).collect::<Vec<_>>(), layout, ledger)
        });
        hosts.collect::<Result<Vec<_>, _>>().map(Hosts)
    }

    /// Asks the host of a dispatcher for something.
    pub(super) fn order(&self, dispatcher: usize, order: Order) {
        let hosts = |host: &&Host| (host.first..host.first + host.count).contains(&dispatcher);
        if let Some(host) = self.0.iter().find(hosts) {
            let _ = host.orders.send(order);
        }
    }

    /// The process ids, and how many dispatchers each hosts.
    pub(super) fn ids(&self) -> Vec<(u32, usize)> {
        self.0.iter().map(|host| (host.id, host.count)).collect()
    }

    /// Ends them; tells how many had ended by themselves.
    pub(super) async fn end(&self) -> usize {
        let mut ended = 0;
        for host in &self.0 {
            let mut child = host.child.lock().await;
            ended += usize::from(matches!(child.try_wait(), Ok(Some(_))));
            let _ = child.kill().await;
        }
        ended
    }
}

impl Host {
    fn start(
        number: usize,
        hosted: &[Hosted],
        layout: &Layout,
        ledger: &Arc<Ledger>,
    ) -> Result<Host, String> {
        let file = layout.folder.join(format!("host-{number}.json"));
        super::layout::write(&file, &serde_json::json!(hosted))?;
        let log = layout.log_file(&format!("host-{number}"));
        let errors = std::fs::File::create(&log).map_err(|fault| format!("{}: {fault}", log.display()))?;
        let own = std::env::current_exe().map_err(|fault| fault.to_string())?;
        let mut command = Command::new(&own);
        command.arg("hollow").arg(&file).kill_on_drop(true);
        command.stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(errors);
        let mut child = command.spawn().map_err(|fault| format!("{}: {fault}", own.display()))?;
        let (Some(mut input), Some(output)) = (child.stdin.take(), child.stdout.take()) else {
            return Err(format!("{}: no pipes", own.display()));
        };
        let (orders, mut asked) = mpsc::unbounded_channel::<Order>();
        tokio::spawn(async move {
            while let Some(order) = asked.recv().await {
                let line = format!("{}\n", serde_json::json!(order));
                if input.write_all(line.as_bytes()).await.is_err() {
                    return;
                }
            }
        });
        let ledger = ledger.clone();
        tokio::spawn(async move {
            let mut lines = BufReader::new(output).lines();
            while let Ok(Some(line)) = lines.next_line().await {
                Record::decode(&line).into_iter().for_each(|record| ledger.record(record));
            }
        });
        let first = hosted.first().map_or(0, |hosted| hosted.number);
        let id = child.id().unwrap_or_default();
        Ok(Host { child: Mutex::new(child), id, orders, first, count: hosted.len() })
    }
}
