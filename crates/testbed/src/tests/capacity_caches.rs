use super::*;

fn body(line: &str) -> Vec<u8> {
    answer(line).expect("an answer")
}

#[test]
fn a_pull_without_an_age_limit_gets_the_old_copy_and_one_with_a_limit_a_fresh_one() {
    let plain = body("fetch 00000000000000aa lane=image,name=1,piece=0,ttl=5000 0");
    assert!(plain.ends_with(b"\r\nold copy\r\n"));
    let limited = body("fetch 00000000000000aa lane=image,name=1,piece=0,ttl=5000,maxage=12,flags=share 0");
    assert!(limited.ends_with(b"\r\nfresh copy\r\n"));
    let roomy = body("fetch 00000000000000aa lane=image,name=1,piece=0,ttl=5000,maxage=7200000 0");
    assert!(roomy.ends_with(b"\r\nold copy\r\n"));
}

#[test]
fn other_lines_get_nothing() {
    assert_eq!(answer("abort 00000000000000aa"), None);
    assert_eq!(answer(""), None);
}
