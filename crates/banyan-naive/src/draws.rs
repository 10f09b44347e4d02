//! Pseudo-random numbers from a seed: [`DrawSource`].

/// A generator (splitmix64) that gives the same numbers for the same seed everywhere.
#[derive(Clone, Debug)]
pub struct DrawSource {
    state: u64,
}

impl DrawSource {
    /// Creates a generator; the same seed gives the same sequence.
    pub fn new(seed: u64) -> Self {
        Self { state: seed }
    }

    /// Returns the next number, uniform over all 64-bit values.
    pub fn draw(&mut self) -> u64 {
        self.state = self.state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.state;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// Returns a number below `bound`, or 0 if `bound` is 0.
    pub fn below(&mut self, bound: u64) -> u64 {
        self.draw() % bound.max(1)
    }

    /// Returns a number in the range 0 to 1, excluding 1.
    pub fn fraction(&mut self) -> f64 {
        (self.draw() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Returns the time to the next event of a Poisson process with this mean, in microseconds.
    ///
    /// The result is at least 1.
    pub fn exponential(&mut self, mean_micros: f64) -> u64 {
        (-(1.0 - self.fraction()).ln() * mean_micros) as u64 + 1
    }
}
