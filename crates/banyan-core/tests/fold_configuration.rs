//! What the configuration fold keeps, and which snapshots it rejects.

use std::collections::BTreeMap;
use std::sync::Arc;

use banyan_core::declaration::Declaration;
use banyan_core::fold::ConfigurationFold;
use banyan_core::fold::FoldStep;
use banyan_core::fold::ProposalVerdict;
use banyan_core::fold::RestoreError;
use banyan_core::ids::FileId;
use banyan_core::ids::LogOffset;
use banyan_core::ids::RecordId;
use banyan_core::ids::Revision;
use banyan_core::record::ContentDigest;
use banyan_core::record::FactBody;
use banyan_core::record::LogEntry;
use banyan_core::record::LogFact;
use banyan_core::units::WallMillis;

fn merge(files: &BTreeMap<FileId, Arc<str>>) -> Result<Declaration, String> {
    let invalid = files.values().any(|text| text.contains("invalid"));
    if invalid { Err("write the file anew".to_string()) } else { Ok(Declaration::default()) }
}

fn append(fold: &mut ConfigurationFold, at: u64, id: &str, body: FactBody) {
    let facts = vec![LogFact { id: record(id), body }];
    let entry = LogEntry { offset: fold.next, at: WallMillis(at), facts };
    assert_eq!(fold.apply(&entry), FoldStep::Folded);
}

fn record(id: &str) -> RecordId {
    id.parse().unwrap()
}

fn proposal(file: &str, base: u64, text: &str) -> FactBody {
    FactBody::Proposal {
        file: file.parse().unwrap(),
        base: Revision(base),
        author: "ana".into(),
        text: text.to_string(),
    }
}

fn quarantine(content: u64, duration_ms: u64) -> FactBody {
    let content = ContentDigest(content);
    FactBody::Quarantine { content, duration_ms, evidence: "two targets".into() }
}

#[test]
fn of_concurrent_proposals_one_wins_and_the_other_learns_the_author() {
    let mut fold = ConfigurationFold::new(merge);
    append(&mut fold, 1, "first", proposal("fleet", 0, "one"));
    append(&mut fold, 2, "second", proposal("fleet", 0, "two"));
    append(&mut fold, 3, "first", proposal("fleet", 0, "one"));
    append(&mut fold, 4, "third", proposal("fleet", 1, "invalid"));
    append(&mut fold, 5, "fourth", proposal("fleet", 1, "four"));
    let verdict = |id: &str| fold.verdicts[&record(id)].1.clone();
    assert_eq!(verdict("first"), ProposalVerdict::Accepted(Revision(1)));
    let conflict = ProposalVerdict::Conflict { current: Revision(1), winner: "ana".into() };
    assert_eq!(verdict("second"), conflict);
    assert!(matches!(verdict("third"), ProposalVerdict::Invalid(_)));
    assert_eq!(verdict("fourth"), ProposalVerdict::Accepted(Revision(5)));
    assert_eq!(fold.revision, Revision(5));
}

#[test]
fn quarantines_expire_by_the_time_of_the_log() {
    let mut fold = ConfigurationFold::new(merge);
    append(&mut fold, 100, "a", quarantine(1, 50));
    append(&mut fold, 110, "b", quarantine(2, 500));
    append(&mut fold, 120, "c", quarantine(1, 10));
    assert_eq!(fold.quarantines[&ContentDigest(1)], WallMillis(150));
    append(&mut fold, 140, "d", quarantine(1, 60));
    append(&mut fold, 160, "e", proposal("fleet", 0, "one"));
    assert_eq!(fold.quarantines[&ContentDigest(1)], WallMillis(200));
    let mut restored = ConfigurationFold::restore(fold.snapshot(), merge).unwrap();
    for fold in [&mut fold, &mut restored] {
        append(fold, 200, "f", proposal("fleet", 5, "two"));
        assert_eq!(fold.quarantines.keys().copied().collect::<Vec<_>>(), [ContentDigest(2)]);
    }
    assert_eq!(fold.snapshot(), restored.snapshot());
}

#[test]
fn the_oldest_verdicts_are_discarded_first() {
    let mut fold = ConfigurationFold::new(merge);
    for number in 0..1030 {
        append(&mut fold, number, &format!("p-{number}"), proposal("fleet", 99, "text"));
    }
    assert_eq!(fold.verdicts.len(), 1024);
    assert!(!fold.verdicts.contains_key(&record("p-5")));
    assert!(fold.verdicts.contains_key(&record("p-6")));
}

#[test]
fn an_entry_after_a_gap_changes_nothing() {
    let mut fold = ConfigurationFold::new(merge);
    let facts = vec![LogFact { id: record("first"), body: proposal("fleet", 0, "one") }];
    let entry = LogEntry { offset: LogOffset(3), at: WallMillis(1), facts };
    assert_eq!(fold.apply(&entry), FoldStep::Gap { expected: LogOffset(0) });
    assert_eq!(fold.snapshot(), ConfigurationFold::new(merge).snapshot());
}

#[test]
fn an_inconsistent_snapshot_is_rejected() {
    let mut fold = ConfigurationFold::new(merge);
    append(&mut fold, 1, "first", proposal("fleet", 0, "one"));
    let snapshot = fold.snapshot();
    let mut ahead = snapshot.clone();
    ahead.revision = Revision(9);
    let mut early = snapshot.clone();
    early.next = LogOffset(0);
    let mut invalid = snapshot.clone();
    invalid.files.values_mut().for_each(|row| row.text = Arc::from("invalid"));
    let restore_error = |snapshot| ConfigurationFold::restore(snapshot, merge).unwrap_err();
    assert!(matches!(restore_error(ahead), RestoreError::Inconsistent { .. }));
    assert!(matches!(restore_error(early), RestoreError::Inconsistent { .. }));
    assert!(matches!(restore_error(invalid), RestoreError::InvalidFiles(_)));
    let mut other = ConfigurationFold::new(merge);
    assert_eq!(other.adopt(snapshot.clone()), Ok(true));
    assert_eq!(other.adopt(snapshot), Ok(false));
}
