//! Configurations as the platform's pages allow them, generated: each one that the store has
//! accepted comes into force at every entry, and after a restart.
//!
//! `PROPTEST_CASES` sets the number of cases.

use proptest::prelude::*;
use serde_json::{json, Map, Value};
use sorreldeck::entry::{Entry, Input, Member, Output, Part, Reply, Routed};
use sorreldeck::era::Stamp;
use sorreldeck::pick::{Link, Placement};
use sorreldeck::wire::{Frame, Load};
use sorreldeck::{PoolId, Reason, RequestId, Time};
use sorreldeck_emulator::routed;
use sorreldeck_platform::store::{Page, CONFIG_KEY};
use sorreldeck_platform::Table;
use sorreldeck_sim::rows;
use sorreldeckd::hosted::{Merge, Mirror, Update};
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use test_case::test_case;

const HOSTS: [&str; 2] = ["ficu95.example", "Pay.Example"];
const PREFIXES: [&str; 5] = ["/", "/a/", "/a/b/", "/lohu930/", "/a b/"];
const PATHS: [&str; 6] = [
    "/",
    "/a/x",
    "/a/b/2f?q=/lohu930/",
    "/lohu930/2f",
    "/a b/",
    "/b",
];
const SERVICES: [&str; 5] = ["huvo11a", "wuno96b", "Xano 55B", "org/idle", "\u{e9}tat"];
const MODELS: [&str; 4] = ["daka510000", "org/Daka", "rada 7437", "-"];
const TENANTS: [&str; 5] = ["hule930", "Hule 930", "hule_930", "a/b", "n\u{fc}rnberg"];
const KEYS: [&str; 4] = ["k1", "n2ctnfzs989anu6wsjnb", "A key", "never"];
const KINDS: [&str; 3] = ["safe", "unsafe", "stream"];

/// A route as the pages describe it.
#[derive(Clone, Debug)]
struct Route {
    host: usize,
    prefix: usize,
    kind: usize,
    /// The services with their weights; a single one may stand without.
    services: Vec<(usize, u32)>,
    split: bool,
    /// Whether weights and times are written as fractions.
    fractions: bool,
    sizes: Vec<usize>,
    public: bool,
    /// Whether the fields that a route can do without are there.
    brief: bool,
}

/// A configuration as the pages describe it.
#[derive(Clone, Debug)]
struct Configuration {
    /// By how much the version rises.
    rise: u64,
    routes: Vec<Route>,
    engines: Vec<bool>,
    /// The tenants with their keys, or none at all.
    tenants: Option<Vec<(usize, Vec<usize>)>>,
}

fn route() -> impl Strategy<Value = Route> {
    let services = prop::collection::vec((0..SERVICES.len(), 0u32..4), 1..4);
    let sizes = prop::collection::vec(0..MODELS.len(), 0..3);
    let switches = any::<[bool; 4]>();
    let places = (0..HOSTS.len(), 0..PREFIXES.len(), 0..KINDS.len());
    (places, services, sizes, switches).prop_map(|((host, prefix, kind), services, sizes, on)| {
        let mut seen = BTreeSet::new();
        let services = services.into_iter().filter(|(s, _)| seen.insert(*s));
        Route {
            host,
            prefix,
            kind,
            services: services.collect(),
            split: on[0],
            fractions: on[1],
            sizes,
            public: on[2],
            brief: on[3],
        }
    })
}

fn configuration() -> impl Strategy<Value = Configuration> {
    let routes = prop::collection::vec(route(), 0..6);
    let holders = prop::collection::vec(0..TENANTS.len() + 1, KEYS.len() - 1);
    let listed = prop::collection::vec(any::<bool>(), TENANTS.len());
    let tenants = prop::option::weighted(0.8, (holders, listed));
    let engines = prop::collection::vec(any::<bool>(), SERVICES.len());
    (1u64..40, routes, engines, tenants).prop_map(|(rise, routes, engines, tenants)| {
        let mut seen = BTreeSet::new();
        let routes = routes.into_iter();
        let routes = routes.filter(|r| seen.insert((r.host, r.prefix))).collect();
        let tenants = tenants.map(|(holders, listed)| {
            let listed = (0..TENANTS.len()).filter(|t| listed[*t]);
            let keys_of = |tenant| {
                let keys = (0..holders.len()).filter(|key| holders[*key] == tenant);
                (tenant, keys.collect())
            };
            listed.map(keys_of).collect()
        });
        Configuration {
            rise,
            routes,
            engines,
            tenants,
        }
    })
}

