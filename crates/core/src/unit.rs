//! Quantities with units, written as text in settings.
//!
//! ```
//! use sorreldeck::{Rate, Share, Size, Span};
//!
//! assert_eq!("1.5s".parse::<Span>()?, Span::from_millis(1500));
//! assert_eq!("64KiB".parse::<Size>()?.bytes(), 65_536);
//! assert_eq!("20/s".parse::<Rate>()?.per_second(), 20.0);
//! assert_eq!("2.5%".parse::<Share>()?.fraction(), 0.025);
//! assert!("20 parsecs".parse::<Span>().is_err());
//! # Ok::<(), sorreldeck::Error>(())
//! ```

use crate::error::{Category, Error, Result};
use serde::{de, Deserialize, Deserializer, Serialize, Serializer};
use std::fmt;
use std::ops::{Add, Sub};
use std::str::FromStr;

macro_rules! text_serde {
    ($name:ident) => {
        impl Serialize for $name {
            fn serialize<S: Serializer>(&self, s: S) -> std::result::Result<S::Ok, S::Error> {
                s.collect_str(self)
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(d: D) -> std::result::Result<Self, D::Error> {
                let s = String::deserialize(d)?;
                s.parse().map_err(de::Error::custom)
            }
        }
    };
}

/// Splits `12.5ms` into number and unit.
fn split_unit(s: &str) -> Option<(f64, &str)> {
    let cut = s.find(|c: char| !c.is_ascii_digit() && c != '.')?;
    let number: f64 = s[..cut].parse().ok()?;
    Some((number, &s[cut..]))
}

fn wrong_unit(s: &str, what: &str, units: &str) -> Error {
    Error::new(
        Category::Invalid,
        format!("{s:?} is no {what}: write a number with one of {units}"),
    )
}

/// A point in time, in microseconds since an origin chosen by the caller.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Default, Serialize, Deserialize,
)]
pub struct Time(pub u64);

impl Time {
    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later.
    pub fn since(self, earlier: Time) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Span> for Time {
    type Output = Time;

    fn add(self, span: Span) -> Time {
        Time(self.0.saturating_add(span.0))
    }
}

/// A duration with microsecond resolution.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Default)]
pub struct Span(u64);

impl Span {
    /// Creates a span of microseconds.
    pub const fn from_micros(us: u64) -> Span {
        Span(us)
    }

    /// Creates a span of milliseconds.
    pub const fn from_millis(ms: u64) -> Span {
        Span(ms * 1000)
    }

    /// Creates a span of seconds; negative and non-finite numbers become zero.
    pub fn from_secs_f64(s: f64) -> Span {
        Span((s.max(0.0) * 1e6) as u64)
    }

    /// Returns the span in microseconds.
    pub const fn micros(self) -> u64 {
        self.0
    }

    /// Returns the span in whole milliseconds.
    pub const fn millis(self) -> u64 {
        self.0 / 1000
    }

    /// Returns the span in seconds.
    pub fn secs_f64(self) -> f64 {
        self.0 as f64 / 1e6
    }
}

impl Add for Span {
    type Output = Span;

    fn add(self, other: Span) -> Span {
        Span(self.0.saturating_add(other.0))
    }
}

impl Sub for Span {
    type Output = Span;

    fn sub(self, other: Span) -> Span {
        Span(self.0.saturating_sub(other.0))
    }
}

impl From<Span> for std::time::Duration {
    fn from(span: Span) -> std::time::Duration {
        std::time::Duration::from_micros(span.0)
    }
}

impl fmt::Display for Span {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            us if us % 1_000_000 == 0 => write!(f, "{}s", us / 1_000_000),
            us if us % 1000 == 0 => write!(f, "{}ms", us / 1000),
            us => write!(f, "{us}us"),
        }
    }
}

impl FromStr for Span {
    type Err = Error;

    fn from_str(s: &str) -> Result<Self> {
        let wrong = || wrong_unit(s, "span of time", "us, ms, s, m, h");
        let (n, unit) = split_unit(s).ok_or_else(wrong)?;
        let scale = match unit {
            "us" => 1.0,
            "ms" => 1e3,
            "s" => 1e6,
            "m" => 60e6,
            "h" => 3600e6,
            _ => return Err(wrong()),
        };
        Ok(Span((n * scale) as u64))
    }
}

