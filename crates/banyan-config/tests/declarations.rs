//! Each kind of wrong declaration is refused at its place, with what is allowed and the remedy.

use std::collections::BTreeMap;
use std::sync::Arc;

use banyan_config::error::DeclarationError;
use banyan_config::error::DeclarationErrorKind as Kind;
use banyan_config::merge_files;
use banyan_config::validate_files;
use banyan_core::declaration::TargetRole;
use banyan_core::ids::FileId;

/// A valid file; tests replace parts of it.
const VALID: &str = r#"{
  // One zone, one model on two engines, one service.
  "zones": [{ "name": "gebze", "region": "marmara" }],
  "workspaces": [
    { "name": "night-shift", "token_digests": [
      "0000000000000000000000000000000000000000000000000000000000000001"
    ], "share": 2 },
  ],
  "models": [{ "name": "fill", "layers": 24 }],
  "targets": [
    { "name": "e1", "address": "10.0.0.1:80", "zone": "gebze", "engine": {
      "model": "fill", "layers": "0-11", "batch": 8, "accelerator": "a", "step_ms": 5,
      "link_bytes_per_second": 1000000 } },
    { "name": "e2", "address": "10.0.0.2:80", "zone": "gebze", "engine": {
      "model": "fill", "layers": "12-23", "batch": 8, "accelerator": "a", "step_ms": 5,
      "link_bytes_per_second": 1000000 } },
    { "name": "s1", "address": "10.0.0.3:80", "zone": "gebze", "service": "line",
      "calls": ["start", "read"] },
  ],
  "services": [{ "name": "line", "calls": [
    { "name": "start", "repeatable": false },
    { "name": "read", "repeatable": true, "timeout_ms": 900 }] }],
  "policy": { "queue_limit": 50 },
}"#;

fn files(texts: &[(&str, &str)]) -> BTreeMap<FileId, Arc<str>> {
    texts.iter().map(|(name, text)| (name.parse().unwrap(), Arc::from(*text))).collect()
}

/// The valid file with one part replaced.
fn changed(from: &str, to: &str) -> String {
    assert!(VALID.contains(from), "'{from}' is not in the valid file");
    VALID.replacen(from, to, 1)
}

fn errors_of(text: &str) -> Vec<DeclarationError> {
    validate_files(&files(&[("f", text)])).expect_err("the file should be refused")
}

/// The only error of a text, after its place (`line:column`) and field are checked.
fn only_error(text: &str, place: &str, field: &str) -> Kind {
    let errors = errors_of(text);
    assert_eq!(errors.len(), 1, "{errors:#?}");
    let error = &errors[0];
    assert_eq!(error.position.to_string(), format!("f:{place}"), "{error}");
    assert_eq!(error.field, field, "{error}");
    error.kind.clone()
}

#[test]
fn valid_file_is_merged() {
    let declaration = merge_files(&files(&[("f", VALID)])).unwrap();
    assert_eq!(declaration.targets.len(), 3);
    assert_eq!(declaration.policy.queue_limit, 50);
    let engine = &declaration.targets[&"e2".parse().unwrap()];
    let TargetRole::Engine { layers, .. } = &engine.role else { panic!("{engine:?}") };
    assert_eq!((layers.first, layers.end), (12, 24));
}

#[test]
fn syntax_error_names_its_place() {
    let kind = only_error("{\n  \"zones\": [}\n", "2:13", "file");
    assert!(matches!(kind, Kind::Syntax { .. }), "{kind}");
    let kind = only_error("[]", "1:1", "file");
    assert!(matches!(kind, Kind::WrongType { .. }), "{kind}");
    let kind = only_error(&changed("\"layers\": 24", "layers: 24"), "9:32", "file");
    assert!(matches!(kind, Kind::Syntax { .. }), "{kind}");
}

#[test]
fn unknown_field_is_refused() {
    let text = changed("\"share\": 2", "\"shares\": 2");
    let kind = only_error(&text, "7:8", "workspaces[0].shares");
    let Kind::UnknownField { allowed } = kind else { panic!("{kind}") };
    assert!(allowed.contains("share"), "{allowed}");
    let kind = only_error(&changed("\"policy\"", "\"polices\""), "23:3", "polices");
    assert!(matches!(kind, Kind::UnknownField { .. }));
}

#[test]
fn repeated_field_is_refused() {
    let text = changed("\"share\": 2", "\"share\": 2, \"share\": 3");
    assert_eq!(only_error(&text, "7:20", "workspaces[0].share"), Kind::RepeatedField);
}