impl Route {
    fn value(&self, number: usize) -> Value {
        let mut route = Map::new();
        let mut put = |field: &str, value: Value| drop(route.insert(field.to_owned(), value));
        put("name", format!("R {number}").into());
        put("host", HOSTS[self.host].into());
        put("path-prefix", PREFIXES[self.prefix].into());
        put("route-type", KINDS[self.kind].into());
        put(
            "timeout-ms",
            if self.fractions {
                json!(2000.5)
            } else {
                json!(2000)
            },
        );
        put("max-attempts", 2.into());
        let weight = |w: u32| {
            if self.fractions {
                json!(f64::from(w) / 4.0)
            } else {
                json!(w)
            }
        };
        match self.split {
            true => {
                let backend =
                    |(s, w): &(usize, u32)| json!({"service": SERVICES[*s], "weight": weight(*w)});
                put("backends", self.services.iter().map(backend).collect());
            }
            false => put("service", SERVICES[self.services[0].0].into()),
        }
        if !self.sizes.is_empty() {
            put("sizes", self.sizes.iter().map(|s| MODELS[*s]).collect());
        }
        if self.public || !self.brief {
            put("public", self.public.into());
        }
        if !self.brief {
            put("target-latency-ms", 300.into());
            put("priority", 2.into());
            put("resumable", true.into());
            put("gap_aim_ms", 1200.into());
            put("sticky", true.into());
        }
        Value::Object(route)
    }

    /// Returns the services that may get its requests.
    fn served_by(&self) -> Vec<&'static str> {
        match self.split {
            true => {
                let weighted = self.services.iter().filter(|(_, weight)| *weight > 0);
                weighted.map(|(service, _)| SERVICES[*service]).collect()
            }
            false => vec![SERVICES[self.services[0].0]],
        }
    }
}

impl Configuration {
    fn value(&self, version: u64) -> Value {
        let services = SERVICES.iter().zip(&self.engines).map(|(name, is_engine)| {
            let mut service = json!({"name": name, "health-path": "/health", "max-conns": 96});
            if *is_engine {
                let models = MODELS.map(|m| json!({"name": m, "cost": 1.5}));
                service["engine"] = json!({"slots": 32, "models": models});
            }
            service
        });
        let routes = self.routes.iter().enumerate();
        let mut config = json!({
            "version": version,
            "routes": routes.map(|(n, r)| r.value(n)).collect::<Vec<_>>(),
            "services": services.collect::<Vec<_>>(),
            "limits": {"max-header-bytes": 16384, "idle-timeout-ms": 15000.5},
        });
        if let Some(tenants) = &self.tenants {
            let tenant = |(name, keys): &(usize, Vec<usize>)| {
                let keys: Vec<&str> = keys.iter().map(|k| KEYS[*k]).collect();
                json!({"name": TENANTS[*name], "api-keys": keys, "priority": 1})
            };
            config["tenants"] = tenants.iter().map(tenant).collect();
        }
        config
    }

    /// Returns the route of a request, as the pages tell it.
    fn route_of(&self, host: &str, path: &str) -> Option<&Route> {
        let path = path.split('?').next().unwrap_or(path);
        let begins = |r: &&Route| {
            HOSTS[r.host].eq_ignore_ascii_case(host) && path.starts_with(PREFIXES[r.prefix])
        };
        let routes = self.routes.iter().filter(begins);
        routes.max_by_key(|r| PREFIXES[r.prefix].len())
    }

    /// Returns the tenant that holds a key.
    fn tenant_of(&self, key: Option<&str>) -> Option<&'static str> {
        let mut tenants = self.tenants.iter().flatten();
        let holds = |keys: &[usize]| keys.iter().any(|k| Some(KEYS[*k]) == key);
        let tenant = tenants.find(|(_, keys)| holds(keys));
        tenant.map(|(name, _)| TENANTS[*name])
    }

    fn expect(&self, host: &str, path: &str, key: Option<&str>, any_model: bool) -> Expected {
        let Some(route) = self.route_of(host, path) else {
            return Expected::Refused(Reason::UnknownPath);
        };
        let account = self.tenant_of(key);
        if self.tenants.is_some() && !route.public && account.is_none() {
            return Expected::Refused(match key {
                Some(_) => Reason::BadKey,
                None => Reason::NoKey,
            });
        }
        if !route.sizes.is_empty() && !any_model {
            return Expected::Refused(Reason::ModelNamed);
        }
        match route.served_by() {
            services if services.is_empty() => Expected::Refused(Reason::NoUpstream),
            services => Expected::Sent {
                services,
                account,
                models: route.sizes.iter().map(|s| MODELS[*s]).collect(),
            },
        }
    }
}

