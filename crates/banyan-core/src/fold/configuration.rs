//! Which declarations are in force: [`ConfigurationFold`].

use std::collections::BTreeMap;
use std::sync::Arc;

use smol_str::SmolStr;

use crate::declaration::Declaration;
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
    merge: MergeFiles,
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
            merge,
        }
    }

    /// Folds one entry; entries below `next` were folded before and change nothing.
    pub fn apply(&mut self, entry: &LogEntry) {
        if entry.offset < self.next {
            return;
        }
        self.next = entry.offset.next();
        self.time = self.time.max(entry.at);
        for fact in &entry.facts {
            self.apply_fact(entry.offset, &fact.id, &fact.body);
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
                self.trim_verdicts();
            }
            FactBody::Quarantine { content, duration_ms, .. } => {
                let until = WallMillis(self.time.0 + duration_ms);
                let row = self.quarantines.entry(*content).or_default();
                *row = until.max(*row);
                let time = self.time;
                self.quarantines.retain(|_, until| *until > time);
            }
            _ => {}
        }
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
        let mut texts: BTreeMap<FileId, Arc<str>> =
            self.files.iter().map(|(name, row)| (name.clone(), row.text.clone())).collect();
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
            let oldest = self.verdicts.iter().min_by_key(|(_, (offset, _))| *offset);
            let Some(id) = oldest.map(|(id, _)| id.clone()) else { return };
            self.verdicts.remove(&id);
        }
    }
}
