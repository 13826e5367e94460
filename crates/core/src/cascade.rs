//! Decides when a cascade accepts a cheap answer and when it queries the next version.
//!
//! For each class and step, the policy divides the model's confidence into bands. It tracks how
//! often each band occurs and the mean rating of its answers, and accepts answers from the lowest
//! confidence at which the expected mean rating still reaches the target. A slow correction from
//! the ratings of delivered answers removes the remaining bias of the estimate. Old ratings decay,
//! so the policy follows changes of the cheap version.
//!
//! ```
//! use sorreldeck::cascade::{Policy, Prices};
//!
//! let mut policy = Policy::new(0.8, Prices { cheap: 1.0, expensive: 10.0 });
//! for i in 0..2000 {
//!     let confidence = f64::from(i % 10) / 10.0 + 0.05;
//!     policy.rate_cheap(confidence, if confidence > 0.5 { 0.95 } else { 0.3 });
//!     policy.rate_expensive(0.9);
//! }
//! assert!(policy.accepts(0.9, 0.5));
//! assert!(!policy.accepts(0.1, 0.5));
//! ```

/// The number of confidence bands.
const BANDS: usize = 20;
/// The factor by which older ratings decay at each new one.
const DECAY: f64 = 0.995;
/// The weight of the prior, in ratings. The prior of a band is the mean over it and its neighbours,
/// and dominates until the band has about as many ratings of its own.
const PRIOR_WEIGHT: f64 = 2.0;
/// The number of standard errors by which the estimate must exceed the target.
const STANDARD_ERRORS: f64 = 1.0;
/// The margin that is added to the target. A policy that aims at the target itself would leave half
/// of the callers below it. The margin is 1.645 standard errors of the mean of about 6,000 ratings.
const MARGIN: f64 = 0.0085;
/// The step size of the correction per rating of a delivered answer.
const CORRECTION_GAIN: f64 = 0.004;
/// The largest absolute correction.
const CORRECTION_MAX: f64 = 0.08;
/// The number of ratings of cheap answers below which every answer is escalated.
const MIN_RATINGS: f64 = 30.0;
/// The share of requests that still query a step which is otherwise skipped.
const EXPLORATION_SHARE: f64 = 0.04;

/// The expected price of one answer of each of two versions, in the same unit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Prices {
    /// The price at this step.
    pub cheap: f64,
    /// The price of the version that is queried instead.
    pub expensive: f64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Band {
    answers: f64,
    ratings: f64,
    sum: f64,
    squares: f64,
}

/// The policy of one step of a cascade for one class.
#[derive(Clone, Debug)]
pub struct Policy {
    target: f64,
    prices: Prices,
    bands: [Band; BANDS],
    expensive: Band,
    correction: f64,
    threshold: f64,
    skip: bool,
}

impl Policy {
    /// Creates a policy that escalates every answer until it has enough ratings.
    pub fn new(target: f64, prices: Prices) -> Policy {
        Policy {
            target,
            prices,
            bands: [Band::default(); BANDS],
            expensive: Band::default(),
            correction: 0.0,
            threshold: 1.0,
            skip: false,
        }
    }

    /// Returns the target mean rating.
    pub fn target(&self) -> f64 {
        self.target
    }

    /// Sets the target and the prices.
    pub fn set(&mut self, target: f64, prices: Prices) {
        self.target = target;
        self.prices = prices;
    }

    /// Returns whether to query this step at all; `draw` is a random number in `[0, 1)`.
    pub fn should_query(&self, draw: f64) -> bool {
        !self.skip || draw < EXPLORATION_SHARE
    }

    /// Returns whether to accept an answer of this confidence. The random number `draw` in `[0, 1)`
    /// decides within the band that contains the threshold.
    pub fn accepts(&self, confidence: f64, draw: f64) -> bool {
        band_of(confidence) as f64 + draw >= self.threshold * BANDS as f64
    }

    /// Returns the lowest accepted confidence.
    pub fn threshold(&self) -> f64 {
        self.threshold
    }

    /// Counts an answer of the cheap version, rated or not.
    pub fn observe(&mut self, confidence: f64) {
        for band in &mut self.bands {
            band.answers *= DECAY;
        }
        self.bands[band_of(confidence)].answers += 1.0;
    }

