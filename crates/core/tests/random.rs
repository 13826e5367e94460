//! Randomised simulation of entries and sidecars: links break, processes are killed, versions are
//! withdrawn, data halls are evacuated and answers of the store are lost. Entries and sidecars
//! check their invariants themselves; this test checks what only an outside observer sees: the
//! answers of callers, the runs at engines and the bill.
//!
//! `SORRELDECK_CASES` sets the number of cases, each of up to 800 steps.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use sorreldeck::bill::{Record, Total};
use sorreldeck::entry::{self, Chat, Entry, Part, Payload, Rating, Request, Sample};
use sorreldeck::pick::Link;
use sorreldeck::sidecar::{self, Event, Sidecar};
use sorreldeck::tree::{Edit, Key, Section};
use sorreldeck::wire::{Call, Confidence, Frame, Run, Usage};
use sorreldeck::{
    Failure, Hall, Incarnation, Invariant, Invariants, Reason, RequestId, Span, Time, Tree,
    Verdict, VersionId,
};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

const TREE: &str = r#"
    [pools.engines]
    kind = "engine"
    [pools.clock]
    kind = "plain"
    prefix = "/clock"
    once = ["POST"]
    [models.big]
    split = { big-1 = "50%", big-2 = "50%" }
    [models.small]
    split = { small-1 = "100%" }
    [versions.big-1]
    model = "big"
    pool = "engines"
    price_out = 10
    [versions.big-2]
    model = "big"
    pool = "engines"
    price_out = 10
    successor = "big-1"
    [versions.small-1]
    model = "small"
    pool = "engines"
    price_out = 1
    [cascades.both]
    steps = [{ version = "small-1" }, { version = "big-1" }]
    target = "80%"
    [nodes."/"]
    deadline = "20s"
    [nodes."/a"]
    account = "a"
    keys = ["@"]
    models = ["big", "both"]
    versions = ["big-1", "big-2", "small-1"]
    services = ["clock"]
"#;

const ENTRIES: usize = 2;
const ENGINES: usize = 2;
const SIDECARS: usize = 3;
const PARTS: u32 = 3;

struct Wire {
    entry: usize,
    sidecar: usize,
    to_sidecar: VecDeque<Frame>,
    to_entry: VecDeque<Frame>,
}

struct EngineRun {
    sidecar: usize,
    chat: bool,
    sent: u32,
    headed: bool,
}

#[derive(Default)]
struct Caller {
    entry: usize,
    once: bool,
    body: Vec<u8>,
    headed: bool,
    end: Option<Result<(), Failure>>,
    disconnected: bool,
}

/// The kind of process that is killed in a case. Killing both kinds may lose a record whose two
/// copies are lost together, as docs/PROMISES.md says.
#[derive(Clone, Copy, PartialEq)]
enum Victim {
    Entry,
    Sidecar,
}

struct Simulation {
    now: Time,
    tree: Arc<Tree>,
    entries: Vec<Entry>,
    sidecars: Vec<Sidecar>,
    incarnations: u64,
    wires: BTreeMap<Link, Wire>,
    next_link: Link,
    next_request: u64,
    running: BTreeMap<Run, EngineRun>,
    starts: BTreeMap<RequestId, u32>,
    finished: BTreeSet<(RequestId, u16)>,
    callers: BTreeMap<RequestId, Caller>,
    sessions: Vec<String>,
    samples: Vec<(usize, Sample)>,
    stored: Vec<Record>,
    victim: Victim,
    /// Time until which the engine of each sidecar has asked for no requests.
    resting_until: BTreeMap<usize, Time>,
    writes: u64,
}

fn keys() -> String {
    format!("1:{}", "42".repeat(32))
}

fn new_entry(incarnation: u64) -> Entry {
    let name = "entry".parse().unwrap();
    let keys = keys().parse().unwrap();
    Entry::new(entry::Settings::new(
        name,
        Incarnation(incarnation),
        keys,
        incarnation,
    ))
}

