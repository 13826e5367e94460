//! Arbitrary rows in the platform's store and arbitrary frames on a link cause no panic, and no
//! upstream is used that its row does not describe.
//!
//! `PROPTEST_CASES` sets the number of cases; 10^6 take some minutes.

use proptest::prelude::*;
use serde_json::{json, Value};
use sorreldeck::wire::{self, Header};
use sorreldeck::Time;
use sorreldeck_platform::store::{Page, Row};
use sorreldeck_platform::Settings;
use sorreldeck_platform::{call, config, member, release, Table};
use sorreldeckd::hosted::{Mirror, Update};
use std::collections::BTreeMap;
use std::time::Duration;

/// Returns the row value of an upstream.
fn upstream() -> Value {
    json!({"service": "engines", "address": "127.0.0.1:9", "zone": "a", "version": "v1",
        "slots": 8, "state": "ready", "cold-left-ms": 0, "sequence": 1, "born": 1_764_726_566_123u64})
}

/// Generates a JSON value of any type, small or large.
fn value() -> impl Strategy<Value = Value> {
    prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        any::<f64>().prop_map(Value::from),
        ".{0,12}".prop_map(Value::from),
        "(ready|draining|retired|warming|v1|127.0.0.1:9)".prop_map(Value::from),
        prop::collection::vec(any::<u8>(), 0..3).prop_map(Value::from),
        Just(json!({"a": [{}]})),
        Just(Value::from("x".repeat(70_000))),
    ]
}

/// Generates the row of an upstream with some fields removed or replaced, or arbitrary bytes.
fn row() -> impl Strategy<Value = Vec<u8>> {
    let fields: Vec<String> = upstream().as_object().unwrap().keys().cloned().collect();
    let change = (prop::sample::select(fields), prop::option::of(value()));
    let spoilt = prop::collection::vec(change, 0..3).prop_map(|changes| {
        let mut row = upstream();
        for (field, value) in changes {
            match value {
                Some(value) => row[field] = value,
                None => drop(row.as_object_mut().unwrap().remove(&field)),
            }
        }
        row.to_string().into_bytes()
    });
    let cut = (spoilt, 0usize..400).prop_map(|(mut bytes, keep)| {
        bytes.truncate(keep.max(bytes.len() / 2));
        bytes
    });
    prop_oneof![8 => cut, 1 => prop::collection::vec(any::<u8>(), 0..60)]
}

/// Returns whether a row describes a usable upstream, without using the decoder under test.
fn names_one(key: &str, bytes: &[u8]) -> bool {
    let Ok(Value::Object(row)) = serde_json::from_slice(bytes) else {
        return false;
    };
    let is_text = |field: &str| row.get(field).is_some_and(Value::is_string);
    let is_count = |field: &str| {
        let number = row.get(field).and_then(Value::as_f64);
        number.is_some_and(|number| number >= 0.0)
    };
    let texts = ["service", "address", "zone", "version"]
        .into_iter()
        .all(is_text);
    let counts = ["slots", "cold-left-ms", "sequence"]
        .into_iter()
        .all(is_count);
    let state = row.get("state").and_then(Value::as_str);
    let name = (1..=200).contains(&key.len()) && !key.chars().any(char::is_control);
    texts && counts && name && state == Some("ready")
}

fn page(rows: Vec<Row>, version: u64) -> Page {
    Page {
        rows,
        version,
        now: Duration::from_millis(version),
        era: None,
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(
        std::env::var("PROPTEST_CASES").ok().and_then(|n| n.parse().ok()).unwrap_or(4_000)
    ))]

    #[test]
    fn only_upstreams_that_rows_name_are_used(
        steps in prop::collection::vec(
            ("(i-[0-3]|[ -~]{0,8}|\\PC{0,4})", prop::option::weighted(0.9, row())), 1..12),
    ) {
        let mut mirror = Mirror::default();
        let mut used: BTreeMap<String, Vec<u8>> = BTreeMap::new();
        for (number, (key, value)) in steps.into_iter().enumerate() {
            let version = number as u64 + 1;
            let row = Row { key: key.clone(), value: value.clone(), version };
            let now = Time(1_000_000_000 + version * 10_000_000);
            let mut news = mirror.apply(Table::Upstreams, page(vec![row], version), false, now);
            news.extend(mirror.tick(now + sorreldeck::Span::from_millis(5_000), None));
            for news in news {
                match news {
                    Update::Joined(listed, _) => {
                        let bytes = value.clone().unwrap();
                        prop_assert!(names_one(&key, &bytes), "{key:?} {bytes:?}");
                        prop_assert_eq!(listed.member.upstream.as_str(), &key);
                        used.insert(key.clone(), bytes);
                    }
                    Update::Retired(upstream) => drop(used.remove(upstream.as_str())),
                    _ => {}
                }
            }
            let names = value.is_some_and(|bytes| names_one(&key, &bytes));
            prop_assert!(names || !used.contains_key(&key), "{key:?} is used on");
        }
    }

    #[test]
    fn nothing_that_is_read_ends_the_process(
        key in "(config|rollout/[a-z]{0,3}|entry/[a-z]{0,3}|held/[0-9a-f]{0,16}|\\PC{0,6})",
        bytes in prop_oneof![
            prop::collection::vec(any::<u8>(), 0..80),
            value().prop_map(|v| v.to_string().into_bytes()),
            (value(), value()).prop_map(|(a, b)| json!({"version": a, "routes": b, "service": "engines",
                "target-version": a, "duration-s": b, "state": a, "until_us": a, "before": b, "by": a,
                "services": b, "limits": a, "tenants": b, "name": a}).to_string().into_bytes()),
        ],
    ) {
        let mut mirror = Mirror::default();
        for (number, table) in Table::ALL.into_iter().enumerate() {
            let version = number as u64 + 1;
            let row = Row { key: key.clone(), value: Some(bytes.clone()), version };
            mirror.apply(table, page(vec![row], version), false, Time(1_000_000));
            prop_assert!(mirror.take_malformed().len() <= 2, "one line a row");
        }
        // The results were checked above; these calls must only not panic.
        let _ = (member::decode(&key, &bytes), config::decode(&bytes));
        let _ = (release::decode(&bytes, 1.into()), release::decode_state(&bytes), wire::decode(&bytes));
        let text = String::from_utf8_lossy(&bytes).into_owned();
        let _ = Settings::from_json(&text);
        let names = ["deadline-ms", "token-usage", "prompt-prefix", "session", "connection", "server-load", "confidence",
            "server-leaving", "server-limit", "retry-after"];
        let headers: Vec<Header> = names.iter().map(|name| Header::new(*name, &text)).collect();
        let _ = (call::parse_request(&headers), call::parse_response(200, &headers), call::parse_response(503, &headers), call::last_event_id(&bytes));
    }
}
