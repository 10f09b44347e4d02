//! Orders the reports that a target wrote about itself: [`ReportStamp`].
//!
//! The platform may carry out a write without an answer seconds later, after newer ones. The order
//! in which records arrive is therefore not always the order in which a target wrote them.

/// When a target wrote a report, by its own count.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ReportStamp {
    /// The target's start time in wall-clock milliseconds, which distinguishes two runs under the
    /// same id.
    pub born: Option<u64>,
    /// The number of the report. Increases with each report of a run.
    pub sequence: Option<u64>,
}

impl ReportStamp {
    /// How this report relates to the newest known one of the same target.
    pub fn compare(self, known: Self) -> ReportOrder {
        match (self.born, known.born) {
            (Some(own), Some(known)) if own < known => ReportOrder::EarlierRun,
            _ if known.follows(self) => ReportOrder::Outdated,
            _ => ReportOrder::Newer,
        }
    }

    /// Whether this report shows that a target is back that was removed after `last`.
    pub fn is_return_after(self, last: Self) -> bool {
        self.compare(last) == ReportOrder::Newer && !self.is_same_report(last)
    }

    /// Whether both are known to be the same report.
    pub fn is_same_report(self, other: Self) -> bool {
        self.born.is_some() && self.sequence.is_some() && self == other
    }

    /// Whether this is a later report of the same run.
    pub fn follows(self, earlier: Self) -> bool {
        let is_later = match (self.sequence, earlier.sequence) {
            (Some(own), Some(earlier)) => own > earlier,
            _ => false,
        };
        self.born.is_some() && self.born == earlier.born && is_later
    }
}

/// How a report relates to the newest known one of the same target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReportOrder {
    /// It is newer, or nothing shows that it is not.
    Newer,
    /// An earlier report of the same run, which was written late.
    Outdated,
    /// A report of a run that started before, by the target's clock.
    EarlierRun,
}
