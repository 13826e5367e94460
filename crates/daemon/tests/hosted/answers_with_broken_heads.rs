//! Guards against answers whose heads are broken and reach callers as complete answers.

use super::*;
use sorreldeck_emulator::answer::{pairs, singles, Answer, Case, Part, Spoil, SPOILS, VARIANTS};
use test_case::test_case;

/// The id of the requests of this file.
const REQUEST: &str = "9c41d07b";
/// How many pairs of spoilt fields CI plays, and by which seed.
const PAIRS: usize = 150;
const SEED: u64 = 1;

fn sound() -> Answer {
    Answer::new(REQUEST, b"work")
}

impl Harness {
    /// Sends a request that all upstreams answer with these bytes.
    async fn call_raw(&self, route: &str, bytes: &[u8]) -> String {
        for upstream in &self.upstreams {
            upstream.set_raw(bytes.to_vec());
        }
        self.call(&format!("/{route}/raw")).await
    }
}

/// Returns what is wrong with what the caller got of a broken answer to a request that may have run.
fn fault_of(got: &str) -> Option<String> {
    let is_told = status(got) == 502 && !got.contains("response-signature");
    (!is_told).then(|| got.chars().take(400).collect())
}

/// Plays spoilt answers on a route that runs a request once; fails with all that reach the caller.
fn check_none_passes(cases: &[Case]) {
    task::block_on(async {
        let harness = Harness::start().await;
        let mut faults = Vec::new();
        for Case { name, answer } in cases {
            let got = harness.call_raw("once", &answer.bytes()).await;
            faults.extend(fault_of(&got).map(|got| format!("{name}: {got}")));
        }
        let got = harness.call_raw("once", &sound().bytes()).await;
        assert_eq!(status(&got), 200, "a sound answer after them: {got}");
        let (count, of) = (faults.len(), cases.len());
        assert!(faults.is_empty(), "{count} of {of}:\n{}", faults.join("\n"));
    });
}

fn spoilt_in(part: Part) -> Vec<Case> {
    let spoils = SPOILS.iter().filter(|spoil| spoil.part == part);
    let spoils: Vec<Spoil> = spoils.copied().collect();
    singles(&sound(), &spoils)
}

#[test_case(Part::Length; "where it tells the length")]
#[test_case(Part::Chunks; "where it tells of chunks")]
#[test_case(Part::Line; "by a line that is no field")]
#[test_case(Part::Status; "in its status")]
#[test_case(Part::Name; "in the name of a field")]
#[test_case(Part::Value; "in the value of a field")]
#[test_case(Part::Version; "in its version")]
fn no_answer_reaches_a_caller_whose_head_is_spoilt(part: Part) {
    check_none_passes(&spoilt_in(part));
}

#[test]
fn no_answer_reaches_a_caller_whose_head_is_spoilt_twice() {
    check_none_passes(&pairs(&sound(), PAIRS, SEED));
}

/// Guards against an answer that two requests could claim, or whose body is not the upstream's.
#[test_case("request-id: 0badc0de"; "another id beside that of the request")]
#[test_case("response-signature: s.2"; "another receipt beside the first")]
#[test_case("response-signature:"; "an empty receipt beside the first")]
#[test_case("content-encoding: gzip"; "an encoding that nobody asked for")]
#[test_case("not-executed: 1\r\nrequest-id: 0badc0de"; "another id in what looks like a refusal")]
fn no_answer_reaches_a_caller_whose_fields_contradict(line: &str) {
    task::block_on(async {
        let harness = Harness::start().await;
        for at in [0, sound().lines.len()] {
            let mut answer = sound();
            answer.lines.insert(at, line.into());
            let got = harness.call_raw("once", &answer.bytes()).await;
            assert_eq!(fault_of(&got), None);
        }
    });
}

#[test]
fn no_answer_reaches_a_caller_whose_receipt_is_empty() {
    task::block_on(async {
        let harness = Harness::start().await;
        let mut answer = sound();
        answer.lines[1] = b"response-signature: ".into();
        let got = harness.call_raw("once", &answer.bytes()).await;
        assert_eq!(status(&got), 502, "{got}");
    });
}

/// Lines that repeat the same are no contradiction, and no line takes the receipt away.
#[test_case("request-id: 9c41d07b")]
#[test_case("response-signature: s.1")]
#[test_case("connection: response-signature, request-id")]
fn an_answer_whose_fields_agree_reaches_the_caller(line: &str) {
    task::block_on(async {
        let harness = Harness::start().await;
        let mut answer = sound();
        answer.lines.push(line.into());
        let got = harness.call_raw("once", &answer.bytes()).await;
        assert_eq!(status(&got), 200, "{got}");
        assert!(got.contains("response-signature: s.1"), "{got}");
        assert!(got.ends_with("work"), "{got}");
    });
}

/// The receipt, the fields and the body arrive as they were sent.
#[test]
fn sound_answers_reach_the_caller_whole() {
    task::block_on(async {
        let harness = Harness::start().await;
        for Case { name, answer } in singles(&sound(), VARIANTS) {
            let got = harness.call_raw("once", &answer.bytes()).await;
            assert!((200..300).contains(&status(&got)), "{name}: {got}");
            assert!(got.contains("response-signature: s.1"), "{name}: {got}");
            assert!(got.contains("x-own: kept"), "{name}: {got}");
            let (_, body) = got.split_once("\r\n\r\n").unwrap();
            assert!(body.contains("work"), "{name}: {got}");
        }
    });
}

/// A request that may run again is answered by the other upstream.
#[test_case(Part::Length)]
#[test_case(Part::Chunks)]
#[test_case(Part::Status)]
fn another_upstream_answers_where_a_head_is_spoilt(part: Part) {
    task::block_on(async {
        let harness = Harness::start().await;
        for Case { name, answer } in spoilt_in(part) {
            harness.upstreams[0].set_raw(answer.bytes());
            harness.upstreams[1].set_raw(sound().bytes());
            let got = harness.call("/look/raw").await;
            assert_eq!(status(&got), 200, "{name}: {got}");
            assert!(got.ends_with("\r\n\r\nwork"), "{name}: {got}");
        }
    });
}