/// What the pages say becomes of a request.
#[derive(Debug)]
enum Expected {
    Refused(Reason),
    Sent {
        services: Vec<&'static str>,
        account: Option<&'static str>,
        /// The models of which one is chosen, if the route chooses.
        models: Vec<&'static str>,
    },
}

/// An entry with its mirror of the store and an upstream of each service.
struct Node {
    mirror: Mirror,
    entry: Entry,
    requests: u64,
}

fn at(ms: u64) -> Time {
    Time(1_000_000_000 + ms * 1_000)
}

/// Returns the page with a configuration; the store's own version is above the configuration's.
fn page(value: &Value, version: u64) -> Page {
    let stored = version + 1;
    Page {
        rows: vec![rows::row(CONFIG_KEY, value, stored)],
        version: stored,
        now: Duration::from_millis(version),
        era: None,
    }
}

impl Node {
    fn new(number: u64) -> Node {
        let mut entry = routed::entry(number, 7);
        for (link, service) in SERVICES.iter().enumerate() {
            let member = Member {
                upstream: format!("u{link}").parse().unwrap(),
                pool: PoolId::external(service).unwrap(),
                placement: Placement::default(),
                load: Load {
                    slots: 10_000,
                    ..Load::default()
                },
            };
            entry.handle(at(0), Input::Join(link as Link, Box::new(member)));
        }
        Node {
            mirror: Mirror::default(),
            entry,
            requests: 0,
        }
    }

    /// Applies updates; returns the number of parts that were not understood.
    fn apply(&mut self, updates: Vec<Update>, now: Time) -> usize {
        let mut issues = self.mirror.take_malformed().len();
        for update in updates {
            let Update::Config(config) = update else {
                continue;
            };
            issues += config.issues.count();
            if self.entry.tree().precedes(&config.tree) {
                self.entry.handle(now, Input::Tree(Arc::new(config.tree)));
            }
        }
        issues
    }

    /// Reads the configuration from the store.
    fn read(&mut self, value: &Value, version: u64, whole: bool) -> usize {
        let now = at(version);
        let updates = self
            .mirror
            .apply(Table::Operator, page(value, version), whole, now);
        self.apply(updates, now)
    }

    /// Hears of the configuration from another entry.
    fn hear(&mut self, other: &mut Node, version: u64) -> usize {
        let after = self.mirror.stamp(Table::Operator);
        let Some(delta) = other.mirror.delta(Table::Operator, after) else {
            return 0;
        };
        let now = at(version);
        match self.mirror.apply_delta(delta, now) {
            Merge::Applied(updates) => self.apply(updates, now),
            Merge::Gap | Merge::Stale => panic!("the other entry knows the whole table"),
        }
    }

    /// Checks what becomes of a request.
    fn check(
        &mut self,
        config: &Configuration,
        now: Time,
        host: &str,
        path: &str,
        key: Option<&str>,
    ) {
        self.requests += 1;
        let any_model = self.requests % 7 != 0;
        let request = RequestId::new(1, self.requests);
        let call = Routed {
            host: host.to_ascii_lowercase(),
            any_model,
            ..routed::routed(format!("r{}", self.requests), path)
        };
        let outputs = self.entry.handle(now, routed::ask(request, key, call));
        let sent = outputs.iter().find_map(|output| match output {
            Output::Send(link, Frame::Start(start)) => Some((*link, start.clone())),
            _ => None,
        });
        let refused = outputs.iter().find_map(|output| match output {
            Output::Answer(_, Part::Fail(failure)) => Some(failure.reason),
            _ => None,
        });
        let expected = config.expect(host, path, key, any_model);
        let place =
            format!("{host}{path} with key {key:?}: {expected:?}, not {refused:?} {outputs:?}");
        match expected {
            Expected::Refused(reason) => {
                assert_eq!(
                    (sent.map(|s| s.0), refused),
                    (None, Some(reason)),
                    "{place}"
                );
            }
            Expected::Sent {
                services,
                account,
                models,
            } => {
                let (link, start) = sent.unwrap_or_else(|| panic!("{place}"));
                let metadata = start.metadata.as_deref().expect("a routed call");
                assert!(services.contains(&SERVICES[link as usize]), "{place}");
                assert_eq!(
                    metadata.account.as_ref().map(|a| a.as_str()),
                    account,
                    "{place}"
                );
                let model = metadata.model.as_ref().map(|m| m.as_str());
                assert!(
                    model.map_or(models.is_empty(), |m| models.contains(&m)),
                    "{place}"
                );
                self.entry
                    .handle(now, Input::Reply(link, start.run, routed::head(200)));
                self.entry
                    .handle(now, Input::Reply(link, start.run, Reply::End));
                assert_eq!(self.entry.in_flight(), 0, "the request has ended");
            }
        }
    }

