//! What is written into the log is read back as it was, and the rest is told apart.

use banyan_core::ids::LogOffset;
use banyan_core::ids::Revision;
use banyan_core::record::CallOutcome;
use banyan_core::record::ClaimKey;
use banyan_core::record::ContentDigest;
use banyan_core::record::FactBody;
use banyan_core::record::LogFact;
use banyan_core::units::WallMillis;
use banyan_wire::checkpoint::CheckpointError;
use banyan_wire::checkpoint::decode_claims;
use banyan_wire::checkpoint::decode_configuration;
use banyan_wire::log::LogWireError;
use banyan_wire::log::decode_entry;
use banyan_wire::log::encode_facts;

fn key() -> ClaimKey {
    ClaimKey { workspace: "sedlar".parse().unwrap(), key: "order-17".parse().unwrap() }
}

fn close(outcome: CallOutcome) -> FactBody {
    FactBody::Close { key: key(), claim: "claim-1".parse().unwrap(), outcome, memory_ms: 7 }
}

#[test]
fn every_fact_is_read_back_as_it_was_written() {
    let bodies = [
        FactBody::Proposal {
            file: "fleet".parse().unwrap(),
            base: Revision(3),
            author: "ana".into(),
            text: "{ \"zones\": [] } // \u{1f40e}".to_string(),
        },
        FactBody::Quarantine {
            content: ContentDigest(u64::MAX),
            duration_ms: 5,
            evidence: "two targets".into(),
        },
        FactBody::Claim {
            key: key(),
            claimant: "entry-1.a".parse().unwrap(),
            content: ContentDigest(1),
            seen: WallMillis(9),
        },
        close(CallOutcome::Answered { status: 201, body: (0..=255).collect() }),
        close(CallOutcome::Unknown),
        FactBody::Release { key: key(), claim: "claim-1".parse().unwrap() },
        FactBody::Checkpoint {
            next: LogOffset(8),
            as_of: WallMillis(4),
            digest: ContentDigest(2),
            part: 1,
            parts: 2,
            body: vec![0, 1, 254, 255],
        },
    ];
    let facts: Vec<LogFact> = (0..)
        .zip(bodies)
        .map(|(number, body)| LogFact { id: format!("fact-{number}").parse().unwrap(), body })
        .collect();
    let entry = decode_entry(LogOffset(5), WallMillis(6), &encode_facts(&facts)).unwrap();
    assert_eq!((entry.offset, entry.at, entry.facts), (LogOffset(5), WallMillis(6), facts));
}

#[test]
fn a_newer_format_is_told_apart_from_an_unreadable_body() {
    let decode = |body: &[u8]| decode_entry(LogOffset(5), WallMillis(6), body);
    let newer = decode(b"{\"format\": 2, \"facts\": [], \"more\": 1}");
    assert!(matches!(newer, Err(LogWireError::Newer { format: 2, .. })));
    for body in [&b"hello"[..], b"[]", b"{}", b"{\"format\": 1, \"facts\": 3}"] {
        assert!(matches!(decode(body), Err(LogWireError::Unreadable { .. })));
    }
    let unknown = b"{\"format\": 1, \"facts\": [{\"id\": \"a\", \"kind\": \"other\"}]}";
    assert!(matches!(decode(unknown), Err(LogWireError::Unreadable { .. })));
    let nameless =
        b"{\"format\": 1, \"facts\": [{\"id\": \"\", \"kind\": \"release\", \"workspace\": \"a\", \"key\": \"b\", \"claim\": \"c\"}]}";
    assert!(matches!(decode(nameless), Err(LogWireError::BadName(_))));
}

#[test]
fn a_state_of_another_format_or_cut_short_is_refused() {
    assert!(matches!(decode_configuration(&[9]), Err(CheckpointError::OtherFormat(9))));
    assert!(matches!(decode_claims(&[1, 4]), Err(CheckpointError::Unreadable(_))));
    assert!(matches!(decode_claims(&[]), Err(CheckpointError::Unreadable(_))));
}
