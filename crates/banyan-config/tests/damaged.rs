//! Damaged files: every instance reads what stands in the log, so no text may bring one down.

use std::collections::BTreeMap;
use std::sync::Arc;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use banyan_config::merge_files;
use banyan_core::ids::FileId;

const SEED: u64 = 11;
/// The longest message, with the last line that says that it was cut.
const MESSAGE_LIMIT_BYTES: usize = 8192 + 128;

fn example() -> String {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/quickstart.jsonc");
    std::fs::read_to_string(path).unwrap()
}

fn files(text: &str) -> BTreeMap<FileId, Arc<str>> {
    BTreeMap::from([("f".parse().unwrap(), Arc::from(text))])
}

/// One change of a text, at a place given as a share of its length.
#[derive(Clone, Debug)]
enum TextDamage {
    /// Characters are lost.
    Cut(usize),
    /// Characters stand twice.
    Double(usize),
    /// Other text stands in between.
    Insert(String),
}

fn damage() -> impl Strategy<Value = (f64, TextDamage)> {
    let words =
        prop::sample::select(vec!["{", "}", "[", "]", "\"", ",", "-1", "1e400", "null", "é"]);
    let kind = prop_oneof![
        (1usize..400).prop_map(TextDamage::Cut),
        (1usize..400).prop_map(TextDamage::Double),
        words.prop_map(|word| TextDamage::Insert(word.to_owned())),
        any::<String>().prop_map(TextDamage::Insert),
    ];
    (0.0..1.0, kind)
}

fn damaged(text: &str, (share, damage): &(f64, TextDamage)) -> String {
    let characters: Vec<char> = text.chars().collect();
    let at = (share * characters.len() as f64) as usize;
    let (before, behind) = characters.split_at(at);
    let part = |count: usize| behind.iter().take(count);
    let middle: String = match damage {
        TextDamage::Cut(count) => behind.iter().skip(*count).collect(),
        TextDamage::Double(count) => part(*count).chain(behind).collect(),
        TextDamage::Insert(text) => text.chars().chain(behind.iter().copied()).collect(),
    };
    before.iter().collect::<String>() + &middle
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        cases: 400,
        ..ProptestConfig::default()
    })]

    #[test]
    fn damaged_file_gives_the_same_bounded_verdict_each_time(
        changes in proptest::collection::vec(damage(), 1..5)
    ) {
        let text = changes.iter().fold(example(), |text, change| damaged(&text, change));
        let first = merge_files(&files(&text));
        prop_assert_eq!(&first, &merge_files(&files(&text)));
        if let Err(message) = first {
            prop_assert!(!message.is_empty() && message.len() <= MESSAGE_LIMIT_BYTES);
        }
    }
}

#[test]
fn long_names_and_deep_nesting_are_refused_in_few_words() {
    let name = "x".repeat(2_000_000);
    let long_field = format!("{{ \"{name}\": 1 }}");
    let long_names =
        format!("{{ \"zones\": [{}] }}", format!("{{\"name\":\"{name}\"}},").repeat(3));
    let deep = "[".repeat(100_000);
    for text in [long_field, long_names, format!("{{ \"zones\": {deep}"), deep] {
        let message = merge_files(&files(&text)).unwrap_err();
        assert!(message.len() <= MESSAGE_LIMIT_BYTES, "{} bytes", message.len());
    }
}
