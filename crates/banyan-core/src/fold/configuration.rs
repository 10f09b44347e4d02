//! Decides which declaration files are in force: [`ConfigurationFold`].

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

/// Parses and validates the union of all files, or returns a message for the operator.
///
/// The configuration crate provides it. It must be a pure function of the texts, so that every
/// instance reaches the same verdicts.
pub type MergeFiles = fn(&BTreeMap<FileId, Arc<str>>) -> Result<Declaration, String>;

/// The number of verdicts kept for operators' queries.
const MAX_VERDICTS: usize = 1024;

/// A declaration file in force.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FileRow {
    /// The revision at which it came into force.
    pub revision: Revision,
    /// Who proposed it.
    pub author: SmolStr,
    /// The whole text of the file.
    pub text: Arc<str>,
}

/// The verdict of the fold on a proposal.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ProposalVerdict {
    /// The proposal came into force as this revision.
    Accepted(Revision),
    /// The proposal isn't based on the file's revision in force: another operator changed the file
    /// first.
    Conflict {
        /// The file's revision in force; zero if there is no such file.
        current: Revision,
        /// The author of that revision; empty if there is no such file.
        winner: SmolStr,
    },
    /// The file, or its union with the other files, is invalid. Contains the message of
    /// [`MergeFiles`].
    Invalid(String),
}

/// The fold over the configuration stream.
///
/// Invariants: `revision` and `next` never decrease; `declaration` is the merge of `files`.
#[derive(Clone, Debug)]
pub struct ConfigurationFold {
    /// The first offset not folded yet.
    pub next: LogOffset,
    /// The greatest timestamp among the entries folded so far.
    pub time: WallMillis,
    /// The revision in force, that of the newest accepted proposal; zero if there is none.
    pub revision: Revision,
    /// The files in force.
    pub files: BTreeMap<FileId, FileRow>,
    /// The validated union of the files.
    pub declaration: Arc<Declaration>,
    /// Verdicts on the newest proposals by record id, with the offset of each proposal.
    pub verdicts: BTreeMap<RecordId, (LogOffset, ProposalVerdict)>,
    /// Digests of refused request contents, with the platform time at which the refusal ends.
    pub quarantines: BTreeMap<ContentDigest, WallMillis>,
    /// The keys of `verdicts`, oldest first. Invariant: one pair for each row of `verdicts`.
    verdict_order: BTreeSet<(LogOffset, RecordId)>,
    /// The expiry times of `quarantines`.
    quarantine_expiries: ExpiryIndex<ContentDigest>,
    merge: MergeFiles,
}

/// The state of a [`ConfigurationFold`] as stored in checkpoints and sent to peers.
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

/// Why a fold can't be restored from a snapshot.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum RestoreError {
    /// The revision isn't that of the newest file, or it is greater than `next`.
    #[error(
        "the state before {next} contradicts itself: revision {revision}, newest file {newest}; \
         take the state from a peer that runs"
    )]
    Inconsistent {
        /// The first offset whose entry isn't folded into the state.
        next: LogOffset,
        /// The revision that the snapshot states.
        revision: Revision,
        /// The greatest revision of the snapshot's files.
        newest: Revision,
    },
    /// The files were accepted by another version and are invalid for this one.
    #[error("the files in force are not valid here: {0}; run the version that accepted them")]
    InvalidFiles(String),
}

impl ConfigurationFold {
    /// Creates the fold of an empty stream.
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
            quarantine_expiries: ExpiryIndex::default(),
            merge,
        }
    }

    /// Creates a fold from the snapshot of a checkpoint or a peer.
    pub fn restore(
        snapshot: ConfigurationSnapshot,
        merge: MergeFiles,
    ) -> Result<Self, RestoreError> {
        let mut fold = Self::new(merge);
        let texts = file_texts(&snapshot.files);
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
            fold.quarantine_expiries.insert(*until, *content);
        }
        fold.next = snapshot.next;
        fold.time = snapshot.time;
        fold.revision = snapshot.revision;
        fold.files = snapshot.files;
        fold.verdicts = snapshot.verdicts;
        fold.quarantines = snapshot.quarantines;
        Ok(fold)
    }

    /// Copies the state that a checkpoint or a peer needs.
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

    /// Replaces this state by a peer's if that covers more of the log. Returns whether it did.
    pub fn adopt(&mut self, snapshot: ConfigurationSnapshot) -> Result<bool, RestoreError> {
        if snapshot.next <= self.next {
            return Ok(false);
        }
        *self = Self::restore(snapshot, self.merge)?;
        Ok(true)
    }

    /// Folds the entry at offset `next`; any other entry changes nothing.
    pub fn apply(&mut self, entry: &LogEntry) -> FoldStep {
        let step = FoldStep::classify(self.next, entry.offset);
        if step != FoldStep::Folded {
            return step;
        }
        self.next = entry.offset.next();
        self.time = self.time.max(entry.at);
        self.remove_expired();
        for fact in &entry.facts {
            self.apply_fact(entry.offset, &fact.id, &fact.body);
        }
        step
    }

    fn remove_expired(&mut self) {
        while let Some(content) = self.quarantine_expiries.pop_expired(self.time) {
            self.quarantines.remove(&content);
        }
    }

    fn apply_fact(&mut self, offset: LogOffset, id: &RecordId, body: &FactBody) {
        match body {
            FactBody::Proposal { file, base, author, text } => {
                if self.verdicts.contains_key(id) {
                    return;
                }
                let verdict = self.decide_proposal(offset, file, *base, author, text);
                self.verdicts.insert(id.clone(), (offset, verdict));
                self.verdict_order.insert((offset, id.clone()));
                self.discard_old_verdicts();
            }
            FactBody::Quarantine { content, duration_ms, .. } => {
                let until = WallMillis(self.time.0.saturating_add(*duration_ms));
                self.quarantine(*content, until);
            }
            _ => {}
        }
    }

    fn quarantine(&mut self, content: ContentDigest, until: WallMillis) {
        let previous = self.quarantines.get(&content).copied();
        if until <= previous.unwrap_or(self.time) {
            return;
        }
        if let Some(previous) = previous {
            self.quarantine_expiries.remove(previous, &content);
        }
        self.quarantines.insert(content, until);
        self.quarantine_expiries.insert(until, content);
    }

    fn decide_proposal(
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
        let mut texts = file_texts(&self.files);
        texts.insert(file.clone(), text.clone());
        let declaration = match (self.merge)(&texts) {
            Ok(declaration) => declaration,
            Err(message) => return ProposalVerdict::Invalid(message),
        };
        // Revision zero stands for no revision, so the revision is the offset plus one.
        let revision = Revision(offset.0 + 1);
        self.revision = revision;
        self.declaration = Arc::new(declaration);
        let row = FileRow { revision, author: author.clone(), text };
        self.files.insert(file.clone(), row);
        ProposalVerdict::Accepted(revision)
    }

    fn discard_old_verdicts(&mut self) {
        while self.verdicts.len() > MAX_VERDICTS {
            let Some((_, id)) = self.verdict_order.pop_first() else { return };
            self.verdicts.remove(&id);
        }
    }
}

fn file_texts(files: &BTreeMap<FileId, FileRow>) -> BTreeMap<FileId, Arc<str>> {
    files.iter().map(|(name, row)| (name.clone(), row.text.clone())).collect()
}
