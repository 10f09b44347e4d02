//! The result of giving an entry to a fold: [`FoldStep`].

use crate::ids::LogOffset;

/// Whether a fold applied an entry that it was given.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FoldStep {
    /// The entry was the next one and was applied.
    Folded,
    /// The entry was applied before, so it changed nothing.
    Repeated,
    /// Earlier entries are missing, so the entry changed nothing. The fold must be restarted from a
    /// checkpoint or from a peer's snapshot.
    Gap {
        /// The offset that the fold needs next.
        expected: LogOffset,
    },
}

impl FoldStep {
    /// Compares the offset of an entry with the offset that the fold needs next.
    pub(crate) fn classify(next: LogOffset, offset: LogOffset) -> Self {
        if offset < next {
            return FoldStep::Repeated;
        }
        if offset > next {
            return FoldStep::Gap { expected: next };
        }
        FoldStep::Folded
    }
}
