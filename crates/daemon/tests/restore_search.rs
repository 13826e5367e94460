//! Every order of a few events: one store that comes back from a copy once or twice, two entries that read
//! it, hand its tables to one another or start anew, and writers that write again what was lost.
//!
//! `SORRELDECK_DEPTH` sets the number of events.

use serde_json::{json, Value};
use sorreldeck::era::{Era, Freshness, Stamp};
use sorreldeck::{Span, Time};
use sorreldeck_platform::store::{Page, Row};
use sorreldeck_platform::Table;
use sorreldeck_sim::rows::{config, deleted, upstream};
use sorreldeckd::hosted::{Merge, Mirror, Update};
use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::time::Duration;
use test_case::test_case;

const NOW: Time = Time(1_000_000_000);
/// The tables that are written here; the others stay empty.
const TABLES: [Table; 2] = [Table::Operator, Table::Upstreams];
const LEAVING: &str = "i-0";
const JOINING: &str = "i-1";
const ORDER: &str = "evacuate/a";
const MOST_LOSSES: usize = 2;
const MOST_WRITES: usize = 4;
const MOST_STARTS: usize = 1;

/// The place of a row, and its value.
type Place = (Table, &'static str);
type Rows = BTreeMap<Place, (u64, Vec<u8>)>;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Event {
    /// The operator writes the next configuration.
    Configure,
    /// An upstream says that it leaves.
    Leave,
    /// An upstream's row goes.
    Go,
    /// Another one joins.
    Join,
    /// The operator orders a data hall empty, or takes that back.
    Order,
    /// The store comes back from its copy.
    Lose,
    /// A writer writes again what was lost.
    Again(Place),
    /// An entry reads a table.
    Read(usize, Table),
    /// An entry hands a table to the other one.
    Hand(usize, Table),
    /// An entry starts anew.
    Start(usize),
}

#[derive(Clone, Debug)]
struct Entry {
    mirror: Mirror,
    revision: u64,
    uses: BTreeSet<String>,
    /// Those that said in this life that they leave.
    left: BTreeSet<String>,
    evacuated: usize,
}

#[derive(Clone, Debug)]
struct World {
    era: u64,
    version: u64,
    rows: Rows,
    /// Versions of dropped rows.
    gone: BTreeMap<Place, u64>,
    /// What each writer wrote last; `None` where it dropped its row.
    wrote: BTreeMap<Place, Option<Vec<u8>>>,
    revision: u64,
    copy: (Rows, u64),
    entries: Vec<Entry>,
    losses: usize,
    writes: usize,
    starts: usize,
}

fn fresh() -> Entry {
    Entry {
        mirror: Mirror::default(),
        revision: 0,
        uses: BTreeSet::new(),
        left: BTreeSet::new(),
        evacuated: 0,
    }
}

impl World {
    /// A store with a configuration and an upstream, which is also its copy, and two entries that
    /// know them.
    fn new() -> World {
        let mut world = World {
            era: 1,
            version: 5,
            rows: Rows::new(),
            gone: BTreeMap::new(),
            wrote: BTreeMap::new(),
            revision: 1,
            copy: (Rows::new(), 0),
            entries: vec![fresh(), fresh()],
            losses: 0,
            writes: 0,
            starts: 0,
        };
        world.write((Table::Operator, "config"), Some(config(1)));
        world.write((Table::Upstreams, LEAVING), Some(upstream("ready")));
        world.copy = (world.rows.clone(), world.version);
        for entry in 0..2 {
            world.read_all(entry);
        }
        world
    }

    fn write(&mut self, place: Place, value: Option<Value>) {
        let value = value.map(|value| value.to_string().into_bytes());
        self.wrote.insert(place, value);
        self.write_again(place);
    }

    fn write_again(&mut self, place: Place) {
        self.version += 1;
        match self.wrote[&place].clone() {
            Some(value) => {
                self.gone.remove(&place);
                self.rows.insert(place, (self.version, value));
            }
            None => {
                self.rows.remove(&place);
                self.gone.insert(place, self.version);
            }
        }
    }

    fn lost(&self) -> Vec<Place> {
        let stored = |place| self.rows.get(place).map(|(_, value)| value);
        let wrote = self.wrote.iter();
        let lost = wrote.filter(|(place, value)| stored(place) != value.as_ref());
        lost.map(|(place, _)| *place).collect()
    }

    fn has_ordered(&self) -> bool {
        let order = self.wrote.get(&(Table::Operator, ORDER));
        order.is_some_and(Option::is_some)
    }

    fn state(&self, upstream: &'static str) -> Option<Value> {
        let wrote = self.wrote.get(&(Table::Upstreams, upstream));
        let value = wrote?.as_ref()?;
        Some(serde_json::from_slice::<Value>(value).unwrap()["state"].clone())
    }

    /// Returns what may happen next.
    fn events(&self) -> Vec<Event> {
        let mut events = Vec::new();
        if self.writes < MOST_WRITES {
            events.extend([Event::Configure, Event::Order]);
            match self.state(LEAVING) {
                Some(state) if state == "ready" => events.push(Event::Leave),
                Some(_) => events.push(Event::Go),
                None => {}
            }
            if self.state(JOINING).is_none() {
                events.push(Event::Join);
            }
        }
        if self.losses < MOST_LOSSES && self.writes > 0 {
            events.push(Event::Lose);
        }
        events.extend(self.lost().into_iter().map(Event::Again));
        for entry in 0..2 {
            for table in TABLES {
                events.extend([Event::Read(entry, table), Event::Hand(entry, table)]);
            }
            if self.starts < MOST_STARTS && self.losses > 0 {
                events.push(Event::Start(entry));
            }
        }
        events
    }

    fn happen(&mut self, event: Event) {
        let writes = [
            Event::Configure,
            Event::Leave,
            Event::Go,
            Event::Join,
            Event::Order,
        ];
        self.writes += usize::from(writes.contains(&event));
        match event {
            Event::Configure => {
                self.revision += 1;
                self.write((Table::Operator, "config"), Some(config(self.revision)));
            }
            Event::Leave => self.write((Table::Upstreams, LEAVING), Some(upstream("draining"))),
            Event::Go => self.write((Table::Upstreams, LEAVING), None),
            Event::Join => self.write((Table::Upstreams, JOINING), Some(upstream("ready"))),
            Event::Order => {
                let value = (!self.has_ordered()).then(|| json!({}));
                self.write((Table::Operator, ORDER), value);
            }
            Event::Lose => {
                self.losses += 1;
                self.era += 1;
                (self.rows, self.version) = self.copy.clone();
                self.gone.clear();
            }
            Event::Again(place) => self.write_again(place),
            Event::Read(entry, table) => self.read(entry, table),
            Event::Hand(entry, table) => self.hand(entry, table),
            Event::Start(entry) => {
                self.starts += 1;
                self.entries[entry] = fresh();
            }
        }
    }

    fn read_all(&mut self, number: usize) {
        for table in TABLES {
            self.read(number, table);
        }
    }

    /// Lets an entry ask for what changed, or for the whole table where it cannot be told that.
    fn read(&mut self, number: usize, table: Table) {
        let entry = &mut self.entries[number];
        let is_current = entry.mirror.era() == Era(self.era);
        let since = entry.mirror.base(table).filter(|_| is_current);
        let row = |(place, (version, value)): (&Place, &(u64, Vec<u8>))| Row {
            key: place.1.to_owned(),
            value: Some(value.clone()),
            version: *version,
        };
        let rows = self
            .rows
            .iter()
            .filter(|(place, _)| place.0 == table)
            .map(row);
        let dropped = self.gone.iter().filter(|(place, _)| place.0 == table);
        let dropped = dropped.map(|(place, version)| deleted(place.1, *version));
        let is_asked_for = |row: &Row| match since {
            Some(since) => row.version > since,
            None => row.value.is_some(),
        };
        let mut rows: Vec<Row> = rows.chain(dropped).filter(is_asked_for).collect();
        rows.sort_by_key(|row| row.version);
        let page = Page {
            rows,
            version: self.version,
            now: Duration::ZERO,
            era: Some(Era(self.era)),
        };
        let whole = since.is_none();
        let heard = entry.mirror.observe_era(table, &page, whole, NOW, NOW);
        assert_ne!(heard, Freshness::Stale);
        let news = entry.mirror.apply(table, page, whole, NOW);
        entry.note(news);
    }

    fn hand(&mut self, from: usize, table: Table) {
        let taker = &self.entries[1 - from].mirror;
        let have = Stamp::new(taker.era(), taker.base(table).unwrap_or(0));
        if let Some(delta) = self.entries[from].mirror.delta(table, have) {
            let taker = &mut self.entries[1 - from];
            if let Merge::Applied(news) = taker.mirror.apply_delta(delta, NOW) {
                taker.note(news);
            }
        }
    }

    /// Lets all be written again and read; what entries know is then what the writers wrote.
    fn settles(mut self) -> Result<(), String> {
        for place in self.lost() {
            self.write_again(place);
        }
        for _ in 0..2 {
            for entry in 0..2 {
                self.read_all(entry);
                self.entries[entry].pass(Span::from_millis(60_000));
            }
        }
        let ready =
            |upstream: &&'static str| self.state(upstream).is_some_and(|state| state == "ready");
        let names = [LEAVING, JOINING].into_iter();
        let uses: BTreeSet<String> = names.filter(ready).map(str::to_owned).collect();
        let expected = (self.revision, uses, usize::from(self.has_ordered()));
        for entry in &self.entries {
            let known = (entry.revision, entry.uses.clone(), entry.evacuated);
            if known != expected {
                return Err(format!("settles at {known:?}, not {expected:?}"));
            }
        }
        Ok(())
    }
}

impl Entry {
    fn note(&mut self, news: Vec<Update>) {
        for news in news {
            match news {
                // As an entry does: its configuration climbs.
                Update::Config(config) => {
                    self.revision = self.revision.max(config.tree.revision().0);
                }
                Update::Joined(row) => drop(self.uses.insert(row.member.upstream.to_string())),
                Update::Retired(upstream) => {
                    self.uses.remove(upstream.as_str());
                    self.left.insert(upstream.to_string());
                }
                Update::Evacuated(halls) => self.evacuated = halls.len(),
                _ => {}
            }
        }
    }

    /// Lets time pass in which the store is heard.
    fn pass(&mut self, span: Span) {
        let later = NOW + span;
        let news = self.mirror.tick(later, Some(later));
        self.note(news);
    }

    /// Returns what must never be, within one life.
    fn fault(&self) -> Option<String> {
        let row = self.mirror.row(Table::Operator, "config");
        let value: Option<Value> =
            row.and_then(|row| serde_json::from_slice(row.value.as_ref()?).ok());
        let holds = value
            .and_then(|value| value["version"].as_u64())
            .unwrap_or(0);
        if holds < self.revision {
            return Some(format!(
                "configuration {holds} holds after {}",
                self.revision
            ));
        }
        let again = self.uses.intersection(&self.left).next();
        // It never says that it is ready once it has said that it leaves.
        let again = again.filter(|upstream| *upstream == LEAVING);
        again.map(|upstream| format!("{upstream} works again"))
    }
}

/// Returns a number that stands for all that a state holds.
fn digest(world: &World) -> u64 {
    use std::hash::{DefaultHasher, Hash, Hasher};
    let mut hasher = DefaultHasher::new();
    format!("{world:?}").hash(&mut hasher);
    hasher.finish()
}

/// The events before a loss of which the entries know unlike parts.
const LOST: [Event; 9] = [
    Event::Order,
    Event::Read(0, Table::Operator),
    Event::Configure,
    Event::Leave,
    Event::Join,
    Event::Read(0, Table::Upstreams),
    Event::Read(1, Table::Operator),
    Event::Lose,
    Event::Read(0, Table::Operator),
];

/// Each row: what happened before.
#[test_case(&[]; "from the start")]
#[test_case(&LOST; "after a loss")]
fn no_order_of_losses_writes_and_reads_takes_back_what_holds(before: &[Event]) {
    let depth = std::env::var("SORRELDECK_DEPTH").ok();
    let depth = depth.and_then(|n| n.parse().ok()).unwrap_or(5);
    let mut seen = HashSet::new();
    let mut first = World::new();
    before.iter().for_each(|event| first.happen(*event));
    let mut worlds = vec![(first, before.to_vec())];
    let mut faults = Vec::new();
    for _ in 0..depth {
        let mut next = Vec::new();
        for (world, path) in &worlds {
            for event in world.events() {
                let mut world = world.clone();
                let before: Vec<u64> = world.entries.iter().map(|e| e.revision).collect();
                world.happen(event);
                if !seen.insert(digest(&world)) {
                    continue;
                }
                let mut path: Vec<Event> = path.clone();
                path.push(event);
                let is_start = matches!(event, Event::Start(_));
                let went_back = world.entries.iter().zip(before);
                let went_back = went_back.filter(|(e, before)| e.revision < *before && !is_start);
                let fault = world.entries.iter().find_map(Entry::fault);
                let fault = fault.or(went_back.map(|_| "went back".to_owned()).next());
                let fault = fault.or_else(|| world.clone().settles().err());
                if let Some(fault) = fault {
                    faults.push(format!("{fault} after {path:?}"));
                    continue;
                }
                next.push((world, path));
            }
        }
        worlds = next;
    }
    println!("{} states to a depth of {depth}", seen.len());
    faults.truncate(5);
    assert!(faults.is_empty(), "{faults:#?}");
    assert!(seen.len() > 1_000, "{} states", seen.len());
}
