//! Tests of what `groups.rs` keeps to itself.

use super::named;

#[test]
fn a_name_means_the_same_dispatchers_for_the_same_seed() {
    assert_eq!(named("dispatchers", 3, 1, 1), Some(vec![0, 1, 2]));
    assert_eq!(named("dispatchers 1-2", 9, 1, 1), Some(vec![1, 2]));
    assert_eq!(named("dispatchers 7", 9, 1, 1), Some(vec![7]));
    assert_eq!(named("dispatchers 8-20", 9, 1, 1), Some(vec![8]));
    assert_eq!(named("zone 2", 9, 3, 1), Some(vec![2, 5, 8]));
    let third = named("a third of dispatchers", 300, 1, 7);
    assert!(third.as_ref().is_some_and(|third| third.len() == 100));
    assert_eq!(third, named("a third of dispatchers", 300, 1, 7));
    assert_ne!(third, named("a third of dispatchers", 300, 1, 8));
    for none in ["dispatchers 9", "zone 4", "a seventh of dispatchers", "caches", "dispatchers x"] {
        assert_eq!(named(none, 9, 3, 1), None, "{none}");
    }
}
