//! The operators' pages name every field that files and settings may hold.

use std::collections::BTreeMap;
use std::fs;
use std::path::PathBuf;
use std::sync::Arc;

use banyan_config::error::DeclarationErrorKind;
use banyan_config::settings::settings_command;
use banyan_config::validate_files;

fn page(name: &str) -> String {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../docs/operators").join(name);
    fs::read_to_string(path).unwrap()
}

/// The names that the error about an unknown field lists as allowed, in every section.
fn declared_fields() -> Vec<String> {
    let text = r#"{ "x": 1, "zones": [{ "x": 1 }], "workspaces": [{ "x": 1 }], "models": [{ "x": 1 }],
        "targets": [{ "x": 1, "engine": { "x": 1 } }], "policy": { "x": 1 },
        "services": [{ "x": 1, "calls": [{ "x": 1 }] }] }"#;
    let files = BTreeMap::from([("f".parse().unwrap(), Arc::from(text))]);
    let errors = validate_files(&files).unwrap_err();
    let lists = errors.into_iter().filter_map(|error| match error.kind {
        DeclarationErrorKind::UnknownField { allowed } => Some(allowed),
        _ => None,
    });
    let lists: Vec<String> = lists.map(String::from).collect();
    assert_eq!(lists.len(), 9);
    lists.iter().flat_map(|list| list.split(", ").map(String::from)).collect()
}

#[test]
fn declarations_page_names_every_field() {
    let page = page("declarations.md");
    for field in declared_fields() {
        let is_named = page.contains(&format!("`{field}`")) || page.contains(&format!(".{field}`"));
        assert!(is_named, "docs/operators/declarations.md does not name '{field}'");
    }
}

#[test]
fn settings_page_names_every_flag() {
    let page = page("settings.md");
    for arg in settings_command().get_arguments() {
        let flag = format!("--{}", arg.get_long().unwrap());
        assert!(page.contains(&flag), "docs/operators/settings.md does not name '{flag}'");
    }
}
