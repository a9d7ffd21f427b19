//! A folder written by an earlier version of the program (fixtures, by commit) stays readable as it is.

use copperroute_cache_store::disk::{Disk, Limits, Sync, inspect};
use copperroute_cache_store::record::Key;
use expect_test::expect;
use std::path::{Path, PathBuf};

const LIMITS: Limits = Limits { most_bytes: 400_000, segment_bytes: 1_000, sync: Sync::Segments };

/// A copy of a fixture's folder that may be changed.
fn copied(fixture: &str) -> (tempfile::TempDir, PathBuf) {
    let from = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(fixture).join("store");
    let folder = tempfile::tempdir().expect("a folder");
    for entry in std::fs::read_dir(from).expect("a fixture").flatten() {
        std::fs::copy(entry.path(), folder.path().join(entry.file_name())).expect("copied");
    }
    let path = folder.path().to_path_buf();
    (folder, path)
}

fn described(folder: &Path) -> String {
    let (mut disk, found) = Disk::open(folder, LIMITS).expect("a store");
    assert!(!found.began_anew && found.torn == 0);
    let mut trace = format!("{} copies, marked up to {}\n", found.copies, disk.seq());
    for number in 1..=6_u8 {
        let key = Key { content_type: number % 2, object: [b'0' + number; 16], part: u32::from(number) };
        let told = disk.get(&key).map(|(facts, body)| {
            assert!(body == [number; 250] && facts.etag == [b'e'; 16]);
            format!("made {}, group {:?}", facts.made_ms, facts.group)
        });
        trace += &format!("{number}: {}\n", told.unwrap_or_else(|| "none".into()));
    }
    trace
}

#[test]
fn a_store_written_before_files_were_reached_through_a_trait_opens_as_it_was() {
    let (_guard, folder) = copied("a402d9a");
    let expected = expect![[r#"
        5 copies, marked up to 43
        1: none
        2: none
        3: none
        4: none
        5: made 1700000000005, group Some(5)
        6: made 1700000000006, group Some(6)
    "#]];
    expected.assert_eq(&described(&folder));
    // The same by its log alone.
    let (_guard, folder) = copied("a402d9a");
    std::fs::remove_file(folder.join("snapshot")).expect("removed");
    expected.assert_eq(&described(&folder));
}

#[test]
fn every_record_of_it_is_read() {
    let (_guard, folder) = copied("a402d9a");
    let mut records = 0;
    assert_eq!(inspect(&folder, |_, _, _| records += 1).expect("a store"), None);
    assert_eq!(records, 10);
}
