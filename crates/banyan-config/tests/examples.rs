//! The shipped examples are valid.

use std::collections::BTreeMap;
use std::fs;
use std::path::PathBuf;
use std::sync::Arc;

use banyan_config::settings::parse_settings;
use banyan_config::validate_files;
use banyan_core::declaration::Declaration;

fn example(name: &str) -> String {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../examples").join(name);
    fs::read_to_string(path).unwrap()
}

fn declared(name: &str) -> Declaration {
    let file = name.parse().unwrap();
    let files = BTreeMap::from([(file, Arc::from(example(name)))]);
    validate_files(&files).unwrap_or_else(|errors| panic!("{name}: {errors:?}"))
}

#[test]
fn quickstart_is_valid() {
    let declaration = declared("quickstart.jsonc");
    assert_eq!(declaration.targets.len(), 4);
    assert_eq!(declaration.workspaces.len(), 2);
}

#[test]
fn settings_examples_are_valid() {
    for name in ["entry.jsonc", "quickstart/entry-1.jsonc", "quickstart/entry-2.jsonc"] {
        let settings = parse_settings(name, &example(name)).unwrap();
        assert!(settings.capacity > 0, "{name}");
    }
    let third = parse_settings("entry-3.jsonc", &example("quickstart/entry-3.jsonc")).unwrap();
    assert_eq!(third.zone.as_str(), "dilovasi");
}