text_serde!(Span);

/// A number of bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Default)]
pub struct Size(u64);

impl Size {
    /// Creates a size of bytes.
    pub const fn from_bytes(n: u64) -> Size {
        Size(n)
    }

    /// Returns the size in bytes.
    pub const fn bytes(self) -> u64 {
        self.0
    }
}

impl fmt::Display for Size {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            0 => f.write_str("0B"),
            n if n % (1 << 20) == 0 => write!(f, "{}MiB", n >> 20),
            n if n % (1 << 10) == 0 => write!(f, "{}KiB", n >> 10),
            n => write!(f, "{n}B"),
        }
    }
}

impl FromStr for Size {
    type Err = Error;

    fn from_str(s: &str) -> Result<Self> {
        let wrong = || wrong_unit(s, "size", "B, KiB, MiB");
        let (n, unit) = split_unit(s).ok_or_else(wrong)?;
        let scale = match unit {
            "B" => 1.0,
            "KiB" => 1024.0,
            "MiB" => 1024.0 * 1024.0,
            _ => return Err(wrong()),
        };
        Ok(Size((n * scale) as u64))
    }
}

text_serde!(Size);

/// A number of events per second.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Rate(f64);

impl Rate {
    /// Creates a rate; negative numbers become zero.
    pub fn from_per_second(n: f64) -> Rate {
        Rate(n.max(0.0))
    }

    /// Returns the events per second.
    pub fn per_second(self) -> f64 {
        self.0
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}

impl FromStr for Rate {
    type Err = Error;

    fn from_str(s: &str) -> Result<Self> {
        let wrong = || wrong_unit(s, "rate", "/s, /m");
        let (n, unit) = split_unit(s).ok_or_else(wrong)?;
        match unit {
            "/s" => Ok(Rate(n)),
            "/m" => Ok(Rate(n / 60.0)),
            _ => Err(wrong()),
        }
    }
}

text_serde!(Rate);

/// A fraction of a whole, from 0% to 100%.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Share(f64);

impl Share {
    /// A half.
    pub const HALF: Share = Share(0.5);
    /// A fifth.
    pub const FIFTH: Share = Share(0.2);
    /// Everything.
    pub const ALL: Share = Share(1.0);
    /// Nothing.
    pub const NONE: Share = Share(0.0);

    /// Creates a share from a percentage, capped at 100.
    pub const fn percent(n: u8) -> Share {
        Share(if n < 100 { n as f64 / 100.0 } else { 1.0 })
    }

    /// Creates a share from a fraction, clamped between 0 and 1.
    pub fn from_fraction(x: f64) -> Share {
        Share(x.clamp(0.0, 1.0))
    }

    /// Returns the share as a fraction between 0 and 1.
    pub fn fraction(self) -> f64 {
        self.0
    }
}

impl fmt::Display for Share {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        // Four decimals hide the rounding error of the conversion to per cent.
        let percent = (self.0 * 1e6).round() / 1e4;
        write!(f, "{percent}%")
    }
}

impl FromStr for Share {
    type Err = Error;

    fn from_str(s: &str) -> Result<Self> {
        let wrong = || wrong_unit(s, "share", "% (0% to 100%)");
        match split_unit(s) {
            Some((n, "%")) if n <= 100.0 => Ok(Share(n / 100.0)),
            _ => Err(wrong()),
        }
    }
}

text_serde!(Share);

/// A price in millionths of a currency unit per 1,000 tokens.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Price(pub u64);

impl Price {
    /// Returns the cost of a number of tokens.
    pub fn cost(self, tokens: u64) -> Cost {
        Cost(self.0 * tokens)
    }
}

/// An amount of money in billionths of a currency unit.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Cost(pub u64);

impl Add for Cost {
    type Output = Cost;

    fn add(self, other: Cost) -> Cost {
        Cost(self.0 + other.0)
    }
}

impl fmt::Display for Cost {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}.{:09}",
            self.0 / 1_000_000_000,
            self.0 % 1_000_000_000
        )
    }
}