#[test]
fn missing_field_is_refused() {
    let text = changed(", \"region\": \"marmara\"", "");
    let kind = only_error(&text, "3:13", "zones[0]");
    assert!(matches!(kind, Kind::MissingField { name, .. } if name == "region"));
}

#[test]
fn wrong_type_is_refused() {
    let text = changed("\"share\": 2", "\"share\": \"2\"");
    let kind = only_error(&text, "7:17", "workspaces[0].share");
    assert!(matches!(kind, Kind::WrongType { found: "a text", .. }));
}

#[test]
fn numbers_out_of_range_are_refused() {
    let cases = [
        ("\"share\": 2", "\"share\": 0", "workspaces[0].share"),
        ("\"batch\": 8", "\"batch\": 0", "targets[0].engine.batch"),
        ("\"step_ms\": 5", "\"step_ms\": 0", "targets[0].engine.step_ms"),
        ("\"layers\": 24", "\"layers\": -24", "models[0].layers"),
        ("\"queue_limit\": 50", "\"queue_limit\": 0.5", "policy.queue_limit"),
        ("\"queue_limit\": 50", "\"retry_percent\": 101", "policy.retry_percent"),
        ("\"timeout_ms\": 900", "\"timeout_ms\": 99999999999", "services[0].calls[1].timeout_ms"),
        ("\"share\": 2", "\"priority\": 10", "workspaces[0].priority"),
    ];
    for (from, to, field) in cases {
        let errors = errors_of(&changed(from, to));
        assert_eq!(errors.len(), 1, "{errors:#?}");
        assert_eq!(errors[0].field, field);
        assert!(matches!(errors[0].kind, Kind::OutOfRange { .. }), "{}", errors[0]);
    }
}

#[test]
fn malformed_names_and_ranges_are_refused() {
    let kind = only_error(&changed("\"e1\"", "\"e 1\""), "11:15", "targets[0].name");
    assert!(matches!(kind, Kind::BadName(_)));
    let kind = only_error(&changed("\"0-11\"", "\"11-0\""), "12:34", "targets[0].engine.layers");
    assert!(matches!(kind, Kind::BadName(_)));
}

#[test]
fn bad_addresses_are_refused() {
    for address in ["engine-1:80", "10.0.0.1", "10.0.0.1:0", "0.0.0.0:80"] {
        let kind = only_error(&changed("10.0.0.1:80", address), "11:32", "targets[0].address");
        assert!(matches!(kind, Kind::BadAddress { .. }), "{kind}");
    }
}

#[test]
fn address_used_twice_is_refused() {
    let text = changed("10.0.0.2:80", "10.0.0.1:80");
    let kind = only_error(&text, "14:32", "targets[1].address");
    let Kind::AddressInUse { first, .. } = kind else { panic!("{kind}") };
    assert_eq!(first.to_string(), "f:11:32");
}

#[test]
fn malformed_digest_is_refused() {
    for digest in ["", "quickstart-visits", &"A".repeat(64), &"é".repeat(32)] {
        let text = changed(&format!("{:064}", 1), digest);
        let kind = only_error(&text, "6:7", "workspaces[0].token_digests[0]");
        assert!(matches!(kind, Kind::BadDigest { .. }), "{kind}");
    }
}

#[test]
fn digest_used_twice_is_refused() {
    let digest = format!("\"{:064}\"", 1);
    let text = changed(&digest, &format!("{digest}, {digest}"));
    let kind = only_error(&text, "6:75", "workspaces[0].token_digests[1]");
    assert!(matches!(kind, Kind::DigestInUse { .. }));
}

#[test]
fn duplicate_id_is_refused_also_across_files() {
    let kind = only_error(&changed("\"e2\"", "\"e1\""), "14:15", "targets[1].name");
    assert!(matches!(kind, Kind::DuplicateId { kind: "target", .. }), "{kind}");
    let text = changed("\"name\": \"read\"", "\"name\": \"start\"")
        .replace("\"start\", \"read\"", "\"start\"");
    let kind = only_error(&text, "22:15", "services[0].calls[1].name");
    assert!(matches!(kind, Kind::DuplicateId { kind: "call", .. }), "{kind}");
    let other = r#"{ "zones": [{ "name": "gebze", "region": "x" }] }"#;
    let errors = validate_files(&files(&[("f", VALID), ("g", other)])).unwrap_err();
    assert_eq!(errors.len(), 1, "{errors:#?}");
    assert_eq!(errors[0].position.to_string(), "g:1:23");
    let Kind::DuplicateId { first, .. } = &errors[0].kind else { panic!("{}", errors[0]) };
    assert_eq!(first.to_string(), "f:3:23");
}

