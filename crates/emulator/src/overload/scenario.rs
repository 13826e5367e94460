//! What is simulated.

use sorreldeck::Span;

/// The resources of an instance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Instance {
    /// The share of processors in cores.
    pub cores: f64,
    /// The share that the entry is told; 0 if it is not told one.
    pub told_cores: f64,
    /// The bandwidth in Mbit/s.
    pub mbps: f64,
    /// The bandwidth that the entry is told.
    pub told_mbps: f64,
    /// The memory in MB.
    pub memory: u64,
}

impl Instance {
    /// Creates the resources of an instance whose entry is told its share and bandwidth.
    pub fn new(cores: f64, mbps: f64, memory: u64) -> Instance {
        Instance {
            cores,
            told_cores: cores,
            mbps,
            told_mbps: mbps,
            memory,
        }
    }
}

/// Which connections entries take.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Admission {
    /// Those that they can serve beside what they owe.
    #[default]
    Owed,
    /// The same, but an entry is always ready.
    AlwaysReady,
    /// All.
    All,
}

/// A time in which one entry gets most new connections.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Crowd {
    /// When it begins, from the start.
    pub at: Span,
    /// How long it lasts.
    pub lasts: Span,
    /// The entry; the next one that is ready once this one is not.
    pub entry: usize,
    /// The requests a second.
    pub per_s: f64,
}

/// A simulated time.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub instances: Vec<Instance>,
    pub admission: Admission,
    /// The requests a second while there is no crowd.
    pub per_s: f64,
    pub crowds: Vec<Crowd>,
    /// The part of first tries that go to the entry of a crowd.
    pub share: f64,
    /// When an entry is restarted, and which.
    pub restart: Option<(Span, usize)>,
    /// When an entry stands still, for how long, and which.
    pub pause: Option<(Span, Span, usize)>,
    pub duration: Span,
    /// The events of a stream and the time between two of them.
    pub events: u32,
    pub gap: Span,
    /// The largest body of a request in bytes.
    pub body: u64,
}

impl Default for Scenario {
    fn default() -> Scenario {
        let crowd = |at, entry| Crowd {
            at: Span::from_millis(at),
            lasts: Span::from_millis(10_000),
            entry,
            per_s: 120.0,
        };
        Scenario {
            instances: vec![Instance::new(0.04, 100.0, 100); 12],
            admission: Admission::Owed,
            per_s: 120.0,
            crowds: vec![crowd(6_000, 0), crowd(19_000, 5)],
            share: 0.9,
            restart: None,
            pause: None,
            duration: Span::from_millis(32_000),
            events: 12,
            gap: Span::from_millis(40),
            body: 12_000,
        }
    }
}
