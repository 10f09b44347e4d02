//! Identifiers, a separate type for each kind so that kinds can't be confused.
//!
//! Names are short texts ([`WorkspaceId`], [`TargetId`], ...); positions in the log are numbers
//! ([`LogOffset`], [`StoreEra`], [`Revision`]).

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;
use thiserror::Error;

/// The greatest length of a name, in bytes.
pub const NAME_LIMIT_BYTES: usize = 128;

/// The error for a text that isn't a valid identifier.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum IdError {
    /// The text is empty.
    #[error("a {kind} may not be empty: give it a name")]
    Empty {
        /// The kind of identifier, in words.
        kind: &'static str,
    },
    /// The text is longer than [`NAME_LIMIT_BYTES`].
    #[error("a {kind} has at most {NAME_LIMIT_BYTES} bytes: shorten '{text}'")]
    TooLong {
        /// The kind of identifier, in words.
        kind: &'static str,
        /// The text as given.
        text: SmolStr,
    },
    /// The text contains a character that isn't allowed in names.
    #[error("a {kind} holds only a-z, A-Z, 0-9 and . _ - / : @ : rename '{text}'")]
    BadCharacter {
        /// The kind of identifier, in words.
        kind: &'static str,
        /// The text as given.
        text: SmolStr,
    },
    /// The text doesn't have the expected form.
    #[error("'{text}' is not a {kind}: write {expected}")]
    Malformed {
        /// The kind of identifier, in words.
        kind: &'static str,
        /// The text as given.
        text: SmolStr,
        /// A description of the expected form.
        expected: &'static str,
    },
}

fn check_name(kind: &'static str, text: &str) -> Result<SmolStr, IdError> {
    if text.is_empty() {
        return Err(IdError::Empty { kind });
    }
    if text.len() > NAME_LIMIT_BYTES {
        return Err(IdError::TooLong { kind, text: SmolStr::new(text) });
    }
    let allowed = |c: char| c.is_ascii_alphanumeric() || "._-/:@".contains(c);
    if !text.chars().all(allowed) {
        return Err(IdError::BadCharacter { kind, text: SmolStr::new(text) });
    }
    Ok(SmolStr::new(text))
}