/// Returns the data hall of a sidecar: each hall has one engine, the first one also the plain
/// service.
fn hall_of(sidecar: usize) -> Hall {
    format!("hall-{}", sidecar % ENGINES).parse().unwrap()
}

fn new_sidecar(number: usize, incarnation: u64) -> Sidecar {
    Sidecar::new(sidecar::Settings {
        upstream: format!("u{number}").parse().unwrap(),
        pool: if number < ENGINES { "engines" } else { "clock" }
            .parse()
            .unwrap(),
        hall: hall_of(number),
        incarnation: Incarnation(incarnation),
        slots: 3,
        reserve: 1,
        prefill_rate: 1000,
        fifo: false,
    })
}

fn violations(invariants: &Invariants) -> u64 {
    Invariant::ALL.iter().map(|i| invariants.violated(*i)).sum()
}

impl Simulation {
    fn new(victim: Victim) -> Simulation {
        let text = TREE.replace('@', &sorreldeck::tree::hash_key("key"));
        let entries = sorreldeck::tree::parse_toml(&text).unwrap();
        let tree = Tree::from_entries(sorreldeck::Revision(1), entries).unwrap();
        let mut simulation = Simulation {
            now: Time(1_000_000),
            tree: Arc::new(tree),
            entries: (0..ENTRIES).map(|i| new_entry(i as u64 + 1)).collect(),
            sidecars: (0..SIDECARS)
                .map(|i| new_sidecar(i, 100 + i as u64))
                .collect(),
            incarnations: 1000,
            wires: BTreeMap::new(),
            next_link: 1,
            next_request: 1,
            running: BTreeMap::new(),
            starts: BTreeMap::new(),
            finished: BTreeSet::new(),
            callers: BTreeMap::new(),
            sessions: Vec::new(),
            samples: Vec::new(),
            stored: Vec::new(),
            victim,
            resting_until: BTreeMap::new(),
            writes: 0,
        };
        simulation.distribute_tree();
        simulation.connect_all();
        simulation
    }

    /// Applies the current configuration at all entries and sidecars.
    fn distribute_tree(&mut self) {
        for i in 0..ENTRIES {
            self.handle_entry(i, entry::Input::Tree(self.tree.clone()));
        }
        for i in 0..SIDECARS {
            self.handle_sidecar(i, sidecar::Input::Tree(self.tree.clone()));
        }
    }

    fn connect_all(&mut self) {
        for entry in 0..ENTRIES {
            for sidecar in 0..SIDECARS {
                let linked = self
                    .wires
                    .values()
                    .any(|w| w.entry == entry && w.sidecar == sidecar);
                if !linked {
                    self.connect(entry, sidecar);
                }
            }
        }
    }

    fn connect(&mut self, entry: usize, sidecar: usize) {
        let link = self.next_link;
        self.next_link += 1;
        let wire = Wire {
            entry,
            sidecar,
            to_sidecar: VecDeque::new(),
            to_entry: VecDeque::new(),
        };
        self.wires.insert(link, wire);
        self.handle_sidecar(sidecar, sidecar::Input::LinkUp(link));
    }

    fn cut(&mut self, link: Link) {
        if let Some(wire) = self.wires.remove(&link) {
            self.handle_entry(wire.entry, entry::Input::LinkDown(link));
            self.handle_sidecar(wire.sidecar, sidecar::Input::LinkDown(link));
        }
    }

    fn handle_entry(&mut self, i: usize, input: entry::Input) {
        let outputs = self.entries[i].handle(self.now, input);
        for output in outputs {
            self.entry_output(i, output);
        }
        assert_eq!(
            violations(self.entries[i].invariants()),
            0,
            "{:?}",
            self.entries[i].invariants()
        );
    }

    fn handle_sidecar(&mut self, i: usize, input: sidecar::Input) {
        let outputs = self.sidecars[i].handle(self.now, input);
        for output in outputs {
            self.sidecar_output(i, output);
        }
        assert_eq!(
            violations(self.sidecars[i].invariants()),
            0,
            "{:?}",
            self.sidecars[i].invariants()
        );
    }