#[test]
fn second_policy_is_refused() {
    let other = r#"{ "policy": { "queue_limit": 60 } }"#;
    let errors = validate_files(&files(&[("f", VALID), ("g", other)])).unwrap_err();
    assert_eq!(errors.len(), 1, "{errors:#?}");
    assert_eq!(errors[0].position.to_string(), "g:1:13");
    assert!(matches!(errors[0].kind, Kind::PolicyTwice { .. }));
}

#[test]
fn target_in_no_zone_is_refused() {
    let text = changed("\"10.0.0.2:80\", \"zone\": \"gebze\"", "\"10.0.0.2:80\", \"zone\": \"x\"");
    let kind = only_error(&text, "14:55", "targets[1].zone");
    assert!(matches!(kind, Kind::UnknownZone { known, .. } if known == "gebze"));
}

#[test]
fn unknown_model_service_and_call_are_refused() {
    let text = changed("\"service\": \"line\"", "\"service\": \"lime\"");
    let kind = only_error(&text, "17:75", "targets[2].service");
    assert!(matches!(kind, Kind::UnknownService { .. }));
    let text = changed("[\"start\", \"read\"]", "[\"start\", \"read\", \"stop\"]");
    let kind = only_error(&text, "18:34", "targets[2].calls[2]");
    assert!(matches!(kind, Kind::UnknownCall { .. }));
    let kind = only_error(&changed("\"start\", \"read\"", "\"start\""), "17:5", "targets[2].calls");
    assert!(matches!(kind, Kind::MissingCall { name, .. } if name == "read"));
    let text = changed(
        "\"model\": \"fill\", \"layers\": \"0-11\"",
        "\"model\": \"x\", \"layers\": \"0-3\"",
    );
    let errors = errors_of(&text);
    assert!(matches!(errors[0].kind, Kind::UnknownModel { .. }), "{}", errors[0]);
}

#[test]
fn target_has_one_role() {
    let text = changed(
        "\"service\": \"line\",\n      \"calls\": [\"start\", \"read\"]",
        "\"checks_fence\": true",
    );
    assert_eq!(only_error(&text, "17:5", "targets[2]"), Kind::BadRole);
}

#[test]
fn layer_gap_is_refused() {
    let text = changed("\"12-23\"", "\"14-23\"");
    let kind = only_error(&text, "12:34", "targets[0].engine.layers");
    let Kind::LayerGap { gap, .. } = kind else { panic!("{kind}") };
    assert_eq!(gap.to_string(), "12-13");
}

#[test]
fn layer_overlap_is_refused() {
    let errors = errors_of(&changed("\"12-23\"", "\"10-23\""));
    assert_eq!(errors.len(), 2, "{errors:#?}");
    for error in &errors {
        let Kind::LayerOverlap { overlap, .. } = &error.kind else { panic!("{error}") };
        assert_eq!(overlap.to_string(), "10-11");
    }
}

#[test]
fn layers_past_the_end_are_refused() {
    let kind = only_error(&changed("\"12-23\"", "\"12-24\""), "15:34", "targets[1].engine.layers");
    assert!(matches!(kind, Kind::LayersPastEnd { last: 23, .. }));
}

#[test]
fn model_without_targets_is_refused() {
    let text =
        changed("\"layers\": 24 }", "\"layers\": 24 }, { \"name\": \"big\", \"layers\": 9 }");
    let kind = only_error(&text, "9:58", "models[1].name");
    assert!(matches!(kind, Kind::ModelWithoutTargets { .. }));
}

#[test]
fn all_errors_are_reported_together_and_in_order() {
    let text = changed("\"share\": 2", "\"share\": 0, \"colour\": 1")
        .replace("\"12-23\"", "\"14-23\"")
        .replace("\"e2\"", "\"e1\"");
    let errors = errors_of(&text);
    let lines: Vec<usize> = errors.iter().map(|error| error.position.line).collect();
    assert_eq!(lines, [7, 7, 12, 14], "{errors:#?}");
    let message = merge_files(&files(&[("f", &text)])).unwrap_err();
    assert_eq!(message.lines().count(), 4, "{message}");
}

#[test]
fn number_of_reported_errors_is_bounded() {
    let zones = "{ \"nam\": 1 },".repeat(500);
    let errors = errors_of(&format!("{{ \"zones\": [{zones}] }}"));
    assert_eq!(errors.len(), 101);
    assert!(matches!(errors[100].kind, Kind::More { count: 1400 }), "{}", errors[100]);
}

#[test]
fn error_with_a_bad_field_has_no_consequences() {
    let errors = errors_of(&changed("\"0-11\"", "\"zero\""));
    assert_eq!(errors.len(), 1, "{errors:#?}");
}
