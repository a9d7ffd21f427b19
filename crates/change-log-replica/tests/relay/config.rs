//! The configuration file: defaults, the texts of errors, the order of sources, and the schema.

use crate::common::secs;
use copperroute_change_log_replica::config::{Config, SourceKind};

const GOOD: &str = r#"{"name": "r1", "listen": "10.0.0.9:2379",
    "sources": [{"address": "10.0.0.1:2379", "kind": "change-log"}, {"address": "10.0.0.2:2379", "kind": "replica"}]}"#;

fn refused(change: &str, to: &str) -> String {
    let text = GOOD.replace(change, to);
    assert_ne!(text, GOOD);
    Config::parse(&text).expect_err("it is wrong")
}

#[test]
fn the_default_retention_holds_an_hour_of_purges_and_a_node_list() {
    let config = Config::parse(GOOD).expect("a good file");
    assert_eq!(config.retention.max_age, secs(3600.0));
    // 21,600 purges of 80 bytes with 64 bytes of overhead each, and a list of 1,200 nodes of 200 bytes.
    assert!(config.retention.bytes > 21_600 * (80 + 64) + 1_200 * 200);
    assert_eq!(config.followers.most, 400);
    let kinds: Vec<_> = config.sources.iter().map(|source| source.kind).collect();
    assert_eq!(kinds, [SourceKind::ChangeLog, SourceKind::Replica]);
}

#[test]
fn an_error_is_one_line_with_the_path() {
    assert_eq!(
        refused(r#""name": "r1","#, r#""name": "r1", "retentoin": {},"#),
        "retentoin: unknown field `retentoin`, expected one of `name`, `listen`, `sources`, `order`, `retention`, \
         `followers`, `propagation_bound_s` at line 1 column 26"
    );
    assert_eq!(
        refused("10.0.0.2:2379", "10.0.0.9:2379"),
        "sources.1.address: 10.0.0.9:2379 is the replica's own; expected another"
    );
    assert_eq!(
        refused("10.0.0.2:2379", "10.0.0.1:2379"),
        "sources.1.address: 10.0.0.1:2379 is listed twice; expected each once"
    );
    assert_eq!(
        refused(r#""name": "r1","#, r#""name": "r1", "followers": {"most": 0},"#),
        "followers.most: 0 is not a valid number of followers; expected 1 to 100000"
    );
    assert_eq!(
        refused(r#""name": "r1","#, r#""name": "r1", "retention": {"seconds": 0.5},"#),
        "retention.seconds: 0.5 is not a valid number of seconds; expected 1 to 86400"
    );
    assert_eq!(
        refused(
            r#""name": "r1","#,
            r#""name": "r1", "followers": {"most": 1000, "catch_up_bytes_per_s": 9000},"#
        ),
        "followers.catch_up_bytes_per_s: 9000; 1000 followers that are catching up would not each receive a line a second; \
         expected at least 2048000"
    );
    assert_eq!(
        refused(r#""name": "r1","#, r#""name": "r1", "propagation_bound_s": 1,"#),
        "propagation_bound_s: 1 is not a valid number of seconds; expected 0.01 to 0.9"
    );
    assert!(refused("change-log", "changelog").starts_with("sources[0].kind: unknown variant `changelog`"));
    assert!(refused("]}", "]} x").contains("trailing characters"));
}

#[test]
fn rendezvous_order_spreads_replicas_over_the_same_list_of_sources() {
    let firsts: std::collections::HashSet<_> = (0..32)
        .map(|of| {
            let named = format!(r#""name": "r{of}", "order": "rendezvous","#);
            let text = GOOD.replace(r#""name": "r1","#, &named);
            Config::parse(&text).expect("a good file").sources[0].address
        })
        .collect();
    assert_eq!(firsts.len(), 2);
}

#[test]
fn the_schema_names_every_field() {
    let schema = Config::schema().to_string();
    for field in
        ["sources", "order", "retention", "catch_up_bytes_per_s", "queue_bytes", "propagation_bound_s"]
    {
        assert!(schema.contains(&format!("\"{field}\"")), "{field}");
    }
}
