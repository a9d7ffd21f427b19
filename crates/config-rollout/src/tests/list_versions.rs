//! Tests of the private parts of `list_versions.rs`.

use super::*;

#[test]
fn an_older_list_and_a_second_content_of_a_version_are_refused() {
    let mut lists = ListVersions::default();
    assert_eq!(lists.list_received(5, b"a drains"), Ok(true));
    assert_eq!(lists.list_received(5, b"a drains"), Ok(false));
    assert_eq!(lists.list_received(4, b"a active"), Err(ListRefusal::Older { received: 4, held: 5 }));
    assert_eq!(lists.list_received(5, b"a active"), Err(ListRefusal::ConflictingContent { version: 5 }));
    assert_eq!(lists.list_received(6, b"a active"), Ok(true));
}
