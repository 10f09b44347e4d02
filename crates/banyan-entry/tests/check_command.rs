//! `banyan-entry check`, run as operators run it.

use std::path::PathBuf;
use std::process::Command;
use std::process::Output;

fn check(file: &std::path::Path) -> Output {
    Command::new(env!("CARGO_BIN_EXE_banyan-entry"))
        .arg("check")
        .arg(file)
        .output()
        .expect("the program starts")
}

#[test]
fn settings_that_can_be_used_are_told_so() {
    let file =
        PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../examples/settings/entry.jsonc");
    let output = check(&file);
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    assert!(String::from_utf8_lossy(&output.stdout).contains("can be used"));
}

#[test]
fn every_error_is_told_with_its_place_and_remedy() {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let file = folder.join("entry.jsonc");
    let text = "{\n  \"instance\": \"a b\",\n  \"capacity\": 0,\n  \"zonne\": \"a\"\n}\n";
    std::fs::write(&file, text).expect("a file");
    let output = check(&file);
    assert_eq!(output.status.code(), Some(2), "{output:?}");
    let told = String::from_utf8_lossy(&output.stderr).into_owned();
    for (place, field) in [("entry.jsonc:2:", "instance"), (":3:", "capacity"), (":4:", "zonne")] {
        assert!(told.contains(place) && told.contains(field), "{place} {field}: {told}");
    }
}

#[test]
fn a_file_that_is_not_there_is_named() {
    let output = check(std::path::Path::new("no-such-file.jsonc"));
    assert_eq!(output.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&output.stderr).contains("no-such-file.jsonc"));
}
