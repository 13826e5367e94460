//! Exhaustive search over the orders of a few events: a store that is restored from a backup once or
//! twice, two entries that read it, send each other its tables or restart, and writers that write
//! lost rows again.
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
/// The tables that contain rows; the others stay empty.
const TABLES: [Table; 2] = [Table::Operator, Table::Upstreams];
const LEAVING: &str = "i-0";
const JOINING: &str = "i-1";
const EVACUATION: &str = "evacuate/a";
const MAX_LOSSES: usize = 2;
const MAX_WRITES: usize = 4;
const MAX_STARTS: usize = 1;

/// Table and key of a row.
type Place = (Table, &'static str);
/// Version and value by table and key.
type Rows = BTreeMap<Place, (u64, Vec<u8>)>;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Event {
    /// The operator writes the next configuration.
    Configure,
    /// An upstream announces that it leaves.
    Leave,
    /// The row of the leaving upstream is removed.
    Remove,
    /// Another upstream joins.
    Join,
    /// The operator evacuates a data hall, or revokes the evacuation.
    Evacuate,
    /// The store is restored from its backup.
    Restore,
    /// A writer writes a lost row again.
    Rewrite(Place),
    /// An entry reads a table.
    Read(usize, Table),
    /// An entry sends a table to the other one.
    Send(usize, Table),
    /// An entry restarts without state.
    Start(usize),
}

#[derive(Clone, Debug)]
struct Entry {
    mirror: Mirror,
    revision: u64,
    uses: BTreeSet<String>,
    /// Upstreams that were retired since the entry started.
    left: BTreeSet<String>,
    evacuated: usize,
}

#[derive(Clone, Debug)]
struct State {
    era: u64,
    version: u64,
    rows: Rows,
    /// Versions of removed rows.
    gone: BTreeMap<Place, u64>,
    /// The last value written to each row; `None` if its writer removed it.
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

impl State {
    /// Returns a store with a configuration and an upstream, a backup of the same state, and two
    /// entries that have read it.
    fn new() -> State {
        let mut state = State {
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
        state.write((Table::Operator, "config"), Some(config(1)));
        state.write((Table::Upstreams, LEAVING), Some(upstream("ready")));
        state.copy = (state.rows.clone(), state.version);
        for entry in 0..2 {
            state.read_all(entry);
        }
        state
    }

    fn write(&mut self, place: Place, value: Option<Value>) {
        let value = value.map(|value| value.to_string().into_bytes());
        self.wrote.insert(place, value);
        self.rewrite(place);
    }

    fn rewrite(&mut self, place: Place) {
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

    fn is_evacuated(&self) -> bool {
        let order = self.wrote.get(&(Table::Operator, EVACUATION));
        order.is_some_and(Option::is_some)
    }

    fn state(&self, upstream: &'static str) -> Option<Value> {
        let wrote = self.wrote.get(&(Table::Upstreams, upstream));
        let value = wrote?.as_ref()?;
        Some(serde_json::from_slice::<Value>(value).unwrap()["state"].clone())
    }

    /// Returns the events that are possible in this state.
    fn events(&self) -> Vec<Event> {
        let mut events = Vec::new();
        if self.writes < MAX_WRITES {
            events.extend([Event::Configure, Event::Evacuate]);
            match self.state(LEAVING) {
                Some(state) if state == "ready" => events.push(Event::Leave),
                Some(_) => events.push(Event::Remove),
                None => {}
            }
            if self.state(JOINING).is_none() {
                events.push(Event::Join);
            }
        }
        if self.losses < MAX_LOSSES && self.writes > 0 {
            events.push(Event::Restore);
        }
        events.extend(self.lost().into_iter().map(Event::Rewrite));
        for entry in 0..2 {
            for table in TABLES {
                events.extend([Event::Read(entry, table), Event::Send(entry, table)]);
            }
            if self.starts < MAX_STARTS && self.losses > 0 {
                events.push(Event::Start(entry));
            }
        }
        events
    }

    fn apply_event(&mut self, event: Event) {
        let writes = [
            Event::Configure,
            Event::Leave,
            Event::Remove,
            Event::Join,
            Event::Evacuate,
        ];
        self.writes += usize::from(writes.contains(&event));
        match event {
            Event::Configure => {
                self.revision += 1;
                self.write((Table::Operator, "config"), Some(config(self.revision)));
            }
            Event::Leave => self.write((Table::Upstreams, LEAVING), Some(upstream("draining"))),
            Event::Remove => self.write((Table::Upstreams, LEAVING), None),
            Event::Join => self.write((Table::Upstreams, JOINING), Some(upstream("ready"))),
            Event::Evacuate => {
                let value = (!self.is_evacuated()).then(|| json!({}));
                self.write((Table::Operator, EVACUATION), value);
            }
            Event::Restore => {
                self.losses += 1;
                self.era += 1;
                (self.rows, self.version) = self.copy.clone();
                self.gone.clear();
            }
            Event::Rewrite(place) => self.rewrite(place),
            Event::Read(entry, table) => self.read(entry, table),
            Event::Send(entry, table) => self.send(entry, table),
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

    /// Makes an entry read the changes of a table, or the whole table if it has no base for changes.
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
        let is_requested = |row: &Row| match since {
            Some(since) => row.version > since,
            None => row.value.is_some(),
        };
        let mut rows: Vec<Row> = rows.chain(dropped).filter(is_requested).collect();
        rows.sort_by_key(|row| row.version);
        let page = Page {
            rows,
            version: self.version,
            now: Duration::ZERO,
            era: Some(Era(self.era)),
        };
        let whole = since.is_none();
        let freshness = entry.mirror.observe_era(table, &page, whole, NOW, NOW);
        assert_ne!(freshness, Freshness::Stale);
        let updates = entry.mirror.apply(table, page, whole, NOW);
        entry.record(updates);
    }

    fn send(&mut self, from: usize, table: Table) {
        let receiver = &self.entries[1 - from].mirror;
        let have = Stamp::new(receiver.era(), receiver.base(table).unwrap_or(0));
        if let Some(delta) = self.entries[from].mirror.delta(table, have) {
            let receiver = &mut self.entries[1 - from];
            if let Merge::Applied(updates) = receiver.mirror.apply_delta(delta, NOW) {
                receiver.record(updates);
            }
        }
    }

    /// Writes all lost rows again and reads them; checks that the entries then agree with the writers.
    fn check_convergence(mut self) -> Result<(), String> {
        for place in self.lost() {
            self.rewrite(place);
        }
        for _ in 0..2 {
            for entry in 0..2 {
                self.read_all(entry);
                self.entries[entry].advance(Span::from_millis(60_000));
            }
        }
        let ready =
            |upstream: &&'static str| self.state(upstream).is_some_and(|state| state == "ready");
        let names = [LEAVING, JOINING].into_iter();
        let uses: BTreeSet<String> = names.filter(ready).map(str::to_owned).collect();
        let expected = (self.revision, uses, usize::from(self.is_evacuated()));
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
    fn record(&mut self, updates: Vec<Update>) {
        for update in updates {
            match update {
                // As in an entry: the revision of the configuration only increases.
                Update::Config(config) => {
                    self.revision = self.revision.max(config.tree.revision().0);
                }
                Update::Joined(row, _) => drop(self.uses.insert(row.member.upstream.to_string())),
                Update::Retired(upstream) => {
                    self.uses.remove(upstream.as_str());
                    self.left.insert(upstream.to_string());
                }
                Update::Evacuated(halls) => self.evacuated = halls.len(),
                _ => {}
            }
        }
    }

    /// Advances the clock while the store answers.
    fn advance(&mut self, span: Span) {
        let later = NOW + span;
        let updates = self.mirror.tick(later, Some(later));
        self.record(updates);
    }

    /// Returns a violated invariant, if any; invariants apply between two starts of the entry.
    fn fault(&self) -> Option<String> {
        let row = self.mirror.row(Table::Operator, "config");
        let value: Option<Value> =
            row.and_then(|row| serde_json::from_slice(row.value.as_ref()?).ok());
        let holds = value
            .and_then(|value| value["version"].as_u64())
            .unwrap_or(0);
        if holds < self.revision {
            return Some(format!(
                "configuration {holds} is stored after {} was applied",
                self.revision
            ));
        }
        let again = self.uses.intersection(&self.left).next();
        // This upstream never reports that it is ready after it has announced that it leaves.
        let again = again.filter(|upstream| *upstream == LEAVING);
        again.map(|upstream| format!("{upstream} is used again"))
    }
}

/// Returns a hash of the whole state.
fn digest(state: &State) -> u64 {
    use std::hash::{DefaultHasher, Hash, Hasher};
    let mut hasher = DefaultHasher::new();
    format!("{state:?}").hash(&mut hasher);
    hasher.finish()
}

/// Events before and at a loss, after which the two entries have read different changes.
const LOST: [Event; 9] = [
    Event::Evacuate,
    Event::Read(0, Table::Operator),
    Event::Configure,
    Event::Leave,
    Event::Join,
    Event::Read(0, Table::Upstreams),
    Event::Read(1, Table::Operator),
    Event::Restore,
    Event::Read(0, Table::Operator),
];

/// Each row: the events before the search.
#[test_case(&[]; "from the start")]
#[test_case(&LOST; "after a loss")]
fn no_order_of_losses_writes_and_reads_reverts_the_applied_state(before: &[Event]) {
    let depth = std::env::var("SORRELDECK_DEPTH").ok();
    let depth = depth.and_then(|n| n.parse().ok()).unwrap_or(5);
    let mut seen = HashSet::new();
    let mut first = State::new();
    before.iter().for_each(|event| first.apply_event(*event));
    let mut states = vec![(first, before.to_vec())];
    let mut faults = Vec::new();
    for _ in 0..depth {
        let mut next = Vec::new();
        for (state, path) in &states {
            for event in state.events() {
                let mut state = state.clone();
                let before: Vec<u64> = state.entries.iter().map(|e| e.revision).collect();
                state.apply_event(event);
                if !seen.insert(digest(&state)) {
                    continue;
                }
                let mut path: Vec<Event> = path.clone();
                path.push(event);
                let is_start = matches!(event, Event::Start(_));
                let reverted = state.entries.iter().zip(before);
                let reverted = reverted.filter(|(e, before)| e.revision < *before && !is_start);
                let fault = state.entries.iter().find_map(Entry::fault);
                let fault = fault.or(reverted
                    .map(|_| "the configuration was reverted".to_owned())
                    .next());
                let fault = fault.or_else(|| state.clone().check_convergence().err());
                if let Some(fault) = fault {
                    faults.push(format!("{fault} after {path:?}"));
                    continue;
                }
                next.push((state, path));
            }
        }
        states = next;
    }
    println!("{} states to a depth of {depth}", seen.len());
    faults.truncate(5);
    assert!(faults.is_empty(), "{faults:#?}");
    assert!(seen.len() > 1_000, "{} states", seen.len());
}