    fn entry_output(&mut self, i: usize, output: entry::Output) {
        match output {
            entry::Output::Send(link, frame) => {
                if matches!(frame, Frame::Start(_)) {
                    self.check_hall(i, link);
                }
                if let Some(wire) = self.wires.get_mut(&link) {
                    wire.to_sidecar.push_back(frame);
                }
            }
            entry::Output::Answer(request, part) => self.deliver_part(request, part),
            entry::Output::Rate(sample) => self.samples.push((i, sample)),
            entry::Output::Write(batch) => {
                self.stored.extend(batch.records.clone());
                self.handle_entry(i, entry::Input::Written(batch.number));
            }
            entry::Output::Claim(request, _) => {
                self.handle_entry(i, entry::Input::Claimed(request, Ok(())));
            }
            entry::Output::Behind(_) => self.handle_entry(i, entry::Input::Tree(self.tree.clone())),
            entry::Output::Ahead(link, _) => {
                let sidecar = self.wires.get(&link).map(|w| w.sidecar);
                if let Some(sidecar) = sidecar {
                    let tree = self.entries[i].tree().clone();
                    if tree.revision() > self.sidecars[sidecar].tree().revision() {
                        self.handle_sidecar(sidecar, sidecar::Input::Tree(tree));
                    }
                }
            }
            entry::Output::QuarantineUpdate(update) => {
                let wires = self.wires.values_mut().filter(|w| w.entry == i);
                for wire in wires {
                    wire.to_sidecar
                        .push_back(Frame::Quarantine(vec![update.clone()]));
                }
            }
            entry::Output::Forward(..)
            | entry::Output::RecordQuarantine(_)
            | entry::Output::Probe(_)
            | entry::Output::Prefill(..)
            | entry::Output::SessionAffinity(..)
            | entry::Output::Suspect(_)
            | entry::Output::Notice(_)
            | entry::Output::SpeedSums(_)
            | entry::Output::Overdue(..)
            | entry::Output::RequestStarted(_)
            | entry::Output::RequestEnded(_) => {}
        }
    }

    fn sidecar_output(&mut self, i: usize, output: sidecar::Output) {
        match output {
            sidecar::Output::Send(link, frame) => {
                if let Some(wire) = self.wires.get_mut(&link) {
                    wire.to_entry.push_back(frame);
                }
            }
            sidecar::Output::Open(start) => self.start(i, &start),
            sidecar::Output::Abort(run) => {
                if self.running.remove(&run).is_some() {
                    let failure = Failure::new(Reason::Cancelled, Verdict::Ran, "stopped");
                    let event = Event::Fail(failure, Usage::default());
                    self.handle_sidecar(i, sidecar::Input::Upstream(run, event));
                }
            }
            sidecar::Output::Write(batch) => {
                self.stored.extend(batch.records.clone());
                // Every second acknowledgement of the store is lost.
                self.writes += 1;
                let input = match self.writes % 2 {
                    0 => sidecar::Input::Written(batch.number),
                    _ => sidecar::Input::NotWritten(batch.number),
                };
                self.handle_sidecar(i, input);
            }
            sidecar::Output::Behind(_) => {
                self.handle_sidecar(i, sidecar::Input::Tree(self.tree.clone()));
            }
            sidecar::Output::Ahead(..) | sidecar::Output::Closed(_) => {}
        }
    }

