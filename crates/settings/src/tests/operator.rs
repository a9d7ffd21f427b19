//! Tests of the private parts of `operator.rs`.

use super::OperatorFile;
use copperroute_routing::interface::Nanos;
use copperroute_routing::reconnect_schedule::ReconnectSettings;
use expect_test::expect;

#[test]
fn the_deployed_operator_file_has_no_disk_tier_snapshot_or_change_log_settings() {
    let text = include_str!("../../../../deploy/platform.json");
    let platform = OperatorFile::parse(text).expect("a good file");
    assert_eq!((platform.disk_tier(), platform.snapshot_settings()), (Ok(None), Ok(None)));
    assert_eq!((platform.lists, platform.agreement), (None, None));
    let run = include_str!("../../../../deploy/balancer.toml").lines().find(|line| line.starts_with("run"));
    let run = run.unwrap_or_default();
    // One process, started by exec, with that file alone.
    assert!(
        run.contains("\"exec target/release/copperroute serve --operator deploy/platform.json\""),
        "{run}"
    );
}

#[test]
fn an_unusable_value_is_refused_with_its_path() {
    let files = [
        r#"{}"#,
        r#"{"storms":{}}"#,
        r#"{"storms":{"slots":0}}"#,
        r#"{"storms":{"newcomers":0.95}}"#,
        r#"{"storms":{"remember_s":"long"}}"#,
        r#"{"storms":{"slotz":5}}"#,
        r#"{"storm":{}}"#,
        r#"{"copies":{"memory_mb":0}}"#,
        r#"{"copies":{}}"#,
        r#"{"copies":{"memory_mb":1,"disk":{"folder":"d","most_mb":8}}}"#,
        r#"{"copies":{"memory_mb":1,"disk":{"folder":"d","most_mb":64,"sync":"now"}}}"#,
        r#"{"storms":{"unknown_repeats":"throttle"}}"#,
        r#"{"storms":{"remember_s":1e400}}"#,
        r#"{"lists":{"calls_per_s":0}}"#,
        r#"{"lists":{"calls_per_s":60,"keep":{"folder":"d","most_age_s":0}}}"#,
        r#"{"lists":{"calls_per_s":60,"keep":{}}}"#,
        r#"{"lists":{"calls":60}}"#,
        r#"{"lists":{"calls_per_s":60,"dispatchers":900}}"#,
        r#"{"lists":{"calls_per_s":60,"dispatchers":300}}"#,
        r#"{"lists":{"calls_per_s":60,"replicas":[]}}"#,
        r#"{"lists":{"calls_per_s":60,"replicas":[{"address":"10.0.0.1:2379","region":"r","zone":"a"}]}}"#,
        r#"{"lists":{"calls_per_s":60,"replicas":[{"address":"10.0.0.1:2379","region":"r","zone":"a"},{"address":"10.0.0.1:2379","region":"r","zone":"b"}]}}"#,
        r#"{"lists":{"calls_per_s":60,"replicas":[{"address":"10.0.0.1:2379","region":"r","zone":"a"},{"address":"relay:2379","region":"r","zone":"b"}]}}"#,
        r#"{"lists":{"calls_per_s":60,"replicas":[{"address":"0.0.0.0:2379","region":"r","zone":"a"},{"address":"10.0.0.1:2379","region":"r","zone":"b"}]}}"#,
        r#"{"lists":{"calls_per_s":60,"replicas":[{"address":"10.0.0.2:2379","region":"r","zone":"a"},{"address":"10.0.0.1:2379","region":"r","zone":""}]}}"#,
        r#"{"lists":{"calls_per_s":60,"replicas":[{"address":"10.0.0.2:2379","region":"r"}]}}"#,
        r#"{"lists":{"calls_per_s":60,"replicas":[{"address":"10.0.0.2:2379","zones":"r"}]}}"#,
        r#"{"lists":{"calls_per_s":60,"dispatchers":590,"replicas":[{"address":"10.0.0.2:2379","region":"r","zone":"a"},{"address":"10.0.0.1:2379","region":"r","zone":"b"}]}}"#,
        r#"{"agreement":{}}"#,
        r#"{"agreement":{"lease_s":1}}"#,
        r#"{"agreement":{"leases_s":3}}"#,
        r#"{"agreement":{"issued":[{"version":1}]}}"#,
        r#"{"agreement":{"issued":[{"version":1,"issuer":"ops","issued_ms":1,"from_ms":9,"rules":{},"flor":{}}]}}"#,
        r#"{"storms":{}} {}"#,
        r#"{"storms":{"#,
    ];
    let results = files.map(|file| match OperatorFile::parse(file) {
        Ok(_) => format!("{file}: good\n"),
        Err(why) => format!("{file}: {why}\n"),
    });
    expect![[r#"
        {}: good
        {"storms":{}}: good
        {"storms":{"slots":0}}: storms.slots: 0 is not a valid number of slots; expected 1 to 1000000
        {"storms":{"newcomers":0.95}}: storms.newcomers: 0.95 is not a valid part of the pace; expected 0 to 0.9
        {"storms":{"remember_s":"long"}}: storms.remember_s: invalid type: string "long", expected f64 at line 1 column 30
        {"storms":{"slotz":5}}: storms.slotz: unknown field `slotz`, expected one of `remember_s`, `most_remembered`, `slots`, `newcomers`, `clients_mark`, `unknown_repeats` at line 1 column 18
        {"storm":{}}: storm: unknown field `storm`, expected one of `storms`, `copies`, `lists`, `agreement` at line 1 column 8
        {"copies":{"memory_mb":0}}: copies.memory_mb: 0 is not a valid number of megabytes; expected 1 to 1000000
        {"copies":{}}: copies: missing field `memory_mb` at line 1 column 12
        {"copies":{"memory_mb":1,"disk":{"folder":"d","most_mb":8}}}: copies.disk.segment_mb: 16 is not a valid number of megabytes; expected 1 to 4
        {"copies":{"memory_mb":1,"disk":{"folder":"d","most_mb":64,"sync":"now"}}}: copies.disk.sync: unknown variant `now`, expected one of `never`, `segments`, `always` at line 1 column 71
        {"storms":{"unknown_repeats":"throttle"}}: storms.unknown_repeats: unknown variant `throttle`, expected `pull` or `abandon` at line 1 column 39
        {"storms":{"remember_s":1e400}}: storms.remember_s: number out of range at line 1 column 29
        {"lists":{"calls_per_s":0}}: lists.calls_per_s: 0 is not a valid number of calls a second; expected 0.1 to 1000000
        {"lists":{"calls_per_s":60,"keep":{"folder":"d","most_age_s":0}}}: lists.keep.most_age_s: 0 is not a valid number of seconds; expected 1 to 31536000
        {"lists":{"calls_per_s":60,"keep":{}}}: lists.keep: missing field `folder` at line 1 column 36
        {"lists":{"calls":60}}: lists.calls: unknown field `calls`, expected one of `calls_per_s`, `dispatchers`, `told_after_s`, `keep`, `replicas` at line 1 column 17
        {"lists":{"calls_per_s":60,"dispatchers":900}}: lists.calls_per_s: with 60 calls a second 900 dispatchers can't all connect within 7 s; expected at least 173.1
        {"lists":{"calls_per_s":60,"dispatchers":300}}: good
        {"lists":{"calls_per_s":60,"replicas":[]}}: lists.replicas: 0 replicas; expected 2 to 64
        {"lists":{"calls_per_s":60,"replicas":[{"address":"10.0.0.1:2379","region":"r","zone":"a"}]}}: lists.replicas: 1 replicas; expected 2 to 64
        {"lists":{"calls_per_s":60,"replicas":[{"address":"10.0.0.1:2379","region":"r","zone":"a"},{"address":"10.0.0.1:2379","region":"r","zone":"b"}]}}: lists.replicas.1.address: '10.0.0.1:2379' is also the address of lists.replicas.0; expected different addresses
        {"lists":{"calls_per_s":60,"replicas":[{"address":"10.0.0.1:2379","region":"r","zone":"a"},{"address":"relay:2379","region":"r","zone":"b"}]}}: lists.replicas.1.address: 'relay:2379' is not an address to connect to; expected IP:PORT
        {"lists":{"calls_per_s":60,"replicas":[{"address":"0.0.0.0:2379","region":"r","zone":"a"},{"address":"10.0.0.1:2379","region":"r","zone":"b"}]}}: lists.replicas.0.address: '0.0.0.0:2379' is not an address to connect to; expected IP:PORT
        {"lists":{"calls_per_s":60,"replicas":[{"address":"10.0.0.2:2379","region":"r","zone":"a"},{"address":"10.0.0.1:2379","region":"r","zone":""}]}}: lists.replicas.1.zone: is empty; expected at least one character
        {"lists":{"calls_per_s":60,"replicas":[{"address":"10.0.0.2:2379","region":"r"}]}}: lists.replicas[0]: missing field `zone` at line 1 column 79
        {"lists":{"calls_per_s":60,"replicas":[{"address":"10.0.0.2:2379","zones":"r"}]}}: lists.replicas[0].zones: unknown field `zones`, expected one of `address`, `region`, `zone` at line 1 column 73
        {"lists":{"calls_per_s":60,"dispatchers":590,"replicas":[{"address":"10.0.0.2:2379","region":"r","zone":"a"},{"address":"10.0.0.1:2379","region":"r","zone":"b"}]}}: lists.calls_per_s: with 60 calls a second 590 of 590 dispatchers at one replica can't all connect within 7 s; expected at least 113.5
        {"agreement":{}}: good
        {"agreement":{"lease_s":1}}: agreement.lease_s: 1 is no number of seconds that can hold; expected 2 to 3600: a line comes each second, and may take slack_s longer than the one before
        {"agreement":{"leases_s":3}}: agreement.leases_s: unknown field `leases_s`, expected one of `lease_s`, `clock_error_s`, `slack_s`, `floor`, `issued` at line 1 column 24
        {"agreement":{"issued":[{"version":1}]}}: agreement.issued.0.missing field `issuer`
        {"agreement":{"issued":[{"version":1,"issuer":"ops","issued_ms":1,"from_ms":9,"rules":{},"flor":{}}]}}: agreement.issued.0.flor: unknown field `flor`, expected one of `version`, `after`, `issuer`, `issued_ms`, `from_ms`, `rules`, `floor`
        {"storms":{}} {}: trailing characters at line 1 column 15
        {"storms":{: storms.?: EOF while parsing an object at line 1 column 11
    "#]].assert_eq(&results.concat());
}

/// Six replicas in three zones have capacity for dispatchers that one change log at the same rate has not.
#[test]
fn reconnect_windows_follow_the_dispatchers_of_one_replica() {
    let replica =
        |at: u8| format!(r#"{{"address":"10.0.0.{at}:2379","region":"north","zone":"z{}"}}"#, at % 3);
    let six = (1..7).map(replica).collect::<Vec<_>>().join(",");
    let dispatchers_at_one = |replicas: &str| {
        let file = format!(r#"{{"lists":{{"calls_per_s":60,"dispatchers":590{replicas}}}}}"#);
        OperatorFile::parse(&file).and_then(|file| {
            let known = ReconnectSettings {
                dispatchers: 1,
                calls_per_s: None,
                delivered_after: Nanos::ZERO,
                window_range: [0.0, 1.0],
            };
            file.reconnect_settings(known).map(|calls| calls.dispatchers)
        })
    };
    let one = dispatchers_at_one("").expect_err("too many for one change log");
    assert_eq!(
        one,
        "lists.calls_per_s: with 60 calls a second 590 dispatchers can't all connect within 7 s; expected at least 113.5"
    );
    assert_eq!(dispatchers_at_one(&format!(r#","replicas":[{six}]"#)), Ok(225));
}