macro_rules! name_id {
    ($(#[$doc:meta])* $name:ident, $kind:literal) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
        #[serde(try_from = "SmolStr", into = "SmolStr")]
        pub struct $name(SmolStr);

        impl $name {
            /// The identifier with a text as it is. For names that others have given and that the
            /// limits of declarations do not bind; `FromStr` checks those.
            pub fn new(text: impl Into<SmolStr>) -> Self {
                Self(text.into())
            }

            /// The identifier as text.
            pub fn as_str(&self) -> &str {
                self.0.as_str()
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, IdError> {
                check_name($kind, text).map(Self)
            }
        }

        impl TryFrom<SmolStr> for $name {
            type Error = IdError;

            fn try_from(text: SmolStr) -> Result<Self, IdError> {
                text.parse()
            }
        }

        impl From<$name> for SmolStr {
            fn from(id: $name) -> SmolStr {
                id.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

macro_rules! number_id {
    ($(#[$doc:meta])* $name:ident, $kind:literal) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, IdError> {
                text.parse().map(Self).map_err(|_| IdError::Malformed {
                    kind: $kind,
                    text: SmolStr::new(text),
                    expected: "a whole number",
                })
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }
    };
}

name_id!(
    /// The name of an instance, as in the instance list.
    InstanceId,
    "instance name"
);
name_id!(
    /// One run of a daemon: the instance's name and a part chosen at random at each start.
    ///
    /// Invariant: no two runs of any process share an incarnation.
    IncarnationId,
    "incarnation"
);
name_id!(
    /// The name of an availability zone.
    ZoneId,
    "availability zone name"
);
name_id!(
    /// The name of a region, a group of availability zones.
    RegionId,
    "region name"
);
name_id!(
    /// The name of a workspace, the customer that a request belongs to.
    WorkspaceId,
    "workspace name"
);
name_id!(
    /// The name of a target: a model engine or one replica of a plain service.
    TargetId,
    "target name"
);
name_id!(
    /// The name of a model, as in requests.
    ModelId,
    "model name"
);
name_id!(
    /// The name of a plain service.
    ServiceId,
    "service name"
);
name_id!(
    /// The name of one call of a plain service.
    CallId,
    "call name"
);
name_id!(
    /// The name of a declaration file; each name has at most one file in force.
    FileId,
    "declaration name"
);
name_id!(
    /// The id of a log record, chosen by its writer. A fold ignores a second record with the same
    /// id.
    RecordId,
    "record id"
);
name_id!(
    /// A caller's idempotency key.
    IdempotencyKey,
    "idempotency key"
);

number_id!(
    /// A position in one stream of the platform's log.
    LogOffset,
    "log offset"
);

impl LogOffset {
    /// The offset after this one.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

number_id!(
    /// How often the platform's store has come back from an older copy of itself. Offsets that it
    /// gave out in one era say nothing about those of the next. Zero for a store that has no eras.
    StoreEra,
    "store era"
);
number_id!(
    /// A revision of the configuration: the log offset of the accepted proposal plus one. Zero
    /// stands for no revision.
    ///
    /// Invariant: the revision in force on an instance never decreases.
    Revision,
    "revision"
);
number_id!(
    /// The fencing token of a command: the generation of the group whose leader sends it. Targets
    /// that check it reject a lower one than the highest that they have seen.
    FencingToken,
    "fencing token"
);
number_id!(
    /// The position of a token in its answer, from zero.
    TokenIndex,
    "token index"
);

impl TokenIndex {
    /// The index of the next token.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// The id of a request: the incarnation that admitted it and a counter.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(try_from = "SmolStr", into = "SmolStr")]
pub struct RequestId {
    /// The run of the daemon that admitted the request.
    pub incarnation: IncarnationId,
    /// The number of the request within that run, from one.
    pub counter: u64,
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.incarnation, self.counter)
    }
}

impl FromStr for RequestId {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        let error = || IdError::Malformed {
            kind: "request id",
            text: SmolStr::new(text),
            expected: "INCARNATION.COUNTER",
        };
        let (incarnation, counter) = text.rsplit_once('.').ok_or_else(error)?;
        let counter = counter.parse().map_err(|_| error())?;
        Ok(Self { incarnation: incarnation.parse()?, counter })
    }
}

impl TryFrom<SmolStr> for RequestId {
    type Error = IdError;

    fn try_from(text: SmolStr) -> Result<Self, IdError> {
        text.parse()
    }
}

impl From<RequestId> for SmolStr {
    fn from(id: RequestId) -> SmolStr {
        smol_str::format_smolstr!("{id}")
    }
}

/// A half-open range of model layers, `first..end`, written `FIRST-LAST` with both ends included.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct LayerRange {
    /// The first layer of the range.
    pub first: u32,
    /// The layer after the last one of the range. Invariant: greater than `first`.
    pub end: u32,
}

impl LayerRange {
    /// The number of layers in the range.
    pub fn count(self) -> u32 {
        self.end - self.first
    }

    /// Whether all layers of another range are in this one.
    pub fn covers(self, other: Self) -> bool {
        self.first <= other.first && other.end <= self.end
    }

    /// The intersection of both ranges, or `None` if it is empty.
    pub fn overlap(self, other: Self) -> Option<Self> {
        let first = self.first.max(other.first);
        let end = self.end.min(other.end);
        (first < end).then_some(Self { first, end })
    }
}

impl fmt::Display for LayerRange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.first, self.end - 1)
    }
}

impl FromStr for LayerRange {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        let error = || IdError::Malformed {
            kind: "layer range",
            text: SmolStr::new(text),
            expected: "FIRST-LAST, such as 0-11",
        };
        let (first, last) = text.split_once('-').ok_or_else(error)?;
        let first: u32 = first.trim().parse().map_err(|_| error())?;
        let last: u32 = last.trim().parse().map_err(|_| error())?;
        let end = last.checked_add(1).ok_or_else(error)?;
        if end <= first {
            return Err(error());
        }
        Ok(Self { first, end })
    }
}
