//! Tests of the private parts of `lib.rs`.

use super::{Options, name_index};
use expect_test::expect;

#[test]
fn each_location_has_its_part_of_a_reconnect_window() {
    let part = |zone: usize, crews: &str| {
        let zone = format!("zone={zone}");
        let options = Options::from_pairs(&["balancers=10", &zone, crews]).expect("pairs");
        options.reconnect_settings().expect("numbers").window_range
    };
    let crews = "family_info.crew_by_zone=2,5,3,0";
    assert_eq!([0, 1, 2, 3].map(|zone| part(zone, crews)), [[0.0, 0.2], [0.2, 0.7], [0.7, 1.0], [0.0, 1.0]]);
    assert_eq!(part(5, "a=1"), [0.0, 1.0]);
}

#[test]
fn json_is_flattened_to_the_paths_of_the_wire() {
    let text = r#"{"a":{"b":1.5,"c":true},"flavors":["x, y","z"],"services":[{"name":"n"},{"name":"m"}],"e":[],"f":null}"#;
    let options = Options::from_json(&serde_json::from_str(text).expect("valid JSON"));
    let kinds = options.names("flavors");
    assert_eq!(["x, y", "z", "x"].map(|name| name_index(&kinds, name)), [Some(0), Some(1), None]);
    let mut pairs: Vec<_> = options.0.into_iter().collect();
    pairs.sort();
    expect![[r#"
        a.b=1.5
        a.c=true
        e=
        flavors=x__y,z
        services.0.name=n
        services.1.name=m
        services.count=2
    "#]]
    .assert_eq(&pairs.iter().map(|(path, value)| format!("{path}={value}\n")).collect::<String>());
}
