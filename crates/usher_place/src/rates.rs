//! Learns how long the engines of a service take from what calls show. Not for: the load of one
//! engine.

use std::time;

/// Smallest and largest factor by which one sample changes an estimate, as natural logarithms.
const STEP_BOUNDS: (f64, f64) = (0.02, 0.5);

/// Step of an estimate without samples.
const INITIAL_STEP: f64 = 0.3;

/// Factor of the step after an error to the same side as the one before, and to the other side. Steps
/// shrink while both are equally frequent, as they are around the median.
const STEP_FACTORS: (f64, f64) = (1.2, 0.6);

/// Number of samples after which an estimate counts as measured: enough for the largest steps to
/// change it by a factor of 30.
const MEASURED_SAMPLES: u32 = 12;

/// Bounds of the fixed part of an estimate, in seconds.
const FIXED_BOUNDS: (f64, f64) = (1e-5, 2.0);

/// Bounds of the part for each unit, in seconds: from 1 billion to 100 units a second.
const UNIT_BOUNDS: (f64, f64) = (1e-9, 1e-2);

/// Longest sample that counts; a target that takes longer is in trouble.
const MAX_SAMPLE: time::Duration = time::Duration::from_secs(30);

/// Estimate of a time that grows with a number of units, such as the tokens of a prompt.
///
/// It follows the running median of measured over expected time. A sample changes it by a step that
/// depends on the sign of the error alone, so that a single slow engine or late answer has little
/// effect.
///
/// ```
/// use std::time::Duration;
/// use usher_place::TimeEstimate;
/// let mut estimate = TimeEstimate::new(0.01, 1e-4);
/// for _ in 0..50 {
///     estimate.record(10_000.0, Duration::from_millis(100));
/// }
/// assert!((0.08..0.12).contains(&estimate.seconds(10_000.0)));
/// ```
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TimeEstimate {
    fixed: f64,
    per_unit: f64,
    step: f64,
    was_longer: Option<bool>,
    samples: u32,
}

impl TimeEstimate {
    /// Makes an estimate from the start values in seconds, which hold until samples arrive.
    pub fn new(fixed: f64, per_unit: f64) -> Self {
        Self {
            fixed,
            per_unit,
            step: INITIAL_STEP,
            was_longer: None,
            samples: 0,
        }
    }

    /// Returns the expected time in seconds.
    pub fn seconds(&self, units: f64) -> f64 {
        self.fixed + self.per_unit * units
    }

    /// Returns the time for each unit in seconds.
    pub fn seconds_per_unit(&self) -> f64 {
        self.per_unit
    }

    /// Returns whether enough samples have arrived for the estimate to be relied on.
    pub fn is_measured(&self) -> bool {
        self.samples >= MEASURED_SAMPLES
    }

    /// Adds a sample.
    pub fn record(&mut self, units: f64, measured: time::Duration) {
        let expected = self.seconds(units);
        if measured > MAX_SAMPLE || !expected.is_finite() || expected <= 0.0 {
            return;
        }
        let is_longer = measured.as_secs_f64() > expected;
        let (same, other) = STEP_FACTORS;
        let factor = match self.was_longer {
            Some(was_longer) if was_longer == is_longer => same,
            Some(_) => other,
            None => 1.0,
        };
        let (least, most) = STEP_BOUNDS;
        self.step = (self.step * factor).clamp(least, most);
        self.was_longer = Some(is_longer);
        self.samples = self.samples.saturating_add(1);
        let step = if is_longer { self.step } else { -self.step };
        let fixed_share = self.fixed / expected;
        let (least, most) = FIXED_BOUNDS;
        self.fixed = (self.fixed * (step * fixed_share).exp()).clamp(least, most);
        let (least, most) = UNIT_BOUNDS;
        let unit_share = 1.0 - fixed_share;
        self.per_unit = (self.per_unit * (step * unit_share).exp()).clamp(least, most);
    }
}

/// The learned times of the engines of one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineRates {
    /// Reading a prompt at a prefill engine, by its tokens.
    pub prefill: TimeEstimate,
    /// Reading a prompt at an engine that also generates, by its tokens.
    pub decode_prefill: TimeEstimate,
    /// Handing a prompt over to another engine, by its tokens times the factor of the distance.
    pub handover: TimeEstimate,
}

impl Default for EngineRates {
    /// Returns the start values, which place the first calls of a gateway.
    fn default() -> Self {
        Self {
            prefill: TimeEstimate::new(0.002, 1.0 / 28_000.0),
            decode_prefill: TimeEstimate::new(0.005, 1.0 / 10_000.0),
            handover: TimeEstimate::new(0.02, 4e-7),
        }
    }
}

/// The measured time of one step of a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RateSample {
    /// A prefill engine read this number of tokens, queued ones included.
    Prefill(f64),
    /// An engine that also generates read this number of tokens and began to generate.
    DecodePrefill(f64),
    /// An engine fetched this number of tokens, times the factor of the distance, and began to
    /// generate.
    Handover(f64),
}

impl EngineRates {
    /// Adds a sample.
    pub fn record(&mut self, sample: RateSample, measured: time::Duration) {
        match sample {
            RateSample::Prefill(tokens) => self.prefill.record(tokens, measured),
            RateSample::DecodePrefill(tokens) => self.decode_prefill.record(tokens, measured),
            RateSample::Handover(tokens) => self.handover.record(tokens, measured),
        }
    }
}
