//! Streams that will be late where they are and in time elsewhere, played without a network.
//!
//! The targets are those of the callers: the first event within the objective, no pause beyond the
//! allowed one, the end within the time limit.

use sorreldeck::entry::handover::{Gain, Progress, Step, Stream, Usual};
use sorreldeck::pick::Outlook;
use sorreldeck::{Span, Time};
use test_case::test_case;

const OBJECTIVE: Span = Span::from_millis(2_000);
const PAUSE: Span = Span::from_millis(1_000);
const LIMIT: Span = Span::from_millis(10_000);
/// The interval between the ticks of an entry.
const TICK: Span = Span::from_millis(20);
/// The events of each stream.
const EVENTS: u64 = 40;
/// The usual interval between events, and the usual time to the first.
const INTERVAL: Span = Span::from_millis(60);
const FIRST: Span = Span::from_millis(200);

/// How an upstream works: the time to the first event and the interval between events, and from
/// which event on another interval holds.
#[derive(Clone, Copy, Debug)]
struct Upstream {
    first: Span,
    interval: Span,
    slows_at: u64,
    slow_interval: Span,
}

const USUAL: Upstream = Upstream {
    first: FIRST,
    interval: INTERVAL,
    slows_at: u64::MAX,
    slow_interval: INTERVAL,
};

fn slow_from(event: u64, interval_ms: u64) -> Upstream {
    Upstream {
        slows_at: event,
        slow_interval: Span::from_millis(interval_ms),
        ..USUAL
    }
}

fn slow_to_start(first_ms: u64) -> Upstream {
    Upstream {
        first: Span::from_millis(first_ms),
        ..USUAL
    }
}

fn outlook(first: Span, has_free: bool) -> Outlook {
    Outlook {
        first,
        has_free,
        backlog: Span::default(),
    }
}

fn usual() -> Usual {
    let mut usual = Usual::default();
    for _ in 0..20 {
        usual.record(EVENTS, INTERVAL);
    }
    usual
}

/// What the caller of a stream got.
#[derive(Debug, Default)]
struct Outcome {
    /// The numbers of the events, in the order in which they came.
    events: Vec<u64>,
    first_at: Time,
    longest_pause: Span,
    ended_at: Option<Time>,
    moves: Vec<Gain>,
}

impl Outcome {
    fn is_in_time(&self) -> bool {
        let ended = self.ended_at.is_some_and(|at| at <= Time(0) + LIMIT);
        ended && self.first_at <= Time(0) + OBJECTIVE && self.longest_pause <= PAUSE
    }
}

/// Plays one stream at `here`, which may move to `there` where the outlook allows it. Between
/// `stall` this process does not run, and events wait in its sockets.
fn play(here: Upstream, there: Upstream, elsewhere: Outlook, stall: Option<(u64, u64)>) -> Outcome {
    let mut outcome = Outcome::default();
    let mut stream = Stream {
        accepted_at: Time(0),
        deadline: Time(0) + LIMIT,
        objective: OBJECTIVE,
        pause: PAUSE,
        sent_at: Time(0),
        due: FIRST,
        progress: Progress::default(),
        usual: usual(),
    };
    let mut upstream = here;
    let mut next_at = Time(0) + upstream.first;
    let mut next_event = 1;
    let mut now = Time(0);
    while now <= stream.deadline && outcome.ended_at.is_none() {
        now = now + TICK;
        if let Some((from, to)) = stall {
            let ms = now.0 / 1_000;
            if (from..to).contains(&ms) {
                continue;
            }
            if (to..to + 20).contains(&ms) {
                stream.progress.resumed_at = now;
            }
        }
        while next_at <= now && next_event <= EVENTS {
            let by = stream.progress.next_by(Time(0), OBJECTIVE, PAUSE);
            match stream.progress.last_at {
                None => outcome.first_at = now,
                Some(last) => outcome.longest_pause = outcome.longest_pause.max(now.since(last)),
            }
            stream.progress.record(next_event, by, now);
            outcome.events.push(next_event);
            let interval = match next_event >= upstream.slows_at {
                true => upstream.slow_interval,
                false => upstream.interval,
            };
            next_at = next_at + interval;
            next_event += 1;
        }
        if next_event > EVENTS {
            outcome.ended_at = Some(now);
        }
        if let Step::Leave(gain) = stream.step(&elsewhere, now) {
            outcome.moves.push(gain);
            stream.progress.has_left = true;
            stream.progress.restart();
            stream.sent_at = now;
            upstream = there;
            next_at = now + upstream.first;
            next_event = stream.progress.last_event + 1;
        }
    }
    outcome
}