    fn start(&mut self, sidecar: usize, start: &sorreldeck::wire::Start) {
        let until = self
            .resting_until
            .get(&sidecar)
            .copied()
            .unwrap_or_default();
        assert!(
            self.now >= until,
            "u{sidecar} gets a request before its retry-after time has passed"
        );
        let request = start.run.request;
        let starts = self.starts.entry(request).or_default();
        *starts += 1;
        let once = self.callers.get(&request).is_some_and(|c| c.once);
        assert!(
            !once || *starts == 1,
            "{request} may not be repeated but ran {starts} times"
        );
        // A request that was refused as not run must not be started afterwards.
        let reported = self.callers.get(&request).and_then(|c| c.end.as_ref());
        if let Some(Err(failure)) = reported {
            assert_ne!(
                failure.verdict,
                Verdict::NotRun,
                "{request} ran after it was refused"
            );
        }
        let at = EngineRun {
            sidecar,
            chat: start.version.is_some(),
            sent: 0,
            headed: false,
        };
        assert!(
            self.running.insert(start.run, at).is_none(),
            "{} runs twice",
            start.run
        );
    }

    fn deliver_part(&mut self, request: RequestId, part: Part) {
        let Some(caller) = self.callers.get_mut(&request) else {
            return;
        };
        assert!(
            caller.end.is_none(),
            "{request} heard something after its end"
        );
        match part {
            Part::Head { headers, .. } => {
                assert!(!caller.headed, "{request} got two heads");
                caller.headed = true;
                let token = headers
                    .iter()
                    .find(|h| h.name == sorreldeck::header::SESSION);
                self.sessions.extend(token.map(|h| h.value.clone()));
            }
            Part::Data(data) => caller.body.extend(data),
            Part::End => {
                let body = String::from_utf8(caller.body.clone()).unwrap();
                let run = body.split(':').next().unwrap_or_default().to_owned();
                assert!(
                    run.starts_with(&request.to_string()),
                    "{request} got the answer {body}"
                );
                let expected: String = (0..PARTS).map(|i| format!("{run}:{i};")).collect();
                assert_eq!(body, expected, "{request} got an incomplete answer");
                caller.end = Some(Ok(()));
            }
            Part::Fail(failure) => {
                let starts = self.starts.get(&request).copied().unwrap_or(0);
                let reported = failure.verdict;
                assert!(
                    reported != Verdict::NotRun || starts == 0,
                    "{request}: {failure}, but it ran"
                );
                caller.end = Some(Err(failure));
            }
        }
    }

    fn send_request(
        &mut self,
        entry: usize,
        content: Payload,
        once: bool,
        session: Option<String>,
    ) {
        let request = RequestId::new(7, self.next_request);
        self.next_request += 1;
        let caller = Caller {
            entry,
            once,
            ..Caller::default()
        };
        self.callers.insert(request, caller);
        let message = Request {
            request,
            key: Some("key".into()),
            route: None,
            class: None,
            session,
            at_most_once: false,
            idempotency_key: None,
            payload: content,
        };
        self.handle_entry(entry, entry::Input::Request(Box::new(message)));
    }

