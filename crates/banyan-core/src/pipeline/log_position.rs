//! Positions in the platform's log that stay comparable when the store comes back from an older copy
//! of itself: [`LogPosition`].
//!
//! Such a store gives out offsets again that it had given out before. An offset alone therefore does
//! not tell what was read up to it.

use std::fmt;

use crate::ids::LogOffset;
use crate::ids::StoreEra;

/// The position of a record in one stream of the platform's log. Each position of an era comes after
/// all positions of earlier eras.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct LogPosition {
    // The order of these fields is the order of positions.
    /// The era in which the store gave out the offset.
    pub era: StoreEra,
    /// The offset within that era.
    pub offset: LogOffset,
}

impl fmt::Display for LogPosition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.era, self.offset)
    }
}
