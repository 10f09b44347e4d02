//! Which declarations are in force: [`ConfigurationFold`].

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use smol_str::SmolStr;
use thiserror::Error;

use crate::declaration::Declaration;
use crate::fold::expiry::ExpiryIndex;
use crate::fold::step::FoldStep;
use crate::ids::FileId;
use crate::ids::LogOffset;
use crate::ids::RecordId;
use crate::ids::Revision;
use crate::record::ContentDigest;
use crate::record::FactBody;
use crate::record::LogEntry;
use crate::units::WallMillis;

/// Parses and validates the union of all files, or says in one text what is wrong with it.
///
/// Given by the configuration crate; it must be a pure function of the texts.
pub type MergeFiles = fn(&BTreeMap<FileId, Arc<str>>) -> Result<Declaration, String>;

/// The most verdicts that are remembered for operators who ask.
const VERDICT_LIMIT: usize = 1024;

/// A declaration file in force.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FileRow {
    /// The offset of the proposal that put it in force.
    pub revision: Revision,
    /// Who proposed it.
    pub author: SmolStr,
    /// The whole text.
    pub text: Arc<str>,
}

/// What became of a proposal.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ProposalVerdict {
    /// It is in force from this revision on.
    Accepted(Revision),
    /// It was based on an older revision of the file: another operator was first.
    Conflict {
        /// The revision in force.
        current: Revision,
        /// Who proposed that one.
        winner: SmolStr,
    },
    /// The file, or its union with the others, is not valid.
    Invalid(String),
}

/// The fold over the configuration stream.
///
/// Invariants: `revision` and `next` only grow; `declaration` is the merge of `files`.
#[derive(Clone, Debug)]
pub struct ConfigurationFold {
    /// The first offset not folded yet.
    pub next: LogOffset,
    /// The greatest time stamped on an entry so far.
    pub time: WallMillis,
    /// The revision in force: the newest accepted proposal.
    pub revision: Revision,
    /// The files in force.
    pub files: BTreeMap<FileId, FileRow>,
    /// The validated union of the files.
    pub declaration: Arc<Declaration>,
    /// Verdicts on the newest proposals by record id, with their offset.
    pub verdicts: BTreeMap<RecordId, (LogOffset, ProposalVerdict)>,
    /// Contents that are refused, each until a time of the platform's clock.
    pub quarantines: BTreeMap<ContentDigest, WallMillis>,
    /// The remembered verdicts, oldest first. Invariant: one pair for each of `verdicts`.
    verdict_order: BTreeSet<(LogOffset, RecordId)>,
    /// The ends of `quarantines`.
    quarantine_ends: ExpiryIndex<ContentDigest>,
    merge: MergeFiles,
}

/// All that a [`ConfigurationFold`] has to remember, for checkpoints and for peers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ConfigurationSnapshot {
    /// See [`ConfigurationFold::next`].
    pub next: LogOffset,
    /// See [`ConfigurationFold::time`].
    pub time: WallMillis,
    /// See [`ConfigurationFold::revision`].
    pub revision: Revision,
    /// See [`ConfigurationFold::files`].
    pub files: BTreeMap<FileId, FileRow>,
    /// See [`ConfigurationFold::verdicts`].
    pub verdicts: BTreeMap<RecordId, (LogOffset, ProposalVerdict)>,
    /// See [`ConfigurationFold::quarantines`].
    pub quarantines: BTreeMap<ContentDigest, WallMillis>,
}

/// Why a snapshot cannot be the state of a fold.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum RestoreError {
    /// Its revision is not that of its newest file, or lies at or behind its own end.
    #[error(
        "the state before {next} contradicts itself: revision {revision}, newest file {newest}; \
         take the state from a peer that runs"
    )]
    Inconsistent {
        /// The first offset that the state does not hold.
        next: LogOffset,
        /// The revision that it names.
        revision: Revision,
        /// The greatest revision of its files.
        newest: Revision,
    },
    /// Its files were accepted once and are not valid for this program.
    #[error("the files in force are not valid here: {0}; run the version that accepted them")]
    InvalidFiles(String),
}

impl ConfigurationFold {
    /// The fold of an empty stream.
    pub fn new(merge: MergeFiles) -> Self {
        Self {
            next: LogOffset(0),
            time: WallMillis(0),
            revision: Revision(0),
            files: BTreeMap::new(),
            declaration: Arc::new(Declaration::default()),
            verdicts: BTreeMap::new(),
            quarantines: BTreeMap::new(),
            verdict_order: BTreeSet::new(),
            quarantine_ends: ExpiryIndex::default(),
            merge,
        }
    }

