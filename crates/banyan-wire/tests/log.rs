//! Round trips of log entries, and the errors for malformed entries and checkpoints.

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

fn claim_key() -> ClaimKey {
    ClaimKey { workspace: "sedlar".parse().unwrap(), key: "order-17".parse().unwrap() }
}

fn close_fact(outcome: CallOutcome) -> FactBody {
    FactBody::Close { key: claim_key(), claim: "claim-1".parse().unwrap(), outcome, memory_ms: 7 }
}

#[test]
fn every_fact_survives_a_round_trip() {
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
            key: claim_key(),
            claimant: "entry-1.a".parse().unwrap(),
            content: ContentDigest(1),
            seen: WallMillis(9),
        },
        close_fact(CallOutcome::Answered { status: 201, body: (0..=255).collect() }),
        close_fact(CallOutcome::Unknown),
        FactBody::Release { key: claim_key(), claim: "claim-1".parse().unwrap() },
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
fn newer_format_is_distinguished_from_malformed_body() {
    let decode = |body: &[u8]| decode_entry(LogOffset(5), WallMillis(6), body);
    let newer = decode(b"{\"format\": 2, \"facts\": [], \"more\": 1}");
    assert!(matches!(newer, Err(LogWireError::Newer { format: 2, .. })));
    for body in [&b"hello"[..], b"[]", b"{}", b"{\"format\": 1, \"facts\": 3}"] {
        assert!(matches!(decode(body), Err(LogWireError::Unreadable { .. })));
    }
    let unknown_kind = b"{\"format\": 1, \"facts\": [{\"id\": \"a\", \"kind\": \"other\"}]}";
    assert!(matches!(decode(unknown_kind), Err(LogWireError::Unreadable { .. })));
    let empty_id =
        b"{\"format\": 1, \"facts\": [{\"id\": \"\", \"kind\": \"release\", \"workspace\": \"a\", \"key\": \"b\", \"claim\": \"c\"}]}";
    assert!(matches!(decode(empty_id), Err(LogWireError::MalformedId(_))));
}

#[test]
fn checkpoint_with_other_format_or_truncated_is_rejected() {
    assert!(matches!(decode_configuration(&[9]), Err(CheckpointError::OtherFormat(9))));
    assert!(matches!(decode_claims(&[1, 4]), Err(CheckpointError::Unreadable(_))));
    assert!(matches!(decode_claims(&[]), Err(CheckpointError::Unreadable(_))));
}
