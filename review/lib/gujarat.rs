/// The configuration of a small deployment like gujarat-coast: `data-files` are fresh for a time, without grace;
/// no probes, no purges.
pub fn config(name: &str, listen: &str, changelog: &str, known: &str, crew: u32, fresh_s: f64, seed: &str) -> String {
    format!(
        r#"{{"name":"{name}","listen":"{listen}","seed":"{seed}",
"limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"changelog":"{changelog}",
"flow_bytes_per_s":310000,"link_bytes_per_s":1240000,"known":{known},
"settings":{{"zone":0,"balancers":{crew},"discovery":"automatic","localities":["west","hub"],
"flavors":["small-box","parent","origin"],"client_habits":{{"marks_retry":true}},
"services":[
{{"name":"video-segments","effect":"safe","aim_s":0.4,"aim_stretch":1.6,"deadline_s":5.0,"value":2.0}},
{{"name":"data-files","effect":"safe","aim_s":0.4,"aim_stretch":2.0,"deadline_s":2.5,"value":1.0}}],
"family_info":{{"second_tier_kind":1,"root_kind":2,"pass_through_ok":false,"shares_fills":false,"detail":"all",
"client_kb_per_s":5000.0,"crew_by_zone":[{crew},0],"pass_on":[false,false],"fresh_for_s":[0.0,{fresh_s:.1}],
"usable_after_s":[0.0,0.0],"pipe_kb_per_s":[0.0,0.0],"purge_done_s":6.0,"notice_time_s":0.3,"sideways":"any",
"parent_cold_from":0.062,"parent_cold_s":21.0,"parent_breaks_at":2.0}},
"rules":{{"cold_share":0.16,"cold_s":17.0,"fall_multiple":2.5,"overload_for_s":1.5,"drain_grace_s":0.25}},
"report":{{"how":"answers","fields":["inflight","x1","x0"]}},
"limits":{{"cancel":true,"probing":false,"retry_after":true,"max_retry_after_s":0.5,"max_attempts":6,
"second_copies":true,"connect_timeout_s":0.4,"streams_per_conn":100,"conn_idle_s":30.0}}}}}}"#
    )
}

/// Hosts and list: three caches, two parents and the origin.
pub const HOSTS: [(&str, Role); 6] = [
    ("s-1", Role::Cache),
    ("s-2", Role::Cache),
    ("s-3", Role::Cache),
    ("p-1", Role::Parent),
    ("p-2", Role::Parent),
    ("o-1", Role::Origin),
];

pub fn first_event(world: &World) -> String {
    let entries: Vec<String> = HOSTS
        .iter()
        .map(|(id, role)| match role {
            Role::Cache => world.entry(id, "west", "small-box", 20.0),
            Role::Parent => world.entry(id, "hub", "parent", 80.0),
            Role::Origin => world.entry(id, "hub", "origin", 80.0),
        })
        .collect();
    format!(r#"{{"seq":1,"fleet":{{"version":1,"full":true,"servers":[{}]}}}}"#, entries.join(","))
}

/// Asks for an object until it is answered with content; returns the age of the copy when the request was written.
pub fn ask(record: &Record, client: &mut Client, who: &str, class: &str, object: &str) -> Option<u64> {
    for _ in 0..10 {
        let wait = if class == "data-files" { 2_500 } else { 5_000 };
        let line = format!("req={},timeout={wait},subject={object},block=0,family=3", new_id());
        let written = unix_ms();
        let Ok(answer) = client.request(class, &line, b"") else {
            give_up("a connection to a dispatcher has ended");
        };
        if answer.word == "OK" {
            let age = written.saturating_sub(answer.made_ms().unwrap_or(0));
            record.line(&format!("{who}: {class} {object} answered OK, the copy was {age} ms old"));
            return Some(age);
        }
        record.line(&format!("{who}: {class} {object} answered {} {}", answer.word, answer.fields));
        sleep_ms(200);
    }
    None
}
