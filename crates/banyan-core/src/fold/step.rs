//! What an entry did to a fold: [`FoldStep`].

use crate::ids::LogOffset;

/// What became of an entry that was given to a fold.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FoldStep {
    /// It was the next one and is folded.
    Folded,
    /// It was folded before and changed nothing.
    Repeated,
    /// Entries before it are missing, so it changed nothing: the fold has to be started anew from a
    /// checkpoint or from a peer's snapshot.
    Gap {
        /// The offset that the fold needs next.
        expected: LogOffset,
    },
}

impl FoldStep {
    /// How an entry at `offset` meets a fold that needs `next`.
    pub(crate) fn judge(next: LogOffset, offset: LogOffset) -> Self {
        if offset < next {
            return FoldStep::Repeated;
        }
        if offset > next {
            return FoldStep::Gap { expected: next };
        }
        FoldStep::Folded
    }
}
