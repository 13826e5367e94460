//! Search over orders of what can happen to a request whose run is silent and to the second run beside it.
//!
//! `SORRELDECK_DEPTH` sets the number of events.

mod common;

use sorreldeck::entry::{Entry, Head, Input, Member, Output, Part, Reply, Routed, Settings};
use sorreldeck::notice::Notice;
use sorreldeck::pick::{Link, Placement};
use sorreldeck::wire::{Confidence, Frame, Load, Run};
use sorreldeck::{Failure, Incarnation, Reason, RequestId, Span, Time, Verdict};
use test_case::test_case;

const TREE: &str = r#"
    [pools.engines]
    kind = "engine"
    [pools.clock]
    kind = "plain"
    [nodes."/"]
    [nodes."/a"]
    account = "a"
    keys = ["@"]
    rank = 1
    [routes.drafts]
    host = "pay.example"
    prefix = "/drafts/"
    pools = { engines = 1 }
    timeout = "20s"
    tries = 3
    rank = 1
    repeat = "resume"
    stream = true
    [routes.look]
    host = "pay.example"
    prefix = "/look/"
    pools = { clock = 1 }
    timeout = "20s"
    tries = 3
    repeat = "always"
    [routes.once]
    host = "pay.example"
    prefix = "/once/"
    pools = { clock = 1 }
    timeout = "20s"
    tries = 1
"#;

/// The time limit of the request.
const LIMIT: Span = Span::from_millis(12_000);
/// The longest interval between two ticks.
const TICK: Span = Span::from_millis(200);
/// The events of a whole stream.
const EVENTS: u64 = 3;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Event {
    /// Nothing is heard for long enough that another upstream is asked.
    Silence,
    /// A run sends the head of its answer.
    Head(usize),
    /// A run answers with an error.
    Error(usize),
    /// A run sends its next event, or for an answer that is no stream its body.
    Next(usize),
    /// An upstream refuses a run.
    Refuse(usize),
    /// A run breaks off.
    BreakOff(usize),
    /// The caller goes away.
    Leave,
    /// The time limit passes.
    Expire,
    /// The entry is stopped as planned.
    Drain,
}

/// A run at an upstream.
#[derive(Clone, Copy, Debug)]
struct Live {
    link: Link,
    run: Run,
    has_head: bool,
    /// The last event that it sent, or the one after which it began.
    last: u64,
}

struct World {
    entry: Entry,
    now: Time,
    is_stream: bool,
    request: RequestId,
    live: Vec<Live>,
    started: usize,
    refused: usize,
    delivered: u64,
    has_head: bool,
    ended: bool,
    is_failed: bool,
    faults: Vec<String>,
}

fn member(name: &str, pool: &str) -> Input {
    let member = Member {
        upstream: name.parse().unwrap(),
        pool: pool.parse().unwrap(),
        placement: Placement::default(),
        load: Load {
            slots: 4,
            ..Load::default()
        },
    };
    Input::Join(name[1..].parse().unwrap(), Box::new(member))
}

impl World {
    fn new(path: &str, upstreams: u64) -> World {
        let keys = format!("1:{}", "42".repeat(32)).parse().unwrap();
        let settings = Settings::new("e1".parse().unwrap(), Incarnation(1), keys, 7);
        let request = RequestId::new(1, 1);
        let mut world = World {
            entry: Entry::new(settings),
            now: Time(1_000_000),
            is_stream: path.starts_with("/drafts"),
            request,
            live: Vec::new(),
            started: 0,
            refused: 0,
            delivered: 0,
            has_head: false,
            ended: false,
            is_failed: false,
            faults: Vec::new(),
        };
        let text = TREE.replace('@', &sorreldeck::tree::hash_key("key"));
        world.handle(common::tree(&text));
        for number in 1..=upstreams {
            let pool = if world.is_stream { "engines" } else { "clock" };
            world.handle(member(&format!("u{number}"), pool));
        }
        let routed = Routed {
            time_left: Some(LIMIT),
            any_model: true,
            ..common::routed("r1".to_owned(), path)
        };
        world.handle(common::ask(request, Some("key"), routed));
        world
    }