    fn check_all(&mut self, config: &Configuration, version: u64) {
        assert_eq!(
            self.entry.tree().revision().0,
            version,
            "the version in force"
        );
        for host in HOSTS {
            for path in PATHS {
                for key in [
                    None,
                    Some(KEYS[0]),
                    Some(KEYS[1]),
                    Some(KEYS[2]),
                    Some(KEYS[3]),
                ] {
                    self.check(config, at(version), host, path, key);
                }
            }
        }
    }
}

/// Plays configurations one after the other at an entry that reads them from the store, at one
/// that hears of every second one from the first, and at ones that start anew.
fn play(configurations: &[Configuration]) {
    let (mut reader, mut listener) = (Node::new(1), Node::new(2));
    let mut version = 0;
    for (number, config) in configurations.iter().enumerate() {
        version += config.rise;
        let value = config.value(version);
        assert_eq!(
            reader.read(&value, version, number == 0),
            0,
            "understood: {value}"
        );
        reader.check_all(config, version);
        if number % 2 == 0 {
            assert_eq!(
                listener.hear(&mut reader, version),
                0,
                "understood: {value}"
            );
            listener.check_all(config, version);
        }
        let mut restarted = Node::new(3);
        assert_eq!(
            restarted.read(&value, version, true),
            0,
            "understood: {value}"
        );
        restarted.check_all(config, version);
        let mut isolated = Node::new(4);
        assert_eq!(
            isolated.hear(&mut reader, version),
            0,
            "understood: {value}"
        );
        isolated.check_all(config, version);
    }
}

fn cases() -> ProptestConfig {
    let cases = std::env::var("PROPTEST_CASES").ok();
    ProptestConfig {
        cases: cases.and_then(|n| n.parse().ok()).unwrap_or(60),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(cases())]

    #[test]
    fn every_accepted_configuration_comes_into_force(
        configurations in prop::collection::vec(configuration(), 1..6),
    ) {
        play(&configurations);
    }
}

fn plain_route(host: usize, service: usize) -> Route {
    Route {
        host,
        prefix: 1,
        kind: 0,
        services: vec![(service, 1)],
        split: false,
        fractions: false,
        sizes: Vec::new(),
        public: false,
        brief: true,
    }
}

fn plain(services: &[usize], tenants: Option<Vec<(usize, Vec<usize>)>>) -> Configuration {
    let routes = services.iter().enumerate();
    Configuration {
        rise: 5,
        routes: routes
            .map(|(host, service)| plain_route(host, *service))
            .collect(),
        engines: vec![false; SERVICES.len()],
        tenants,
    }
}

/// Guards against keeping a configuration out of force, with the key changes in it, for a plain
/// service that has lost its last route.
#[test]
fn a_plain_service_without_a_route_keeps_no_configuration_out() {
    let before = plain(&[0, 1], Some(vec![(0, vec![0])]));
    let after = plain(&[1, 1], Some(vec![(0, vec![1])]));
    play(&[before, after]);
}

/// Guards against asking for no key once the last one has been taken away.
#[test_case(vec![(0, vec![]), (1, vec![])]; "tenants without keys")]
#[test_case(vec![]; "no tenant")]
fn keys_are_asked_for_when_none_is_left(left: Vec<(usize, Vec<usize>)>) {
    let before = plain(&[0, 1], Some(vec![(0, vec![0]), (1, vec![1])]));
    let one = plain(&[0, 1], Some(vec![(0, vec![]), (1, vec![1])]));
    play(&[before, one, plain(&[0, 1], Some(left))]);
}

/// Guards against taking a first configuration of version 0 for none.
#[test]
fn a_configuration_of_version_0_is_one() {
    let mut config = plain(&[0, 1], None);
    config.rise = 0;
    play(&[config, plain(&[1, 0], None)]);
}

/// Guards against a listener that is kept behind by a stamp of its own.
#[test]
fn an_entry_that_knows_nothing_hears_the_whole_table() {
    let config = plain(&[0, 1], None);
    let mut reader = Node::new(1);
    reader.read(&config.value(5), 5, true);
    let mut fresh = Node::new(2);
    assert_eq!(fresh.mirror.stamp(Table::Operator), Stamp::default());
    fresh.hear(&mut reader, 5);
    fresh.check_all(&config, 5);
}
