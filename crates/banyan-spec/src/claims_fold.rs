//! The fold of the claims specification, over one key: [`KeyState`].
//!
//! Written from the statement of the rules and apart from the implementation, with small integers
//! for claims and times, so that the two can be held against each other.

use crate::claims::ClaimsMutant;

/// The lengths of the rules, in steps of the model's time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ClaimTimes {
    /// How long after the key was seen free a claim may land.
    pub window: u8,
    /// How long an outcome is remembered.
    pub memory: u8,
    /// How long the id of a released claim is kept.
    pub released: u8,
    /// For a key that carries a time, which is zero: how long it may be claimed.
    pub key_window: Option<u8>,
}

/// A fact about the key, or about another key of the same stream.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum ClaimFact {
    /// A claim, made by one that saw the key free at a time.
    Claim {
        /// Which claim.
        claim: u8,
        /// The time of the fold in which the key was free.
        seen: u8,
    },
    /// The claim was dispatched and its outcome is known.
    Close {
        /// Which claim.
        claim: u8,
        /// Whether its claimant wrote this; nobody else may.
        own: bool,
    },
    /// The claim was given up.
    Release {
        /// Which claim.
        claim: u8,
    },
    /// Something about another key.
    Other,
}

/// An entry of the stream.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct ClaimEntry {
    /// When the platform took it.
    pub at: u8,
    /// What it says.
    pub fact: ClaimFact,
}

/// The winning claim.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct KeyHolder {
    /// Which claim.
    pub claim: u8,
    /// When it landed.
    pub landed: u8,
    /// Whether it ended, and until when that is remembered.
    pub closed: Option<u8>,
    /// Whether it was closed by its claimant.
    own: bool,
}

/// A claim that can never win.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct DeadClaim {
    /// Which claim.
    pub claim: u8,
    /// Until when that is remembered.
    pub until: u8,
    /// Whether it was released, and so never ran. One that landed late may be a copy of one that
    /// ran and was forgotten.
    pub released: bool,
}

/// What an instance knows of the key after some entries.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct KeyState {
    /// The greatest time of an entry.
    pub time: u8,
    /// The winning claim.
    pub holder: Option<KeyHolder>,
    /// Claims that can never win, in order.
    pub dead: Vec<DeadClaim>,
    /// How often the key was forgotten after its claimant had closed it.
    pub forgotten: u8,
}

/// What became of a claim.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum KeyVerdict {
    /// It holds the key and is open.
    Won,
    /// Another one holds the key, or it ended itself.
    Lost,
    /// It can never win.
    Void,
    /// Nothing is known of it.
    Unseen,
}

impl KeyState {
    /// What became of `claim`.
    pub fn verdict(&self, claim: u8) -> KeyVerdict {
        if self.dead.iter().any(|dead| dead.claim == claim) {
            return KeyVerdict::Void;
        }
        match self.holder {
            Some(holder) if holder.claim == claim && holder.closed.is_none() => KeyVerdict::Won,
            Some(_) => KeyVerdict::Lost,
            None => KeyVerdict::Unseen,
        }
    }

    /// Whether `claim` is known to have been released.
    pub fn is_released(&self, claim: u8) -> bool {
        self.dead.iter().any(|dead| dead.claim == claim && dead.released)
    }

    /// Folds one entry.
    pub fn fold(&mut self, entry: &ClaimEntry, times: &ClaimTimes, mutant: Option<ClaimsMutant>) {
        self.forget(times, mutant);
        let before = self.time;
        self.time = self.time.max(entry.at);
        match entry.fact {
            ClaimFact::Claim { claim, seen } => self.claim(before, claim, seen, times, mutant),
            ClaimFact::Close { claim, own } => self.close(claim, own, times, mutant),
            ClaimFact::Release { claim } => self.release(claim, times, mutant),
            ClaimFact::Other => {}
        }
    }

    fn forget(&mut self, times: &ClaimTimes, mutant: Option<ClaimsMutant>) {
        let time = self.time;
        self.dead.retain(|dead| dead.until > time);
        let Some(holder) = self.holder else { return };
        let key_end = times.key_window.map(|window| window + 1);
        let open_end = match mutant {
            Some(ClaimsMutant::ForgetOpen) => Some(holder.landed + times.memory),
            _ => key_end,
        };
        let end = holder.closed.or(open_end);
        if end.is_some_and(|end| end <= time) {
            self.forgotten += u8::from(holder.closed.is_some() && holder.own);
            self.holder = None;
        }
    }

    fn claim(
        &mut self,
        before: u8,
        claim: u8,
        seen: u8,
        times: &ClaimTimes,
        mutant: Option<ClaimsMutant>,
    ) {
        let taken = self.holder.is_some() && mutant != Some(ClaimsMutant::LastClaimWins);
        if taken || self.verdict(claim) == KeyVerdict::Void {
            return;
        }
        let late = before > seen + times.window && mutant != Some(ClaimsMutant::NoWindow);
        let old = times.key_window.is_some_and(|window| self.time > window);
        if late || old && mutant != Some(ClaimsMutant::AcceptOldKeys) {
            self.bury(claim, times, false);
            return;
        }
        self.holder = Some(KeyHolder { claim, landed: self.time, closed: None, own: false });
    }

    fn close(&mut self, claim: u8, own: bool, times: &ClaimTimes, mutant: Option<ClaimsMutant>) {
        let memory = match mutant {
            Some(ClaimsMutant::ShortMemory) => times.window,
            _ => times.memory,
        };
        let key_end = match mutant {
            Some(ClaimsMutant::ForgetAtMemory) => 0,
            _ => times.key_window.map_or(0, |window| window + 1),
        };
        let until = (self.time + memory).max(key_end);
        let Some(holder) = &mut self.holder else { return };
        if holder.claim == claim && holder.closed.is_none() {
            holder.closed = Some(until);
            holder.own = own;
        }
    }

    fn release(&mut self, claim: u8, times: &ClaimTimes, mutant: Option<ClaimsMutant>) {
        let held = self.holder.filter(|holder| holder.claim == claim);
        if held.is_some_and(|holder| holder.closed.is_some()) {
            return;
        }
        if held.is_some() {
            self.holder = None;
        }
        if mutant != Some(ClaimsMutant::ForgetReleased) {
            self.bury(claim, times, true);
        }
    }

    fn bury(&mut self, claim: u8, times: &ClaimTimes, released: bool) {
        self.dead.retain(|dead| dead.claim != claim);
        self.dead.push(DeadClaim { claim, until: self.time + times.released, released });
        self.dead.sort_unstable();
    }
}