    fn handle(&mut self, input: Input) {
        let spoke = match &input {
            Input::Reply(_, run, Reply::Data { .. } | Reply::End | Reply::Closed) => Some(*run),
            Input::Reply(_, run, Reply::Head(head)) if head.status < 500 && !self.has_head => {
                Some(*run)
            }
            _ => None,
        };
        let lost = match &input {
            Input::Reply(_, run, Reply::Fail(_)) => Some(*run),
            Input::Reply(_, run, Reply::Head(head)) if head.status >= 500 => Some(*run),
            _ => None,
        };
        let outputs = self.entry.handle(self.now, input);
        let ends = outputs
            .iter()
            .any(|o| matches!(o, Output::Answer(_, Part::End | Part::Fail(_))));
        for output in outputs {
            self.record(output, spoke, lost, ends);
        }
    }

    fn record(&mut self, output: Output, spoke: Option<Run>, lost: Option<Run>, ends: bool) {
        match output {
            Output::Send(link, Frame::Start(start)) => {
                let last = start.metadata.and_then(|m| m.last_event_id).unwrap_or(0);
                self.check(last == self.delivered, "a run begins at another event");
                self.started += 1;
                self.live.push(Live {
                    link,
                    run: start.run,
                    has_head: false,
                    last,
                });
                self.check(self.live.len() <= 2, "more than two runs");
            }
            Output::Send(_, Frame::Cancel(run)) => {
                let other_spoke = spoke.is_some_and(|spoke| spoke != run);
                let is_allowed = ends || other_spoke || lost == Some(run);
                self.check(is_allowed, "a run is cancelled though nobody went on");
                self.live.retain(|live| live.run != run);
            }
            Output::Answer(_, part) => self.deliver(part),
            _ => {}
        }
    }

    fn deliver(&mut self, part: Part) {
        self.check(!self.ended, "something is delivered after the end");
        match part {
            Part::Head { .. } => {
                self.check(!self.has_head, "two heads");
                self.has_head = true;
            }
            Part::Data(data) => {
                let text = String::from_utf8(data).unwrap();
                let number: u64 = text.trim().trim_start_matches("id: ").parse().unwrap();
                self.check(number == self.delivered + 1, "an event is missing or twice");
                self.delivered = number;
            }
            Part::End => {
                let is_whole = self.delivered == if self.is_stream { EVENTS } else { 1 };
                self.check(is_whole, "an answer ends as complete before its last event");
                self.ended = true;
            }
            Part::Fail(_) => {
                self.ended = true;
                self.is_failed = true;
            }
        }
    }

    fn check(&mut self, holds: bool, fault: &str) {
        if !holds {
            self.faults.push(fault.to_owned());
        }
    }

    fn pass(&mut self, span: Span) {
        let end = self.now + span;
        while self.now < end && !self.ended {
            self.now = self.now + TICK;
            self.handle(Input::Tick);
        }
    }

    fn reply(&mut self, index: usize, reply: Reply) {
        let live = self.live[index];
        self.handle(Input::Reply(live.link, live.run, reply));
    }

    fn head(&mut self, index: usize, status: u16) {
        let head = Head {
            status,
            headers: Vec::new(),
            confidence: Some(Confidence(0.9)),
            load: None,
            notice: Notice::default(),
        };
        self.live[index].has_head = true;
        self.reply(index, Reply::Head(head));
    }

    /// Returns the events that are possible now.
    fn events(&self) -> Vec<Event> {
        let mut events = vec![Event::Silence, Event::Leave, Event::Expire, Event::Drain];
        for (index, live) in self.live.iter().enumerate() {
            events.push(Event::BreakOff(index));
            match live.has_head {
                true => events.push(Event::Next(index)),
                false => {
                    let before = [Event::Head, Event::Error, Event::Refuse];
                    events.extend(before.map(|event| event(index)));
                }
            }
        }
        events
    }

