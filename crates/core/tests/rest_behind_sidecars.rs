//! Guards against requests that are sent to an engine behind a sidecar during a pause that it asked
//! for.
//!
//! An engine that turns requests away with 503 says in a header for how long it wants none. A
//! sidecar that ignores the header reports that the request did not run, and sends the engine the
//! next one; the first test below finds such runs. The same failure without sidecars is tested in
//! `rest_asked_for`.

mod common;

use common::{failure, own, sent};
use sorreldeck::sidecar::{self, Event, Output, Sidecar};
use sorreldeck::wire::{Frame, Load, Run, Start, Usage, Welcome};
use sorreldeck::{
    entry, Class, Failure, Incarnation, Reason, RequestId, Revision, Span, Time, Verdict,
};

const PAUSE: Span = Span::from_millis(3_000);

fn ms(ms: u64) -> Time {
    Time(1_000_000) + Span::from_millis(ms)
}

fn new_sidecar() -> Sidecar {
    let mut sidecar = own::sidecar(1, 1, 0);
    sidecar.handle(ms(0), sidecar::Input::LinkUp(1));
    sidecar
}

fn start(number: u64) -> Frame {
    Frame::Start(Box::new(Start {
        run: Run::first(RequestId::new(1, number)),
        account: "acme".parse().unwrap(),
        weight: 1,
        class: Class::Standard,
        version: None,
        deadline_us: 20_000_000,
        tokens: 1,
        may_queue: true,
        revision: Revision(0),
        call: own::call("/clock"),
        metadata: None,
    }))
}

fn opened(outputs: &[Output]) -> usize {
    let opened = outputs.iter().filter(|o| matches!(o, Output::Open(_)));
    opened.count()
}

fn refusals(outputs: &[Output]) -> Vec<Failure> {
    let failures = outputs.iter().filter_map(|output| match output {
        Output::Send(_, Frame::Fail { failure, .. }) => Some(failure.clone()),
        _ => None,
    });
    failures.collect()
}

fn turned_away() -> Event {
    let failure = Failure::not_run(Reason::UpstreamFailed, "503").retry_after(PAUSE);
    Event::Fail(failure, Usage::default())
}

#[test]
fn a_sidecar_sends_nothing_during_the_pause_of_its_engine() {
    let mut sidecar = new_sidecar();
    let outputs = sidecar.handle(ms(0), sidecar::Input::Frame(1, start(1)));
    assert_eq!(opened(&outputs), 1);
    // The second request waits for the only slot when the engine asks for a pause.
    sidecar.handle(ms(10), sidecar::Input::Frame(1, start(2)));
    let run = Run::first(RequestId::new(1, 1));
    let outputs = sidecar.handle(ms(20), sidecar::Input::Upstream(run, turned_away()));
    assert_eq!(opened(&outputs), 0);
    assert_eq!(
        refusals(&outputs).len(),
        2,
        "waiting requests are refused at once"
    );
    let outputs = sidecar.handle(ms(1_020), sidecar::Input::Frame(1, start(3)));
    assert_eq!(opened(&outputs), 0);
    let refusals = refusals(&outputs);
    assert_eq!(refusals[0].verdict, Verdict::NotRun);
    assert_eq!(refusals[0].retry_after, Some(Span::from_millis(2_000)));
    let outputs = sidecar.handle(ms(3_020), sidecar::Input::Frame(1, start(4)));
    assert_eq!(
        opened(&outputs),
        1,
        "it gets requests again after its pause"
    );
}

struct Fixture {
    entry: entry::Entry,
    next: u64,
}

impl Fixture {
    fn new() -> Fixture {
        let mut entry = own::entry(1, ms(0));
        for link in 1..=2 {
            let welcome = Welcome {
                upstream: format!("u{link}").parse().unwrap(),
                pool: "clock".parse().unwrap(),
                hall: "hall".parse().unwrap(),
                incarnation: Incarnation(100 + link),
                revision: Revision(1),
                load: Load {
                    slots: 4,
                    ..Load::default()
                },
            };
            let frame = Frame::Welcome(welcome);
            entry.handle(ms(0), entry::Input::Frame(link, frame));
        }
        Fixture { entry, next: 0 }
    }

    fn ask(&mut self, now: Time) -> Vec<entry::Output> {
        self.next += 1;
        let ask = own::ask(self.next, "/clock/in", false);
        self.entry.handle(now, ask)
    }

    fn turn_away(&mut self, link: u64, run: Run, now: Time) -> Vec<entry::Output> {
        let frame = Frame::Fail {
            run,
            failure: Failure::not_run(Reason::UpstreamFailed, "503").retry_after(PAUSE),
            record: None,
            load: Load::default(),
        };
        self.entry.handle(now, entry::Input::Frame(link, frame))
    }
}

#[test]
fn an_entry_sends_nothing_to_a_sidecar_during_the_pause_of_its_upstream() {
    let mut fixture = Fixture::new();
    let outputs = fixture.ask(ms(0));
    let (first, run) = sent(&outputs).unwrap();
    let outputs = fixture.turn_away(first, run, ms(10));
    let (second, _) = sent(&outputs).expect("the request goes elsewhere");
    assert_ne!(first, second);
    for n in 0..20 {
        let outputs = fixture.ask(ms(20 + n * 100));
        assert_eq!(sent(&outputs).map(|(link, _)| link), Some(second));
    }
}

#[test]
fn clients_are_told_when_to_retry_if_all_upstreams_pause() {
    let mut fixture = Fixture::new();
    let outputs = fixture.ask(ms(0));
    let (first, run) = sent(&outputs).unwrap();
    let outputs = fixture.turn_away(first, run, ms(0));
    let (second, run) = sent(&outputs).unwrap();
    fixture.turn_away(second, run, ms(0));
    let outputs = fixture.ask(ms(500));
    let failure = failure(&outputs).expect("a refusal");
    assert_eq!(failure.verdict, Verdict::NotRun);
    assert_eq!(failure.retry_after, Some(Span::from_millis(2_500)));
}