    /// The fold that goes on from a snapshot of a checkpoint or of a peer.
    pub fn restore(
        snapshot: ConfigurationSnapshot,
        merge: MergeFiles,
    ) -> Result<Self, RestoreError> {
        let mut fold = Self::new(merge);
        let texts = texts_of(&snapshot.files);
        let newest = snapshot.files.values().map(|row| row.revision).max().unwrap_or_default();
        if newest != snapshot.revision || newest.0 > snapshot.next.0 {
            let ConfigurationSnapshot { next, revision, .. } = snapshot;
            return Err(RestoreError::Inconsistent { next, revision, newest });
        }
        if !texts.is_empty() {
            let declaration = merge(&texts).map_err(RestoreError::InvalidFiles)?;
            fold.declaration = Arc::new(declaration);
        }
        for (id, (offset, _)) in &snapshot.verdicts {
            fold.verdict_order.insert((*offset, id.clone()));
        }
        for (content, until) in &snapshot.quarantines {
            fold.quarantine_ends.insert(*until, *content);
        }
        fold.next = snapshot.next;
        fold.time = snapshot.time;
        fold.revision = snapshot.revision;
        fold.files = snapshot.files;
        fold.verdicts = snapshot.verdicts;
        fold.quarantines = snapshot.quarantines;
        Ok(fold)
    }

    /// All that this fold has to remember.
    pub fn snapshot(&self) -> ConfigurationSnapshot {
        ConfigurationSnapshot {
            next: self.next,
            time: self.time,
            revision: self.revision,
            files: self.files.clone(),
            verdicts: self.verdicts.clone(),
            quarantines: self.quarantines.clone(),
        }
    }

    /// Takes over a peer's state where it holds more of the log than this one; says whether it did.
    pub fn adopt(&mut self, snapshot: ConfigurationSnapshot) -> Result<bool, RestoreError> {
        if snapshot.next <= self.next {
            return Ok(false);
        }
        *self = Self::restore(snapshot, self.merge)?;
        Ok(true)
    }

    /// Folds one entry if it is the next one; otherwise changes nothing.
    pub fn apply(&mut self, entry: &LogEntry) -> FoldStep {
        let step = FoldStep::judge(self.next, entry.offset);
        if step != FoldStep::Folded {
            return step;
        }
        self.next = entry.offset.next();
        self.time = self.time.max(entry.at);
        self.forget_expired();
        for fact in &entry.facts {
            self.apply_fact(entry.offset, &fact.id, &fact.body);
        }
        step
    }

    fn forget_expired(&mut self) {
        while let Some(content) = self.quarantine_ends.pop_ended(self.time) {
            self.quarantines.remove(&content);
        }
    }

    fn apply_fact(&mut self, offset: LogOffset, id: &RecordId, body: &FactBody) {
        match body {
            FactBody::Proposal { file, base, author, text } => {
                if self.verdicts.contains_key(id) {
                    return;
                }
                let verdict = self.judge(offset, file, *base, author, text);
                self.verdicts.insert(id.clone(), (offset, verdict));
                self.verdict_order.insert((offset, id.clone()));
                self.trim_verdicts();
            }
            FactBody::Quarantine { content, duration_ms, .. } => {
                let until = WallMillis(self.time.0.saturating_add(*duration_ms));
                self.quarantine(*content, until);
            }
            _ => {}
        }
    }

    fn quarantine(&mut self, content: ContentDigest, until: WallMillis) {
        let known = self.quarantines.get(&content).copied();
        if until <= known.unwrap_or(self.time) {
            return;
        }
        if let Some(known) = known {
            self.quarantine_ends.remove(known, &content);
        }
        self.quarantines.insert(content, until);
        self.quarantine_ends.insert(until, content);
    }

    fn judge(
        &mut self,
        offset: LogOffset,
        file: &FileId,
        base: Revision,
        author: &SmolStr,
        text: &str,
    ) -> ProposalVerdict {
        let current = self.files.get(file);
        let current_revision = current.map_or(Revision(0), |row| row.revision);
        if current_revision != base {
            let winner = current.map(|row| row.author.clone()).unwrap_or_default();
            return ProposalVerdict::Conflict { current: current_revision, winner };
        }
        let text: Arc<str> = Arc::from(text);
        let mut texts = texts_of(&self.files);
        texts.insert(file.clone(), text.clone());
        let declaration = match (self.merge)(&texts) {
            Ok(declaration) => declaration,
            Err(message) => return ProposalVerdict::Invalid(message),
        };
        // Offset zero would look like "no revision", so revisions count from one.
        let revision = Revision(offset.0 + 1);
        self.revision = revision;
        self.declaration = Arc::new(declaration);
        let row = FileRow { revision, author: author.clone(), text };
        self.files.insert(file.clone(), row);
        ProposalVerdict::Accepted(revision)
    }

    fn trim_verdicts(&mut self) {
        while self.verdicts.len() > VERDICT_LIMIT {
            let Some((_, id)) = self.verdict_order.pop_first() else { return };
            self.verdicts.remove(&id);
        }
    }
}

fn texts_of(files: &BTreeMap<FileId, FileRow>) -> BTreeMap<FileId, Arc<str>> {
    files.iter().map(|(name, row)| (name.clone(), row.text.clone())).collect()
}
