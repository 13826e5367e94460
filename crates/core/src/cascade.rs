//! When a cascade accepts a cheap answer and when it asks the next version.
//!
//! For each class and step the policy keeps, by band of the model's confidence,
//! how often the band occurs and how good the answers in it are rated. From
//! these it finds the lowest confidence to accept at which the mean rating still
//! reaches the target. A slow correction by the ratings of the answers that
//! callers really got takes out what the estimate misses. Old ratings fade, so
//! that a shift of the cheap version is followed.
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

/// The bands of confidence.
const BANDS: usize = 20;
/// How much of the older ratings is kept at each new one.
const KEEP: f64 = 0.995;
/// The weight of the prior in ratings: a band is taken to be as good as its
/// neighbours and itself until it has about as many ratings of its own.
const PRIOR_WEIGHT: f64 = 2.0;
/// How many standard errors the estimate must clear the target by.
const CAUTION: f64 = 1.0;
/// How far above the target the policy aims. A mean that only just reaches the
/// target would lie below it for half of the callers; this is 1.645 standard
/// errors of the mean rating of some 6,000 answers.
const MARGIN: f64 = 0.0085;
/// How fast the correction follows the ratings of answers given.
const CORRECTION_GAIN: f64 = 0.004;
/// The largest correction.
const CORRECTION_MAX: f64 = 0.08;
/// The ratings of cheap answers before the estimate is trusted.
const ENOUGH: f64 = 30.0;
/// The share of requests asked at a step that is otherwise skipped.
const EXPLORED: f64 = 0.04;

/// The expected price of one answer of each of two versions, in any one unit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Prices {
    /// The price at this step.
    pub cheap: f64,
    /// The price of what would be asked instead.
    pub expensive: f64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Band {
    seen: f64,
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
    dear: Band,
    correction: f64,
    threshold: f64,
    skip: bool,
}

impl Policy {
    /// Creates a policy that escalates everything until it has learned.
    pub fn new(target: f64, prices: Prices) -> Policy {
        Policy {
            target,
            prices,
            bands: [Band::default(); BANDS],
            dear: Band::default(),
            correction: 0.0,
            threshold: 1.0,
            skip: false,
        }
    }

    /// Returns the target.
    pub fn target(&self) -> f64 {
        self.target
    }

    /// Sets the target and the prices.
    pub fn set(&mut self, target: f64, prices: Prices) {
        self.target = target;
        self.prices = prices;
    }

    /// Returns whether the step is to be asked at all; `draw` is a random
    /// number in `[0, 1)`.
    pub fn should_query(&self, draw: f64) -> bool {
        !self.skip || draw < EXPLORED
    }

    /// Returns whether an answer of this confidence is accepted; `draw` is a
    /// random number in `[0, 1)` that divides the band at the threshold.
    pub fn accepts(&self, confidence: f64, draw: f64) -> bool {
        band_of(confidence) as f64 + draw >= self.threshold * BANDS as f64
    }

    /// Returns the confidence from which answers are accepted.
    pub fn threshold(&self) -> f64 {
        self.threshold
    }

    /// Counts an answer of the cheap version, rated or not.
    pub fn observe(&mut self, confidence: f64) {
        for band in &mut self.bands {
            band.seen *= KEEP;
        }
        self.bands[band_of(confidence)].seen += 1.0;
    }

    /// Counts the rating of an answer of the cheap version.
    pub fn rate_cheap(&mut self, confidence: f64, rating: f64) {
        self.observe(confidence);
        for band in &mut self.bands {
            band.fade();
        }
        self.bands[band_of(confidence)].rate(rating);
        self.learn();
    }

    /// Counts the rating of an answer of the dear version.
    pub fn rate_expensive(&mut self, rating: f64) {
        self.dear.fade();
        self.dear.rate(rating);
    }

    /// Counts the rating of an answer that a caller got.
    pub fn rate_delivered(&mut self, rating: f64) {
        let step = CORRECTION_GAIN * (self.target + MARGIN - rating);
        self.correction = (self.correction + step).clamp(-CORRECTION_MAX, CORRECTION_MAX);
    }

    /// Finds the lowest threshold at which the estimate reaches the target.
    fn learn(&mut self) {
        let rated: f64 = self.bands.iter().map(|b| b.ratings).sum();
        let seen: f64 = self.bands.iter().map(|b| b.seen).sum();
        if rated < ENOUGH || self.dear.ratings < 1.0 {
            self.threshold = 1.0;
            return;
        }
        let dear = self.dear.sum / self.dear.ratings;
        let goal = (self.target + MARGIN + self.correction).min(dear);
        let means = self.smooth_means();
        let mut quality = dear;
        let mut variance = 0.0;
        let mut threshold = 1.0;
        let mut accepted = 0.0;
        for band in (0..BANDS).rev() {
            let share = self.bands[band].seen / seen;
            let (mean, error) = means[band];
            let gain = share * (mean - dear);
            let spread = variance + (share * error).powi(2);
            if quality + gain - CAUTION * spread.sqrt() < goal {
                let room = quality - CAUTION * variance.sqrt() - goal;
                let part = if gain < 0.0 {
                    (room / -gain).clamp(0.0, 1.0)
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
        // Asking first pays when the dear answers it saves cost more than it.
        self.skip = accepted * self.prices.expensive < self.prices.cheap;
    }

    /// Returns the mean rating of each band and the standard error of it.
    fn smooth_means(&self) -> [(f64, f64); BANDS] {
        let mut means = [(0.0, 0.0); BANDS];
        for (i, slot) in means.iter_mut().enumerate() {
            let mut near = Band::default();
            let neighbours = i.saturating_sub(1)..=(i + 1).min(BANDS - 1);
            for band in &self.bands[neighbours] {
                near.add(band);
            }
            let own = &self.bands[i];
            let prior = near.mean().unwrap_or(0.0);
            let n = own.ratings + PRIOR_WEIGHT;
            let mean = (own.sum + PRIOR_WEIGHT * prior) / n;
            *slot = (mean, (near.variance() / n).sqrt());
        }
        means
    }
}

impl Band {
    fn fade(&mut self) {
        self.ratings *= KEEP;
        self.sum *= KEEP;
        self.squares *= KEEP;
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
