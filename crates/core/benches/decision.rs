//! Benchmark of one routing decision with 23 versions, 1,001 nodes and 30 to 2,400 upstreams, of
//! which an entry is linked to a subset.
//!
//! `cargo bench -p sorreldeck`

use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion};
use sorreldeck::entry::{Chat, Entry, Input, Output, Payload, Request, Settings};
use sorreldeck::subset::{self, SIZES};
use sorreldeck::tree::{hash_key, parse_toml, Tree};
use sorreldeck::wire::{Frame, Load, Usage, Welcome};
use sorreldeck::{Incarnation, InstanceId, RequestId, Revision, Time, UpstreamId};
use std::fmt::Write;
use std::sync::Arc;

const VERSIONS: usize = 23;
const ACCOUNTS: usize = 200;
const ROUTES: usize = 4;
const ENTRIES: usize = 360;

/// Returns a configuration with 1,001 nodes.
fn tree() -> Arc<Tree> {
    let mut text = String::from("[pools.engines]\nkind = \"engine\"\n[models.m]\nsplit = { v-0 = \"60%\", v-1 = \"40%\" }\n[nodes.\"/\"]\n");
    let mut names = Vec::new();
    for v in 0..VERSIONS {
        writeln!(text, "[versions.v-{v}]\nmodel = \"m\"\npool = \"engines\"").unwrap();
        names.push(format!("\"v-{v}\""));
    }
    for a in 0..ACCOUNTS {
        let key = hash_key(&format!("key-{a}"));
        let versions = names.join(", ");
        writeln!(
            text,
            "[nodes.\"/a{a}\"]\naccount = \"a{a}\"\nkeys = [\"{key}\"]\nmodels = [\"m\"]\nversions = [{versions}]\nrequests = \"1000000/s\""
        )
        .unwrap();
        for r in 0..ROUTES {
            writeln!(text, "[nodes.\"/a{a}/r{r}\"]\nclass = \"standard\"").unwrap();
        }
    }
    let entries = parse_toml(&text).expect("the tree is TOML");
    Arc::new(Tree::from_entries(Revision(1), entries).expect("the tree is valid"))
}

fn entry(upstreams: usize) -> (Entry, usize) {
    let keys = format!("1:{}", "11".repeat(32)).parse().expect("a key");
    let me: InstanceId = "entry-0".parse().expect("a name");
    let mut entry = Entry::new(Settings::new(me.clone(), Incarnation(1), keys, 1));
    entry.handle(Time(0), Input::Tree(tree()));
    let entries: Vec<InstanceId> = (0..ENTRIES)
        .map(|i| format!("entry-{i}").parse().expect("a name"))
        .collect();
    let names: Vec<UpstreamId> = (0..upstreams)
        .map(|i| format!("engine-{i}").parse().expect("a name"))
        .collect();
    let chosen = subset::choose(&me, &entries, &names, SIZES);
    for (link, upstream) in chosen.iter().enumerate() {
        let welcome = Welcome {
            upstream: upstream.clone(),
            pool: "engines".parse().expect("a name"),
            hall: "hall".parse().expect("a name"),
            incarnation: Incarnation(link as u64),
            revision: Revision(1),
            load: Load {
                slots: 1000,
                ..Load::default()
            },
        };
        entry.handle(
            Time(0),
            Input::Frame(link as u64 + 1, Frame::Welcome(welcome)),
        );
    }
    (entry, chosen.len())
}

fn decide(entry: &mut Entry, chat: &Chat, number: u64) {
    let request = Request {
        request: RequestId::new(1, number),
        key: Some(format!("key-{}", number as usize % ACCOUNTS)),
        route: Some("r1".into()),
        class: None,
        session: None,
        at_most_once: false,
        idempotency_key: None,
        payload: Payload::Chat(Box::new(chat.clone())),
    };
    let now = Time(number * 1000);
    let outputs = entry.handle(now, Input::Request(Box::new(request)));
    for output in outputs {
        let Output::Send(link, Frame::Start(start)) = output else {
            continue;
        };
        let end = Frame::End {
            run: start.run,
            parts: 0,
            usage: Usage::default(),
            confidence: None,
            record: None,
            load: Load {
                slots: 1000,
                ..Load::default()
            },
        };
        entry.handle(now, Input::Frame(link, end));
    }
}

fn decision(c: &mut Criterion) {
    let mut group = c.benchmark_group("decision");
    let body =
        br#"{"model": "m", "max_tokens": 50, "messages": [{"role": "user", "content": "hours"}]}"#;
    let chat = Chat::from_slice(body).expect("a chat");
    for upstreams in [30, 150, 600, 2400] {
        let (mut entry, linked) = entry(upstreams);
        let mut number = 0;
        let name = format!("{upstreams} upstreams, {linked} linked");
        group.bench_function(BenchmarkId::from_parameter(name), |b| {
            b.iter(|| {
                number += 1;
                decide(&mut entry, &chat, number);
            })
        });
    }
    group.finish();
}

criterion_group!(benches, decision);
criterion_main!(benches);
