//! The shipped examples are valid.

use std::collections::BTreeMap;
use std::fs;
use std::path::PathBuf;
use std::sync::Arc;

use banyan_config::settings::parse_settings;
use banyan_config::validate_files;
use banyan_core::declaration::Declaration;
use banyan_core::declaration::TargetRole;
use banyan_core::declaration::TargetSpec;

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
fn users_examples_are_valid_and_of_their_sizes() {
    for (name, service) in [("sedlar.jsonc", "booking"), ("kartonsu.jsonc", "line-control")] {
        let declaration = declared(name);
        let is_engine = |spec: &&TargetSpec| matches!(spec.role, TargetRole::Engine { .. });
        let engines = declaration.targets.values().filter(is_engine).count();
        let sizes = (declaration.zones.len(), engines, declaration.workspaces.len());
        assert_eq!(sizes, (3, 40, 10), "{name}");
        assert_eq!(declaration.targets.len() - engines, 3, "{name}");
        assert!(declaration.services.contains_key(&service.parse().unwrap()), "{name}");
    }
}

#[test]
fn settings_examples_are_valid() {
    for name in ["settings/entry.jsonc", "quickstart/entry-1.jsonc", "quickstart/entry-2.jsonc"] {
        let settings = parse_settings(name, &example(name)).unwrap();
        assert!(settings.capacity > 0, "{name}");
    }
    let third = parse_settings("entry-3.jsonc", &example("quickstart/entry-3.jsonc")).unwrap();
    assert_eq!(third.zone.as_str(), "dilovasi");
}
