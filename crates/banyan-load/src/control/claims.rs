//! What a claim costs a daemon that folds it: [`ClaimCost`].

use std::time::Duration;

use smol_str::format_smolstr;

use crate::control::fleet::workspace_name;
use crate::control::meter::resident_bytes;
use crate::control::meter::thread_time;
use banyan_core::fold::ClaimFold;
use banyan_core::ids::IncarnationId;
use banyan_core::ids::LogOffset;
use banyan_core::record::CallOutcome;
use banyan_core::record::ClaimKey;
use banyan_core::record::ContentDigest;
use banyan_core::record::FactBody;
use banyan_core::record::LogEntry;
use banyan_core::record::LogFact;
use banyan_core::units::WallMillis;

/// The claims that are folded.
const CLAIMS: u64 = 100_000;
/// The claims between two looks at the clock, which is too coarse for a single one.
const CHUNK: u64 = 1_000;
/// The time of the first claim, in milliseconds of the Unix epoch.
const FIRST_MILLIS: u64 = 1_767_225_600_000;
/// How long an outcome is remembered, in milliseconds.
const MEMORY_MILLIS: u64 = 3_600_000;

/// The cost of one call that may run at most once, from claim to remembered outcome.
#[derive(Clone, Copy, Debug)]
pub struct ClaimCost {
    /// Processor time of folding claim and outcome, in microseconds.
    pub micros: f64,
    /// Memory while the outcome is remembered, in bytes.
    pub bytes: f64,
}

impl ClaimCost {
    /// Folds many claims and their outcomes.
    pub fn measure() -> eyre::Result<Self> {
        let mut fold = ClaimFold::default();
        let before = resident_bytes()?;
        let mut spent = Duration::ZERO;
        for first in (0..CLAIMS).step_by(CHUNK as usize) {
            let chunk = first..first + CHUNK;
            let entries: Vec<LogEntry> = chunk.map(entry).collect::<Result<_, _>>()?;
            let start = thread_time()?;
            for entry in &entries {
                fold.apply(entry);
            }
            spent += thread_time()? - start;
        }
        eyre::ensure!(
            fold.rows.len() as u64 == CLAIMS,
            "claims were void: check the synthetic log"
        );
        let bytes = (resident_bytes()? - before) / CLAIMS as f64;
        Ok(Self { micros: spent.as_secs_f64() * 1e6 / CLAIMS as f64, bytes })
    }
}

fn entry(number: u64) -> eyre::Result<LogEntry> {
    let claimant: IncarnationId = "entry-001@0123456789ab".parse()?;
    let key = ClaimKey {
        workspace: workspace_name((number % 8000) as u32),
        key: format_smolstr!("order-{number:032}").parse()?,
    };
    let claim = format_smolstr!("entry-001@0123456789ab/{number}").parse()?;
    let seen = WallMillis(FIRST_MILLIS);
    let content = ContentDigest(number);
    let opened = FactBody::Claim { key: key.clone(), claimant, content, seen };
    let outcome = CallOutcome::Answered { status: 200, body: vec![b'x'; 64] };
    let memory_ms = MEMORY_MILLIS;
    let id = format_smolstr!("entry-001@0123456789ab/c{number}").parse()?;
    let closed = FactBody::Close { key, claim, outcome, memory_ms };
    let claim = format_smolstr!("entry-001@0123456789ab/{number}").parse()?;
    let facts = vec![LogFact { id: claim, body: opened }, LogFact { id, body: closed }];
    Ok(LogEntry { offset: LogOffset(number), at: WallMillis(FIRST_MILLIS + number / 100), facts })
}
