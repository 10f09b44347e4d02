//! Sizes, rates and times, a separate type for each.
//!
//! [`Moment`] is a time of the runtime's monotonic clock. The caller passes it with every input, so
//! that tests can pause and advance the clock.

use std::fmt;
use std::ops::Add;
use std::str::FromStr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;
use thiserror::Error;

/// The error for a text that isn't a size, a rate or a time.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("'{text}' is not a {kind}: write {expected}")]
pub struct UnitError {
    /// The kind of quantity, in words.
    pub kind: &'static str,
    /// The text as given.
    pub text: SmolStr,
    /// A description of the expected form.
    pub expected: &'static str,
}

/// A time of this process's monotonic clock, in microseconds since the process started.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct Moment(pub u64);

impl Moment {
    /// The time since `earlier`, or zero when `earlier` is later.
    pub fn since(self, earlier: Moment) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// The moment `age` before this one, or the start of the process if that is later.
    pub fn before(self, age: Duration) -> Moment {
        Moment(self.0.saturating_sub(u64::try_from(age.as_micros()).unwrap_or(u64::MAX)))
    }
}

impl Add<Duration> for Moment {
    type Output = Moment;

    fn add(self, rhs: Duration) -> Moment {
        Moment(self.0.saturating_add(rhs.as_micros() as u64))
    }
}

impl fmt::Display for Moment {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:06}s", self.0 / 1_000_000, self.0 % 1_000_000)
    }
}

macro_rules! quantity {
    ($(#[$doc:meta])* $name:ident, $suffix:literal, $kind:literal, $expected:literal) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, concat!("{}", $suffix), self.0)
            }
        }

        impl FromStr for $name {
            type Err = UnitError;

            fn from_str(text: &str) -> Result<Self, UnitError> {
                let digits = text.strip_suffix($suffix).unwrap_or(text).trim();
                digits.parse().map(Self).map_err(|_| UnitError {
                    kind: $kind,
                    text: SmolStr::new(text),
                    expected: $expected,
                })
            }
        }
    };
}

quantity!(
    /// A size in bytes.
    ByteCount,
    " B",
    "size",
    "a whole number of bytes, such as 4096 B"
);
quantity!(
    /// A number of tokens.
    TokenCount,
    " tokens",
    "token count",
    "a whole number, such as 512 tokens"
);
quantity!(
    /// A rate in requests per second.
    RequestRate,
    " req/s",
    "request rate",
    "a whole number, such as 50 req/s"
);
quantity!(
    /// A rate in tokens per second.
    TokenRate,
    " tokens/s",
    "token rate",
    "a whole number, such as 900 tokens/s"
);
quantity!(
    /// A wall-clock time of the platform, in milliseconds since the Unix epoch.
    WallMillis,
    " ms",
    "wall-clock time",
    "milliseconds since 1970, such as 1767225600000 ms"
);
