//! What the engines really ran: [`RunLedger`], read from their truth files.

use std::collections::BTreeMap;
use std::fs;

use eyre::WrapErr;
use smol_str::SmolStr;

use crate::bench::LoadBench;
use banyan_standin::truth::RunKind;
use banyan_standin::truth::RunRow;

/// All runs, by engine.
#[derive(Debug, Default)]
pub struct RunLedger {
    /// The runs of each engine, in order.
    pub by_engine: BTreeMap<SmolStr, Vec<RunRow>>,
}

impl RunLedger {
    /// Reads the truth files of a bench.
    pub fn read(bench: &LoadBench) -> eyre::Result<Self> {
        let mut by_engine = BTreeMap::new();
        for engine in &bench.engines {
            let path = bench.truth_file(&engine.plan.name);
            let text = fs::read_to_string(&path)
                .wrap_err_with(|| format!("{} cannot be read", path.display()))?;
            // A process that was killed may leave its last line unfinished.
            let rows = text.lines().filter_map(|line| serde_json::from_str(line).ok());
            by_engine.insert(engine.plan.name.clone(), rows.collect());
        }
        Ok(Self { by_engine })
    }

    fn rows(&self) -> impl Iterator<Item = &RunRow> {
        self.by_engine.values().flatten()
    }

    /// Tokens whose layers ran more than once as a step, by range of layers.
    pub fn steps_run_again(&self) -> u64 {
        let mut counts: BTreeMap<_, u64> = BTreeMap::new();
        for row in self.rows().filter(|row| row.kind == RunKind::Step) {
            *counts.entry((&row.step, row.first_layer)).or_default() += 1;
        }
        counts.values().map(|count| count - 1).sum()
    }

    /// Tokens that ran again to rebuild a cache.
    pub fn rebuilt_tokens(&self) -> u64 {
        self.rows().filter(|row| row.kind == RunKind::Rebuild).count() as u64
    }

    /// Steps that ran.
    pub fn steps(&self) -> u64 {
        self.rows().filter(|row| row.kind == RunKind::Step).count() as u64
    }

    /// Prompt tokens that were read, and those that a prefix cache saved.
    pub fn prompt_tokens(&self) -> (u64, u64) {
        let sum = |count: fn(&RunRow) -> u32| self.rows().map(count).map(u64::from).sum();
        (sum(|row| row.read), sum(|row| if row.step.token == 0 { row.cached } else { 0 }))
    }
}
