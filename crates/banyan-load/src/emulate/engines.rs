//! What engines do: [`EngineModel`].
//!
//! An engine reads prompts at the pace of its kind and its part of the layers, the most urgent and
//! then the earliest first. It reads one at a time, or several in turns of a millisecond each. It keeps what it has read in memory until the stream ends. A stream that does not fit waits at the
//! first engine of its chain. A load takes its share of the model's load time, longer while more loads
//! run than the weight store serves at full speed.

use std::collections::VecDeque;

use smol_str::SmolStr;

use banyan_core::ids::LayerRange;
use banyan_core::ids::TargetId;
use banyan_core::ids::ZoneId;

/// The number of a stream.
pub type StreamNumber = usize;

/// A prompt that an engine has to read.
#[derive(Clone, Copy, Debug)]
pub struct ReadingWork {
    /// The stream.
    pub stream: StreamNumber,
    /// Milliseconds of reading that are left.
    pub left_ms: f64,
    /// Its urgency; the lowest is begun first.
    pub urgency: u8,
}

/// One engine.
#[derive(Clone, Debug)]
pub struct EngineModel {
    /// Its id.
    pub id: TargetId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// The kind of its accelerator.
    pub kind: SmolStr,
    /// The layers that it holds.
    pub held: Option<LayerRange>,
    /// The layers that it is loading, and the milliseconds of loading left at full speed.
    pub loading: Option<(LayerRange, f64)>,
    /// Whether it answers.
    pub alive: bool,
    /// When it comes back empty, if it does.
    pub back_ms: Option<u64>,
    /// What its requests take up: tokens times layers.
    pub used: f64,
    /// Prompts to read: those begun, then the others in the order in which they will begin.
    pub reading: VecDeque<ReadingWork>,
    /// The number of prompts that it reads in turns.
    pub turns: usize,
}

impl EngineModel {
    /// An empty engine.
    pub fn new(id: TargetId, zone: ZoneId, kind: SmolStr, turns: usize) -> Self {
        Self {
            id,
            zone,
            kind,
            held: None,
            loading: None,
            alive: true,
            back_ms: None,
            used: 0.0,
            reading: VecDeque::new(),
            turns,
        }
    }

    /// Begins to load layers; what it held of others is given up.
    pub fn place(&mut self, range: LayerRange, load_ms: f64) {
        self.held = self.held.and_then(|held| held.overlap(range));
        self.loading = Some((range, load_ms));
    }

    /// Queues a prompt behind those that are begun or at least as urgent.
    pub fn queue(&mut self, work: ReadingWork) {
        let mut waiting = self.reading.iter().skip(self.turns);
        let behind = waiting.position(|other| other.urgency > work.urgency);
        let at = behind.map_or(self.reading.len(), |behind| self.turns + behind);
        self.reading.insert(at, work);
    }

    /// Loses everything and falls silent until `back_ms`, or for good.
    pub fn crash(&mut self, back_ms: Option<u64>) {
        self.alive = false;
        self.back_ms = back_ms;
        self.held = None;
        self.loading = None;
        self.used = 0.0;
        self.reading.clear();
    }

    /// Moves on by a millisecond in which each load goes on at `load_pace`; returns the streams whose
    /// prompts were read to the end.
    pub fn advance(&mut self, now_ms: u64, load_pace: f64) -> Vec<StreamNumber> {
        if !self.alive {
            if self.back_ms.is_some_and(|back| back <= now_ms) {
                self.alive = true;
                self.back_ms = None;
            }
            return Vec::new();
        }
        if let Some((range, left)) = &mut self.loading {
            *left -= load_pace;
            if *left <= 0.0 {
                self.held = Some(*range);
                self.loading = None;
            }
        }
        self.read()
    }

    fn read(&mut self) -> Vec<StreamNumber> {
        let mut done = Vec::new();
        let mut time = 1.0;
        while let Some(work) = self.reading.front_mut() {
            if work.left_ms > time {
                work.left_ms -= time;
                let begun = self.turns.min(self.reading.len());
                self.reading.make_contiguous()[..begun].rotate_left(1);
                break;
            }
            time -= work.left_ms;
            done.push(work.stream);
            self.reading.pop_front();
        }
        done
    }
}
