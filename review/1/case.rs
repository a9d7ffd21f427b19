//! A checkout that must never run twice, repeated by a client whose connection fell silent while the first try was in
//! hand.
#[path = "../lib/stage.rs"]
mod stage;

use stage::*;
use std::sync::atomic::Ordering;

fn config(name: &str, listen: &str, changelog: &str, known: &str) -> String {
    format!(
        r#"{{"name":"{name}","listen":"{listen}","seed":"51f0c3a977d2be10",
"limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"changelog":"{changelog}",
"flow_bytes_per_s":310000,"link_bytes_per_s":1240000,"known":{known},
"settings":{{"zone":0,"balancers":1,"discovery":"automatic","localities":["sede-1","norte"],
"flavors":["chico","parent","origin"],"client_habits":{{"marks_retry":true}},
"services":[
{{"name":"tramos-medios","effect":"safe","aim_s":0.4,"aim_stretch":1.6,"deadline_s":5.0,"value":2.0}},
{{"name":"fichas-portadas","effect":"safe","aim_s":0.4,"aim_stretch":2.0,"deadline_s":2.5,"value":1.0}},
{{"name":"prestamo-digital","effect":"unsafe","aim_s":0.6,"aim_stretch":0.0,"deadline_s":3.0,"value":3.0}}],
"family_info":{{"second_tier_kind":1,"root_kind":2,"pass_through_ok":false,"shares_fills":false,"detail":"all",
"client_kb_per_s":5000.0,"crew_by_zone":[1,0],"pass_on":[false,false,true],"fresh_for_s":[0.0,0.0,0.0],
"usable_after_s":[0.0,0.0,0.0],"pipe_kb_per_s":[0.0,0.0],"purge_done_s":6.0,"notice_time_s":1.0,"sideways":"location",
"parent_cold_from":0.061,"parent_cold_s":22.0,"parent_breaks_at":2.0}},
"rules":{{"cold_share":0.15,"cold_s":18.0,"fall_multiple":3.0,"overload_for_s":3.0,"drain_grace_s":2.0}},
"report":{{"how":"probe","fields":["cpu_share","busy_reqs","x1"]}},
"limits":{{"cancel":true,"probing":true,"retry_after":true,"max_retry_after_s":0.5,"max_attempts":8,
"second_copies":true,"connect_timeout_s":0.4,"streams_per_conn":100,"conn_idle_s":30.0}}}}}}"#
    )
}

fn main() {
    let stage = Stage::new("1");
    let record = stage.record.clone();
    let hosts = [("s-1", Role::Cache), ("s-2", Role::Cache), ("s-3", Role::Cache), ("p-1", Role::Parent), ("p-2", Role::Parent), ("o-1", Role::Origin)];
    let world = World::start(&record, &hosts, &["prestamo-digital"]);
    let list = [
        world.entry("s-1", "sede-1", "chico", 20.0),
        world.entry("s-2", "sede-1", "chico", 20.0),
        world.entry("s-3", "sede-1", "chico", 20.0),
        world.entry("p-1", "norte", "parent", 80.0),
        world.entry("p-2", "norte", "parent", 80.0),
        world.entry("o-1", "norte", "origin", 80.0),
    ];
    let first = format!(r#"{{"seq":1,"fleet":{{"version":1,"full":true,"servers":[{}]}}}}"#, list.join(","));
    let log = ChangeLog::start(first);
    // The command of the deploy file, with the operators' file that has retry storms on.
    let command = stage.run_command().replace("deploy/platform.json", "deploy/operator.json");
    record.line(&format!("command: {command}"));
    let mut dispatcher = Dispatcher::new(&stage, "n0", &command);
    let text = config("n0", &dispatcher.listen.to_string(), &log.address.to_string(), &log.known());
    dispatcher.start(&text);
    sleep_ms(2_500);

    // One checkout on a quiet day.
    world.origin_ms.store(60, Ordering::Relaxed);
    let fields = |object: &str, resent: bool| {
        let mark = if resent { ",resent=1" } else { "" };
        format!("req={},timeout=3000{mark},subject={object},block=0,family=9,need=2.0", new_id())
    };
    let mut quiet = Client::connect(dispatcher.listen).expect("client");
    let answer = quiet.request("prestamo-digital", &fields("00000000000000a1", false), b"loan=a1").expect("answer");
    record.line(&format!("quiet checkout: {}", answer.word));
    if answer.word != "OK" {
        give_up("a checkout on a quiet day is not served");
    }
    sleep_ms(1_000);

    // The archivo central runs six times slower (67 ms at most on a quiet day). A checkout, its client gives up early.
    // It lasts 5.4 to 20 s; the checkout comes into its fifth second.
    world.origin_ms.store(400, Ordering::Relaxed);
    record.line("the archivo central runs slower: 400 ms a checkout");
    sleep_ms(4_500);
    let object = "00000000000000b2";
    let proxy = Proxy::start(dispatcher.listen);
    let mut first = Client::connect(proxy.address).expect("client");
    let line = fields(object, false);
    record.line(&format!("client: checkout {object}, first try, {line}"));
    let tag = first.ask("prestamo-digital", &line, b"loan=b2").expect("ask");
    sleep_ms(100);
    if stage.trouble {
        record.line("the client's connection falls silent");
        proxy.fall_silent();
    }
    record.line("client: gives up, ABORT");
    first.abort(tag).expect("abort");
    let mut served = 0;
    // Three repeats at most, after waits that double, of 50 to 400 ms.
    for (repeat, wait_ms) in [(1, 100), (2, 200), (3, 400)] {
        sleep_ms(wait_ms);
        let line = fields(object, true);
        record.line(&format!("client: checkout {object}, repeat {repeat}, {line}"));
        let mut again = Client::connect(dispatcher.listen).expect("client");
        let answer = again.request("prestamo-digital", &line, b"loan=b2").expect("answer");
        record.line(&format!("answer to repeat {repeat}: {} {}", answer.word, answer.fields));
        if answer.word == "OK" {
            served += 1;
            break;
        }
    }
    sleep_ms(1_000);
    let runs: Vec<_> = world.runs.lock().unwrap().iter().filter(|run| run.object == object).cloned().collect();
    for run in &runs {
        record.line(&format!("archivo central: {} of request {} has begun to run", run.object, run.req));
    }
    if !dispatcher.is_running() {
        give_up("the dispatcher has ended");
    }
    let why = format!("checkout {object} ran {} times, {served} repeats served", runs.len());
    stage.end(runs.len() > 1, &why)
}
