//! Events are cut at their ends, whatever ends their lines and however the bytes come in pieces.

use proptest::prelude::*;
use sorreldeck::Size;
use sorreldeck_net::events::Events;
use test_case::test_case;

const MAX: Size = Size::from_bytes(1_024);

/// Pushes a stream in pieces of these sizes, in turn; returns the whole events and whether all
/// bytes belong to one.
fn cut(stream: &[u8], sizes: &[usize]) -> (Vec<u8>, bool) {
    let mut events = Events::new(MAX);
    let (mut whole, mut rest) = (Vec::new(), stream);
    for size in sizes.iter().cycle() {
        if rest.is_empty() {
            break;
        }
        let (piece, more) = rest.split_at((*size).min(rest.len()));
        whole.extend(events.push(piece).unwrap().unwrap_or_default());
        rest = more;
    }
    (whole, events.is_empty())
}

#[test_case("\n")]
#[test_case("\r\n")]
#[test_case("\r")]
fn every_line_end_of_the_format_ends_an_event(end: &str) {
    let two = format!("id: 1{end}data: a{end}{end}: note{end}{end}");
    let stream = format!("{two}id: 2{end}data: b{end}");
    for size in 1..stream.len() {
        let (whole, is_empty) = cut(stream.as_bytes(), &[size]);
        assert_eq!(String::from_utf8(whole).unwrap(), two, "pieces of {size}");
        assert!(!is_empty);
        assert!(cut(two.as_bytes(), &[size]).1, "pieces of {size}");
    }
}

#[test]
fn an_event_beyond_the_bound_is_an_error() {
    let mut events = Events::new(MAX);
    assert_eq!(events.push(&[b'x'; 1_024]), Ok(None));
    let error = events.push(b"x").unwrap_err();
    assert_eq!(error.to_string(), "an event is larger than 1024 bytes");
}

#[test]
fn only_the_rest_after_the_last_event_counts_against_the_bound() {
    let mut events = Events::new(MAX);
    let many = "data: a\n\n".repeat(1_000);
    assert_eq!(
        events.push(many.as_bytes()).unwrap().unwrap().len(),
        many.len()
    );
    assert!(events.is_empty());
}

/// Returns where the last event ends, line by line.
fn last_end(stream: &[u8]) -> usize {
    let (mut at, mut line, mut end) = (0, 0, 0);
    while at < stream.len() {
        let width = match stream[at] {
            b'\r' if stream.get(at + 1) == Some(&b'\n') => 2,
            b'\r' | b'\n' => 1,
            _ => 0,
        };
        if width > 0 && line == at {
            end = at + width;
        }
        at += width.max(1);
        if width > 0 {
            line = at;
        }
    }
    end
}

proptest! {
    #[test]
    fn pieces_make_no_difference(
        stream in "[a:\r\n ]{0,60}",
        sizes in prop::collection::vec(1usize..9, 1..6),
    ) {
        let end = last_end(stream.as_bytes());
        let (whole, is_empty) = cut(stream.as_bytes(), &sizes);
        prop_assert_eq!(whole, &stream.as_bytes()[..end]);
        prop_assert_eq!(is_empty, end == stream.len());
    }
}