/// Guards against streams that stay at an upstream that crawls while others are idle.
#[test_case(slow_to_start(9_000), true; "the first event would come after the objective")]
#[test_case(slow_from(10, 2_000), true; "the pauses would be too long")]
#[test_case(slow_from(5, 600), true; "the end would come after the limit")]
#[test_case(slow_from(5, 150), false; "slower than usual and in time")]
#[test_case(slow_to_start(1_200), false; "late and within the objective")]
#[test_case(USUAL, false; "as usual")]
fn a_stream_at_a_slow_upstream_goes_on_elsewhere(here: Upstream, moves: bool) {
    let outcome = play(here, USUAL, outlook(FIRST, true), None);
    assert_eq!(outcome.moves.len(), usize::from(moves), "{outcome:?}");
    assert!(outcome.is_in_time(), "{outcome:?}");
    assert!(outcome.events.iter().copied().eq(1..=EVENTS));
}

/// Guards against streams that wander where nothing is gained: each move reads a prompt again.
#[test_case(outlook(FIRST, false); "nothing is free elsewhere")]
#[test_case(outlook(Span::from_millis(8_000), true); "the others are as slow to start")]
fn nobody_moves_where_all_are_slow(elsewhere: Outlook) {
    let slow = Upstream {
        first: Span::from_millis(1_500),
        ..slow_from(2, 1_500)
    };
    let outcome = play(slow, slow, elsewhere, None);
    assert!(outcome.moves.is_empty(), "{outcome:?}");
}

/// Guards against moves that are caused by a pause of this process: events then wait in its sockets.
#[test_case(Some((500, 1_400)); "in the middle")]
#[test_case(Some((100, 1_900)); "before the first event")]
#[test_case(Some((2_300, 6_000)); "beyond the allowed pause")]
fn a_stall_of_this_process_moves_nothing(stall: Option<(u64, u64)>) {
    let outcome = play(USUAL, USUAL, outlook(FIRST, true), stall);
    assert!(outcome.moves.is_empty(), "{outcome:?}");
    assert!(outcome.events.iter().copied().eq(1..=EVENTS));
}

#[test]
fn a_stream_moves_only_once() {
    let slow = slow_from(3, 900);
    let outcome = play(slow, slow, outlook(FIRST, true), None);
    assert_eq!(outcome.moves.len(), 1, "{outcome:?}");
}

/// Returns a stream whose events came every 50 ms and then ceased for 750 ms, and the present.
fn paused_stream(left: Span) -> (Stream, Time) {
    let mut progress = Progress::default();
    let mut now = Time(0) + FIRST;
    for event in 1..=30 {
        now = now + Span::from_millis(50);
        let by = progress.next_by(Time(0), OBJECTIVE, PAUSE);
        progress.record(event, by, now);
    }
    now = now + Span::from_millis(750);
    // Other upstreams are slower from event to event.
    let mut usual = Usual::default();
    for _ in 0..20 {
        usual.record(33, Span::from_millis(400));
    }
    let stream = Stream {
        accepted_at: Time(0),
        deadline: now + left,
        objective: OBJECTIVE,
        pause: PAUSE,
        sent_at: Time(0),
        due: FIRST,
        progress,
        usual,
    };
    (stream, now)
}

/// Guards against moves for a caller that does not read: nothing is then read from the upstream.
#[test_case(false, true)]
#[test_case(true, false)]
fn a_stream_that_its_caller_leaves_unread_stays(is_held: bool, leaves: bool) {
    let (mut stream, now) = paused_stream(Span::from_millis(5_000));
    stream.progress.is_held = is_held;
    let step = stream.step(&outlook(Span::from_millis(100), true), now);
    assert_eq!(matches!(step, Step::Leave(_)), leaves, "{step:?}");
}

/// Guards against a move for the next event that makes the end late.
#[test_case(5_000, true; "the end is in time elsewhere as well")]
#[test_case(600, false; "the end would be late elsewhere")]
fn a_stream_does_not_leave_for_a_late_end(left_ms: u64, leaves: bool) {
    let (stream, now) = paused_stream(Span::from_millis(left_ms));
    let step = stream.step(&outlook(Span::from_millis(100), true), now);
    assert_eq!(matches!(step, Step::Leave(_)), leaves, "{step:?}");
}

#[test]
fn the_reason_is_said_in_the_log() {
    let gain = Gain {
        events: 9,
        here: Span::from_millis(4_200),
        elsewhere: Span::from_millis(900),
    };
    assert_eq!(
        gain.to_string(),
        "left after 9 events, 4200 ms to go, 900 elsewhere"
    );
}