    /// Counts the rating of an answer of the cheap version.
    pub fn rate_cheap(&mut self, confidence: f64, rating: f64) {
        self.observe(confidence);
        for band in &mut self.bands {
            band.decay();
        }
        self.bands[band_of(confidence)].rate(rating);
        self.update_threshold();
    }

    /// Counts the rating of an answer of the expensive version.
    pub fn rate_expensive(&mut self, rating: f64) {
        self.expensive.decay();
        self.expensive.rate(rating);
    }

    /// Counts the rating of an answer that was delivered to the caller.
    pub fn rate_delivered(&mut self, rating: f64) {
        let step = CORRECTION_GAIN * (self.target + MARGIN - rating);
        self.correction = (self.correction + step).clamp(-CORRECTION_MAX, CORRECTION_MAX);
    }

    /// Sets the lowest threshold at which the estimate reaches the target.
    fn update_threshold(&mut self) {
        let rated: f64 = self.bands.iter().map(|b| b.ratings).sum();
        let answers: f64 = self.bands.iter().map(|b| b.answers).sum();
        if rated < MIN_RATINGS || self.expensive.ratings < 1.0 {
            self.threshold = 1.0;
            return;
        }
        let expensive = self.expensive.sum / self.expensive.ratings;
        let goal = (self.target + MARGIN + self.correction).min(expensive);
        let means = self.smooth_means();
        let mut quality = expensive;
        let mut variance = 0.0;
        let mut threshold = 1.0;
        let mut accepted = 0.0;
        for band in (0..BANDS).rev() {
            let share = self.bands[band].answers / answers;
            let (mean, error) = means[band];
            let gain = share * (mean - expensive);
            let spread = variance + (share * error).powi(2);
            if quality + gain - STANDARD_ERRORS * spread.sqrt() < goal {
                let slack = quality - STANDARD_ERRORS * variance.sqrt() - goal;
                let part = if gain < 0.0 {
                    (slack / -gain).clamp(0.0, 1.0)
                } else {
                    0.0
                };
                threshold = (band as f64 + 1.0 - part) / BANDS as f64;
                accepted += part * share;
                break;
            }
            quality += gain;
            variance = spread;
            accepted += share;
            threshold = band as f64 / BANDS as f64;
        }
        self.threshold = threshold;
        // Querying this step pays only if the expensive answers that it saves cost more than the
        // step.
        self.skip = accepted * self.prices.expensive < self.prices.cheap;
    }

    /// Returns the mean rating of each band with its standard error.
    fn smooth_means(&self) -> [(f64, f64); BANDS] {
        let mut means = [(0.0, 0.0); BANDS];
        for (i, slot) in means.iter_mut().enumerate() {
            let mut nearby = Band::default();
            let neighbours = i.saturating_sub(1)..=(i + 1).min(BANDS - 1);
            for band in &self.bands[neighbours] {
                nearby.add(band);
            }
            let own = &self.bands[i];
            let prior = nearby.mean().unwrap_or(0.0);
            let n = own.ratings + PRIOR_WEIGHT;
            let mean = (own.sum + PRIOR_WEIGHT * prior) / n;
            *slot = (mean, (nearby.variance() / n).sqrt());
        }
        means
    }
}

impl Band {
    fn decay(&mut self) {
        self.ratings *= DECAY;
        self.sum *= DECAY;
        self.squares *= DECAY;
    }

    fn rate(&mut self, rating: f64) {
        self.ratings += 1.0;
        self.sum += rating;
        self.squares += rating * rating;
    }

    fn add(&mut self, other: &Band) {
        self.ratings += other.ratings;
        self.sum += other.sum;
        self.squares += other.squares;
    }

    fn mean(&self) -> Option<f64> {
        (self.ratings > 1e-9).then(|| self.sum / self.ratings)
    }

    fn variance(&self) -> f64 {
        match self.mean() {
            Some(mean) => (self.squares / self.ratings - mean * mean).max(0.01),
            None => 0.25,
        }
    }
}

fn band_of(confidence: f64) -> usize {
    ((confidence.clamp(0.0, 1.0) * BANDS as f64) as usize).min(BANDS - 1)
}
