//! Compatibility of the stored form: folders written by earlier versions of the program (fixtures, named by commit)
//! must stay readable.

use copperroute_cache_store::disk::{Disk, Limits, Sync, inspect};
use copperroute_cache_store::record::Key;
use expect_test::expect;
use std::path::{Path, PathBuf};

const LIMITS: Limits = Limits { most_bytes: 400_000, segment_bytes: 1_000, sync: Sync::Segments };

/// Copies a fixture's folder, so that a test may change it.
fn copy_fixture(fixture: &str) -> (tempfile::TempDir, PathBuf) {
    let from = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(fixture).join("store");
    let folder = tempfile::tempdir().expect("temporary folder");
    for entry in std::fs::read_dir(from).expect("read the fixture").flatten() {
        std::fs::copy(entry.path(), folder.path().join(entry.file_name())).expect("copy a file");
    }
    let path = folder.path().to_path_buf();
    (folder, path)
}

/// Opens a store and lists its copies, a line each.
fn describe(folder: &Path) -> String {
    let (mut disk, found) = Disk::open(folder, LIMITS).expect("open the store");
    assert!(!found.cleared && found.truncated_bytes == 0);
    let mut trace = format!("{} copies, events up to {}\n", found.copies, disk.seq());
    for number in 1..=6_u8 {
        let key = Key { content_type: number % 2, object: [b'0' + number; 16], part: u32::from(number) };
        let copy = disk.get(&key).map(|(facts, body)| {
            assert!(body == [number; 250] && facts.etag == [b'e'; 16]);
            format!("made {}, group {:?}", facts.made_ms, facts.group)
        });
        trace += &format!("{number}: {}\n", copy.unwrap_or_else(|| "none".into()));
    }
    trace
}

#[test]
fn a_store_of_an_earlier_version_opens_unchanged() {
    let (_guard, folder) = copy_fixture("a402d9a");
    let expected = expect![[r#"
        5 copies, events up to 43
        1: none
        2: none
        3: none
        4: none
        5: made 1700000000005, group Some(5)
        6: made 1700000000006, group Some(6)
    "#]];
    expected.assert_eq(&describe(&folder));
    // The same from the log alone, without the snapshot.
    let (_guard, folder) = copy_fixture("a402d9a");
    std::fs::remove_file(folder.join("snapshot")).expect("remove the snapshot");
    expected.assert_eq(&describe(&folder));
}

#[test]
fn every_record_of_an_earlier_version_is_read() {
    let (_guard, folder) = copy_fixture("a402d9a");
    let mut records = 0;
    assert_eq!(inspect(&folder, |_, _, _| records += 1).expect("read the store"), None);
    assert_eq!(records, 10);
}