    fn apply(&mut self, event: Event) {
        self.now = self.now + Span::from_millis(10);
        let was_live = self.live.len();
        match event {
            Event::Silence => self.pass(Span::from_millis(3_000)),
            Event::Head(index) => self.head(index, 200),
            Event::Error(index) => {
                let run = self.live[index].run;
                self.head(index, 500);
                self.live.retain(|live| live.run != run);
            }
            Event::Next(index) => self.next(index),
            Event::Refuse(index) => {
                self.refused += 1;
                self.fail(index, Verdict::NotRun);
            }
            Event::BreakOff(index) => self.fail(index, Verdict::MayHaveRun),
            Event::Leave => {
                let request = self.request;
                self.handle(Input::Disconnected(request));
            }
            Event::Expire => self.pass(LIMIT),
            Event::Drain => self.handle(Input::Drain),
        }
        if self.is_failed {
            let is_limit = self.now.since(Time(1_000_000)) >= LIMIT;
            let is_ended = was_live <= 1 && !matches!(event, Event::Silence | Event::Drain);
            let is_allowed = is_limit || event == Event::Leave || is_ended;
            self.check(is_allowed, "the answer is ended though a run was there");
        }
        if matches!(event, Event::Silence) && !self.ended {
            self.check(self.live.len() >= was_live, "silence ended a run");
        }
    }

    fn next(&mut self, index: usize) {
        let live = self.live[index];
        let last = if self.is_stream { EVENTS } else { 1 };
        if live.last == last {
            self.live.remove(index);
            return self.handle(Input::Reply(live.link, live.run, Reply::End));
        }
        self.live[index].last += 1;
        let reply = Reply::Data {
            data: format!("id: {}\n\n", live.last + 1).into_bytes(),
            last_event: Some(live.last + 1),
        };
        self.reply(index, reply);
    }

    fn fail(&mut self, index: usize, verdict: Verdict) {
        let live = self.live.remove(index);
        let reason = match verdict {
            Verdict::NotRun => Reason::Overloaded,
            _ => Reason::UpstreamFailed,
        };
        let failure = Failure::new(reason, verdict, "broken");
        self.handle(Input::Reply(live.link, live.run, Reply::Fail(failure)));
    }

    /// Returns what is wrong once the request has ended.
    fn left_behind(&self) -> Option<String> {
        if !self.live.is_empty() {
            return Some(format!("{} runs are left", self.live.len()));
        }
        if !self.entry.is_idle() {
            return Some("the request is kept".to_owned());
        }
        let own = |link| self.entry.peers().get(link).map(|p| p.known(self.now).own);
        let charged: u32 = (1..=3).filter_map(own).sum();
        (charged > 0).then(|| format!("{charged} runs are still charged"))
    }
}

fn play(path: &str, upstreams: u64, events: &[Event]) -> World {
    let mut world = World::new(path, upstreams);
    for event in events {
        world.apply(*event);
        if world.ended || !world.faults.is_empty() {
            break;
        }
    }
    world
}

/// Each row: the path of the request and the number of upstreams.
#[test_case("/drafts/1", 1; "a stream at the only upstream")]
#[test_case("/drafts/1", 2; "a stream at one of two upstreams")]
#[test_case("/drafts/1", 3; "a stream at one of three upstreams")]
#[test_case("/look/1", 2; "an answer that may be repeated")]
#[test_case("/once/1", 2; "an answer that may not be repeated")]
fn no_order_of_silence_and_second_runs_loses_or_mixes_an_answer(path: &str, upstreams: u64) {
    let depth = std::env::var("SORRELDECK_DEPTH").ok();
    let depth: usize = depth.and_then(|n| n.parse().ok()).unwrap_or(5);
    let mut orders: Vec<Vec<Event>> = vec![Vec::new()];
    let (mut found, mut faults) = (0, Vec::new());
    for _ in 0..depth {
        let mut next = Vec::new();
        for order in &orders {
            for event in play(path, upstreams, order).events() {
                let mut order = order.clone();
                order.push(event);
                let world = play(path, upstreams, &order);
                found += 1;
                let left = world.ended.then(|| world.left_behind()).flatten();
                let fault = world.faults.first().cloned().or(left);
                let is_once = path.starts_with("/once") && world.started > 1 + world.refused;
                let fault = fault.or(is_once.then(|| "it ran twice".to_owned()));
                let tries = world.started - world.refused;
                let fault = fault.or((tries > 3).then(|| format!("{tries} tries")));
                match fault {
                    Some(fault) => faults.push(format!("{fault} after {order:?}")),
                    None if !world.ended => next.push(order),
                    None => {}
                }
            }
        }
        orders = next;
    }
    println!("{found} orders, {} faults", faults.len());
    faults.truncate(5);
    assert!(faults.is_empty(), "{faults:#?}");
    assert!(found > 100, "{found} orders");
}
