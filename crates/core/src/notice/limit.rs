//! The rate that an upstream takes from all entries together, and this entry's part of it.

use crate::unit::{Rate, Span, Time};
use crate::warmup::Entries;

/// How far ahead of its pace an entry may send: requests come at random moments, and what is
/// not used at once would be lost.
const BURST: Span = Span::from_millis(500);
/// How many entries keep a pace for an upstream at least, where there are more: with fewer,
/// what they are asked for would not use the rate.
const PACED: usize = 4;
/// The part of the rate that these share where there are others, and the part of all others.
/// These are too many to be spread evenly over time, but one of them may be all that hears that
/// the upstream takes more again, and together they use what the few are not asked for.
const OF_PACED: f64 = 0.6;
const OF_OTHERS: f64 = 0.3;
/// How long a rate may go unconfirmed before an entry that keeps a pace goes and asks: where many
/// entries share an upstream each seldom has a request for it, and that it names no rate any more
/// would show as late.
const UNCONFIRMED: Span = Span::from_millis(6_000);
/// By which part of the rate a new one must differ to be told to other entries.
const DIFFERS: f64 = 0.25;

/// This entry's part of the rate.
#[derive(Clone, Copy, Debug)]
enum Part {
    /// It keeps this pause between requests on average.
    Paced(Span),
    /// It keeps at least this pause, which is long, between two requests.
    Spaced(Span),
}

/// What is known of the rate of one upstream.
#[derive(Clone, Copy, Debug)]
pub(super) struct Limit {
    rate: Rate,
    part: Part,
    /// When the upstream, or another entry, said so last.
    heard: Time,
    /// When the next request is due at the pace kept since.
    due: Time,
    /// The rate that other entries were told of last, or told.
    told: Rate,
}

impl Limit {
    /// Creates a limit of which this entry hears for the first time. Where it comes from an
    /// answer, a request has just been sent.
    ///
    /// Entries begin one after another: all may hear at one moment, and would send again at one
    /// moment after a pause that is the same for all.
    pub fn new(upstream: u64, rate: Rate, is_told: bool, entries: &Entries, now: Time) -> Limit {
        let part = Part::of(upstream, rate, entries);
        let waits = match part {
            Part::Paced(pause) if !is_told => pause,
            Part::Paced(pause) | Part::Spaced(pause) => {
                Span::from_secs_f64(pause.secs_f64() * entries.phase(upstream))
            }
        };
        Limit {
            rate,
            part,
            heard: now,
            due: now + waits,
            told: rate,
        }
    }

    pub fn rate(&self) -> Rate {
        self.rate
    }

    pub fn heard_at(&self) -> Time {
        self.heard
    }

    /// Takes in another rate; returns whether it differs much from what others know.
    pub fn change(&mut self, upstream: u64, rate: Rate, entries: &Entries, now: Time) -> bool {
        self.rate = rate;
        self.heard = now;
        self.share(upstream, entries, now);
        let known = self.told.per_second();
        let differs = (rate.per_second() - known).abs() > DIFFERS * known;
        if differs {
            self.told = rate;
        }
        differs
    }

    /// Notes that other entries know this rate.
    pub fn is_told(&mut self, rate: Rate) {
        self.told = rate;
    }

    /// Returns whether the answer to a request sent then, which names no limit, ends this one. One
    /// that was asked for before the limit was heard may be older than that.
    pub fn ends_by(&self, asked: Time) -> bool {
        asked > self.heard
    }

    /// Takes in which entries share the rate, or another rate.
    pub fn share(&mut self, upstream: u64, entries: &Entries, now: Time) {
        let before = self.part.pause().secs_f64();
        self.part = Part::of(upstream, self.rate, entries);
        // What is left of a pause at the pace before is left at the new one.
        let slower = self.part.pause().secs_f64() / before.max(f64::MIN_POSITIVE);
        let left = self.due.since(now).secs_f64();
        self.due = now + Span::from_secs_f64(left * slower);
    }

    /// Returns when this entry may send the next request.
    pub fn opens(&self) -> Time {
        let burst = match self.part {
            Part::Paced(_) => BURST,
            Part::Spaced(_) => Span::default(),
        };
        Time(self.due.0.saturating_sub(burst.micros()))
    }

    /// Returns whether the next request is to go there, wherever else it would go.
    pub fn wants_trial(&self, now: Time) -> bool {
        let unconfirmed = now.since(self.heard) >= UNCONFIRMED;
        unconfirmed && matches!(self.part, Part::Paced(_)) && now >= self.opens()
    }

    /// Notes a request sent.
    pub fn sent(&mut self, now: Time) {
        self.due = self.due.max(now) + self.part.pause();
    }
}

impl Part {
    /// Returns this entry's part of the rate of an upstream.
    ///
    /// Entries cannot count together in time, so each keeps a pace of its own, and only few do: in
    /// a window of 4 s those send four and a half times what they share, and one request each
    /// besides.
    fn of(upstream: u64, rate: Rate, entries: &Entries) -> Part {
        let rate = rate.per_second().max(f64::MIN_POSITIVE);
        let drawn = PACED.max((rate / 2.0) as usize);
        let all = entries.count();
        if all <= drawn {
            return Part::Paced(Span::from_secs_f64(all as f64 / rate));
        }
        match entries.is_selected(drawn, upstream) {
            true => Part::Paced(Span::from_secs_f64(drawn as f64 / (rate * OF_PACED))),
            false => Part::Spaced(Span::from_secs_f64(
                (all - drawn) as f64 / (rate * OF_OTHERS),
            )),
        }
    }

    fn pause(self) -> Span {
        match self {
            Part::Paced(pause) | Part::Spaced(pause) => pause,
        }
    }
}
