//! `banyan-entry check` as a separate process, with its exit codes and output.

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
fn valid_settings_are_reported_as_usable() {
    let file =
        PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../examples/settings/entry.jsonc");
    let output = check(&file);
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    assert!(String::from_utf8_lossy(&output.stdout).contains("can be used"));
}

#[test]
fn every_error_is_reported_with_its_location_and_field() {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let file = folder.join("entry.jsonc");
    let text = "{\n  \"instance\": \"a b\",\n  \"capacity\": 0,\n  \"zonne\": \"a\"\n}\n";
    std::fs::write(&file, text).expect("a file");
    let output = check(&file);
    assert_eq!(output.status.code(), Some(2), "{output:?}");
    let errors = String::from_utf8_lossy(&output.stderr).into_owned();
    for (place, field) in [("entry.jsonc:2:", "instance"), (":3:", "capacity"), (":4:", "zonne")] {
        assert!(errors.contains(place) && errors.contains(field), "{place} {field}: {errors}");
    }
}

#[test]
fn missing_file_is_named() {
    let output = check(std::path::Path::new("no-such-file.jsonc"));
    assert_eq!(output.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&output.stderr).contains("no-such-file.jsonc"));
}