    fn chat(&mut self, entry: usize, model: &str, session: Option<String>) {
        let body = format!(r#"{{"model": "{model}", "max_tokens": 3, "messages": []}}"#);
        let chat = Chat::from_slice(body.as_bytes()).unwrap();
        self.send_request(entry, Payload::Chat(Box::new(chat)), false, session);
    }

    fn plain(&mut self, entry: usize, method: &str) {
        let call = Call {
            method: method.into(),
            path: "/clock/in".into(),
            headers: Vec::new(),
            body: Vec::new(),
        };
        self.send_request(entry, Payload::Plain(call), method == "POST", None);
    }

    fn deliver(&mut self, nth: usize, up: bool) {
        let busy = |w: &Wire| {
            if up {
                !w.to_sidecar.is_empty()
            } else {
                !w.to_entry.is_empty()
            }
        };
        let links: Vec<Link> = self
            .wires
            .iter()
            .filter(|(_, w)| busy(w))
            .map(|(l, _)| *l)
            .collect();
        let Some(link) = links.get(nth % links.len().max(1)).copied() else {
            return;
        };
        let Some(wire) = self.wires.get_mut(&link) else {
            return;
        };
        let (entry, sidecar) = (wire.entry, wire.sidecar);
        let frame = if up {
            wire.to_sidecar.pop_front()
        } else {
            wire.to_entry.pop_front()
        };
        match (frame, up) {
            (Some(frame), true) => self.handle_sidecar(sidecar, sidecar::Input::Frame(link, frame)),
            (Some(frame), false) => self.handle_entry(entry, entry::Input::Frame(link, frame)),
            (None, _) => {}
        }
    }

    /// Duplicates the next frame of a link if it starts a run.
    fn duplicate(&mut self, nth: usize) {
        let links: Vec<Link> = self.wires.keys().copied().collect();
        let Some(link) = links.get(nth % links.len().max(1)) else {
            return;
        };
        if let Some(wire) = self.wires.get_mut(link) {
            if let Some(frame @ Frame::Start(_)) = wire.to_sidecar.front().cloned() {
                wire.to_sidecar.push_front(frame);
            }
        }
    }

    /// Advances a run at an upstream by one event, or makes it fail.
    fn progress(&mut self, nth: usize, fail: bool) {
        let runs: Vec<Run> = self.running.keys().copied().collect();
        let Some(run) = runs.get(nth % runs.len().max(1)).copied() else {
            return;
        };
        let at = self.running.get_mut(&run).unwrap();
        let sidecar = at.sidecar;
        let usage = Usage {
            prompt: 1,
            generated: u64::from(at.sent),
            cached: 0,
        };
        let event = if fail {
            self.running.remove(&run);
            Event::Fail(
                Failure::new(Reason::UpstreamFailed, Verdict::MayHaveRun, "broke"),
                usage,
            )
        } else if !at.headed {
            at.headed = true;
            Event::Head {
                status: 200,
                headers: Vec::new(),
            }
        } else if at.sent < PARTS {
            at.sent += 1;
            Event::Data(format!("{run}:{};", at.sent - 1).into_bytes())
        } else {
            let chat = at.chat;
            self.running.remove(&run);
            if chat {
                self.finished.insert((run.request, run.step));
            }
            Event::End(usage, chat.then_some(Confidence(0.5)))
        };
        self.handle_sidecar(sidecar, sidecar::Input::Upstream(run, event));
    }

    /// Makes an engine refuse a run that has not begun, with a retry-after time.
    fn refuse(&mut self, nth: usize, rest_ms: u64) {
        let waiting = self.running.iter().filter(|(_, at)| !at.headed);
        let waiting: Vec<Run> = waiting.map(|(run, _)| *run).collect();
        let Some(run) = waiting.get(nth % waiting.len().max(1)).copied() else {
            return;
        };
        let at = self.running.remove(&run).unwrap();
        let starts = self.starts.get_mut(&run.request);
        *starts.expect("a run was started") -= 1;
        let rest = Span::from_millis(rest_ms);
        let until = self.resting_until.entry(at.sidecar).or_default();
        *until = (*until).max(self.now + rest);
        let failure = Failure::not_run(Reason::UpstreamFailed, "turned away").retry_after(rest);
        let event = Event::Fail(failure, Usage::default());
        self.handle_sidecar(at.sidecar, sidecar::Input::Upstream(run, event));
    }

    fn toggle(&mut self, version: &str) {
        let version: VersionId = version.parse().unwrap();
        let key = Key::new(Section::Versions, &version);
        let mut entry = self.tree.entries()[&key].clone();
        let withdrawn = entry["state"] == "withdrawn";
        entry["state"] = if withdrawn { "serving" } else { "withdrawn" }.into();
        let edit = Edit {
            key,
            old: None,
            new: Some(entry),
        };
        let revision = self.tree.revision().next();
        self.tree = Arc::new(self.tree.with(&[edit], revision).unwrap());
    }

    /// Evacuates a data hall, or revokes its evacuation.
    fn evacuate(&mut self, nth: usize) {
        let key = Key::new(Section::Halls, hall_of(nth % ENGINES));
        let is_empty = self.tree.entries().contains_key(&key);
        let edit = Edit {
            key,
            old: None,
            new: (!is_empty).then(|| serde_json::json!({"evacuated": true})),
        };
        let revision = self.tree.revision().next();
        self.tree = Arc::new(self.tree.with(&[edit], revision).unwrap());
    }

    /// Checks that an entry sends no request to a data hall that its configuration evacuates.
    fn check_hall(&self, entry: usize, link: Link) {
        let Some(wire) = self.wires.get(&link) else {
            return;
        };
        let hall = hall_of(wire.sidecar);
        let mut evacuated = self.entries[entry].tree().evacuated();
        assert!(evacuated.all(|h| *h != hall), "a request is sent to {hall}");
    }

    fn kill(&mut self, nth: usize) {
        self.incarnations += 1;
        match self.victim {
            Victim::Sidecar => {
                let i = nth % SIDECARS;
                self.cut_where(|w| w.sidecar == i);
                self.running.retain(|_, at| at.sidecar != i);
                self.sidecars[i] = new_sidecar(i, self.incarnations);
                self.resting_until.remove(&i);
                self.handle_sidecar(i, sidecar::Input::Tree(self.tree.clone()));
            }
            Victim::Entry => {
                let i = nth % ENTRIES;
                // Its callers get no further answers.
                self.callers.retain(|_, c| c.entry != i || c.end.is_some());
                self.samples.retain(|(e, _)| *e != i);
                self.entries[i] = new_entry(self.incarnations);
                self.cut_where(|w| w.entry == i);
                self.handle_entry(i, entry::Input::Tree(self.tree.clone()));
            }
        }
        self.connect_all();
    }

    fn cut_where(&mut self, matches: impl Fn(&Wire) -> bool) {
        let links: Vec<Link> = self
            .wires
            .iter()
            .filter(|(_, w)| matches(w))
            .map(|(l, _)| *l)
            .collect();
        for link in links {
            self.cut(link);
        }
    }

    fn drain_and_replace(&mut self, nth: usize) {
        let i = nth % SIDECARS;
        self.handle_sidecar(i, sidecar::Input::Drain);
        if self.sidecars[i].is_idle() {
            self.incarnations += 1;
            self.cut_where(|w| w.sidecar == i);
            self.sidecars[i] = new_sidecar(i, self.incarnations);
            self.resting_until.remove(&i);
            self.handle_sidecar(i, sidecar::Input::Tree(self.tree.clone()));
            self.connect_all();
        }
    }

    fn tick(&mut self, nth: usize, millis: u64) {
        self.now = self.now + Span::from_millis(millis) + Span::from_micros(millis % 7);
        match nth % (ENTRIES + SIDECARS) {
            i if i < ENTRIES => self.handle_entry(i, entry::Input::Tick),
            i => self.handle_sidecar(i - ENTRIES, sidecar::Input::Tick),
        }
    }

    fn rate(&mut self, good: bool) {
        if let Some((i, sample)) = self.samples.pop() {
            let score = f64::from(u8::from(good));
            self.handle_entry(i, entry::Input::Rated(Rating { sample, score }));
        }
    }

    fn step(&mut self, op: u8, a: u8, b: u8) {
        let nth = usize::from(a);
        match op % 32 {
            0 | 1 => self.chat(nth % ENTRIES, "big", None),
            2 => self.chat(nth % ENTRIES, "both", None),
            3 => {
                let session = self.sessions.get(usize::from(b)).cloned();
                self.chat(nth % ENTRIES, "big", session);
            }
            4 => self.plain(nth % ENTRIES, "POST"),
            5 => self.plain(nth % ENTRIES, "GET"),
            6..=11 => self.deliver(nth, true),
            12..=17 => self.deliver(nth, false),
            18..=23 => self.progress(nth, false),
            24 if b % 2 == 0 => self.refuse(nth, u64::from(b) * 10),
            24 => self.progress(nth, true),
            25 => self.tick(nth, u64::from(b)),
            26 => {
                let link = self
                    .wires
                    .keys()
                    .nth(nth % self.wires.len().max(1))
                    .copied();
                link.into_iter().for_each(|l| self.cut(l));
            }
            27 => self.connect_all(),
            28 => match b % 6 {
                0 => self.toggle("big-2"),
                1 => self.kill(nth),
                2 => self.drain_and_replace(nth),
                3 => self.duplicate(nth),
                4 => self.evacuate(nth),
                _ => self.rate(b % 2 == 0),
            },
            29 => {
                let (i, tree) = (nth % (ENTRIES + SIDECARS), self.tree.clone());
                match i < ENTRIES {
                    true => self.handle_entry(i, entry::Input::Tree(tree)),
                    false => self.handle_sidecar(i - ENTRIES, sidecar::Input::Tree(tree)),
                }
            }
            30 => self.disconnect_caller(nth),
            _ => self.rate(b % 3 > 0),
        }
    }

    fn disconnect_caller(&mut self, nth: usize) {
        let open: Vec<RequestId> = self
            .callers
            .iter()
            .filter(|(_, c)| c.end.is_none() && !c.disconnected)
            .map(|(r, _)| *r)
            .collect();
        if let Some(request) = open.get(nth % open.len().max(1)) {
            let caller = self.callers.get_mut(request).unwrap();
            caller.disconnected = true;
            let entry = caller.entry;
            self.handle_entry(entry, entry::Input::Disconnected(*request));
        }
    }

    /// Delivers all frames, completes all runs, and checks that every request has ended and that the
    /// bill is right.
    fn settle(&mut self) {
        self.distribute_tree();
        self.connect_all();
        for round in 0..400 {
            while self.wires.values().any(|w| !w.to_sidecar.is_empty()) {
                self.deliver(round, true);
            }
            while self.wires.values().any(|w| !w.to_entry.is_empty()) {
                self.deliver(round, false);
            }
            for _ in 0..self.running.len() * 6 {
                self.progress(round, false);
            }
            for i in 0..ENTRIES + SIDECARS {
                self.tick(i, 60);
            }
        }
        for (request, caller) in &self.callers {
            assert!(caller.end.is_some(), "{request} never got its final answer");
        }
        self.check_bill();
    }

    /// Checks that every complete answer that reached its caller is billed, and that no step is
    /// billed twice.
    fn check_bill(&mut self) {
        let totals = Total::add_up(&self.stored);
        let billed: BTreeSet<(RequestId, u16)> = self
            .stored
            .iter()
            .map(|r| (r.run.request, r.run.step))
            .collect();
        let requests: u64 = totals.values().map(|t| t.requests).sum();
        assert_eq!(
            requests as usize,
            billed.len(),
            "the totals count a step twice"
        );
        for (request, caller) in &self.callers {
            let chat = self.finished.iter().any(|(r, _)| r == request);
            if chat && matches!(caller.end, Some(Ok(()))) {
                let any = billed.iter().any(|(r, _)| r == request);
                assert!(any, "{request} was answered but is not billed");
            }
        }
    }
}

fn cases() -> u32 {
    let cases = std::env::var("SORRELDECK_CASES").ok();
    cases.and_then(|n| n.parse().ok()).unwrap_or(150)
}

proptest! {
    #![proptest_config(Config {
        cases: cases(),
        rng_seed: RngSeed::Fixed(20_261_202),
        failure_persistence: None,
        max_shrink_iters: 4000,
        ..Config::default()
    })]

    #[test]
    fn invariants_hold_under_random_faults(
        steps in prop::collection::vec(any::<(u8, u8, u8)>(), 1..800),
        kill_entries in any::<bool>(),
    ) {
        let victim = if kill_entries { Victim::Entry } else { Victim::Sidecar };
        let mut simulation = Simulation::new(victim);
        for (op, a, b) in steps {
            simulation.step(op, a, b);
        }
        simulation.settle();

    }
}
