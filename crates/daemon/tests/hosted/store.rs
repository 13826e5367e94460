//! A stand-in of the platform's store: rows, a feed, conditions, and its faults.

use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use serde_json::{json, Value};
use sorreldeck::Time;
use sorreldeckd::clock::Clock;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// How the store treats calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mood {
    /// As it should.
    #[default]
    Well,
    /// Every call gets 503.
    Busy,
    /// Connections are closed without an answer.
    Reset,
    /// Changes are made and not answered.
    Lost,
    /// Calls are taken and nothing comes back.
    Silent,
    /// Every read is told that the history is gone.
    Forgetful,
}

/// Rows by table and key: the value, unless dropped, and the version.
type Rows = BTreeMap<(String, String), (Option<String>, u64)>;

#[derive(Default)]
struct State {
    version: u64,
    rows: Rows,
    /// How often the store came back from a copy.
    era: u64,
    /// What is told in its place, in turn.
    eras: Vec<&'static str>,
    /// The copy that it comes back from, with its version.
    copy: (Rows, u64),
    forgotten: u64,
    /// Whether waits that begin now hear nothing until their own end.
    is_deaf: bool,
    /// How often all open connections went silent for good.
    silenced: u64,
    /// Whether the last row of each page goes before the next page is read.
    loses_last_rows: bool,
    mood: Mood,
    calls: u64,
    waits: Vec<u64>,
}

/// The store.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    /// The time that passes for all, whichever machine is suspended.
    pub clock: Clock,
    began: Time,
    state: Arc<Mutex<State>>,
}

impl Store {
    pub async fn start() -> Store {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let clock = Clock::start();
        let store = Store {
            address: listener.local_addr().unwrap(),
            // It was there before.
            began: Time(clock.now().0 - 51_230_000),
            clock,
            state: Arc::default(),
        };
        let serving = store.clone();
        task::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                task::spawn(serving.clone().serve(stream));
            }
        });
        store
    }

    pub fn set(&self, mood: Mood) {
        self.state.lock().unwrap().mood = mood;
    }

    pub fn calls(&self) -> u64 {
        self.state.lock().unwrap().calls
    }

    /// Returns how long changes of the operator's table were waited for, in
    /// milliseconds, in the order of the calls.
    pub fn waits(&self) -> Vec<u64> {
        self.state.lock().unwrap().waits.clone()
    }

    /// Tells these as its era, in turn; an empty text stands for none.
    pub fn tell_eras(&self, eras: &[&'static str]) {
        self.state.lock().unwrap().eras = eras.to_vec();
    }

    /// Takes a copy.
    pub fn copy(&self) {
        let mut state = self.state.lock().unwrap();
        state.copy = (state.rows.clone(), state.version);
    }

    /// Comes back from the copy: what was written since is gone, its versions are given out
    /// again, and the history up to the copy is forgotten.
    pub fn restore(&self) {
        let mut state = self.state.lock().unwrap();
        (state.rows, state.version) = state.copy.clone();
        state.rows.retain(|_, (value, _)| value.is_some());
        state.forgotten = state.version;
        state.era += 1;
    }

    /// Forgets the history up to now.
    pub fn forget(&self) {
        let mut state = self.state.lock().unwrap();
        state.forgotten = state.version;
    }

    /// Forgets the history with a change that nobody has heard of; from now on, waits that
    /// begin hear nothing until their own end.
    pub fn forget_and_go_deaf(&self) {
        let mut state = self.state.lock().unwrap();
        state.version += 1;
        let version = state.version;
        let row = (Some(STANDARD.encode("1")), version);
        state.rows.insert(("op".into(), "other".into()), row);
        state.forgotten = version;
        state.is_deaf = true;
    }

    /// Lets the last row of each page of a table go before the next page is read.
    pub fn lose_last_rows(&self) {
        self.state.lock().unwrap().loses_last_rows = true;
    }

    /// Lets waits that begin from now on hear all changes.
    pub fn hear_again(&self) {
        self.state.lock().unwrap().is_deaf = false;
    }

    /// Lets all open connections go silent for good, without a reset; new ones work.
    pub fn silence_connections(&self) {
        self.state.lock().unwrap().silenced += 1;
    }

    pub fn put(&self, table: &str, key: &str, value: &Value) {
        let mut state = self.state.lock().unwrap();
        state.version += 1;
        let version = state.version;
        let text = STANDARD.encode(value.to_string());
        let row = (Some(text), version);
        state.rows.insert((table.into(), key.into()), row);
    }

    /// Writes what is no row of ours: `text` stands where the value ought to be in base64.
    pub fn put_text(&self, table: &str, key: &str, text: &str) {
        let mut state = self.state.lock().unwrap();
        state.version += 1;
        let row = (Some(text.to_owned()), state.version);
        state.rows.insert((table.into(), key.into()), row);
    }

    pub fn drop_row(&self, table: &str, key: &str) {
        let mut state = self.state.lock().unwrap();
        state.version += 1;
        let version = state.version;
        state
            .rows
            .insert((table.into(), key.into()), (None, version));
    }

    /// Returns the version of a row.
    pub fn version(&self, table: &str, key: &str) -> Option<u64> {
        let state = self.state.lock().unwrap();
        let row = state.rows.get(&(table.to_owned(), key.to_owned()));
        row.map(|(_, version)| *version)
    }

    pub fn get(&self, table: &str, key: &str) -> Option<Value> {
        let state = self.state.lock().unwrap();
        let (text, _) = state.rows.get(&(table.to_owned(), key.to_owned()))?;
        let bytes = STANDARD.decode(text.as_ref()?).unwrap();
        serde_json::from_slice(&bytes).ok()
    }

    async fn serve(self, mut stream: TcpStream) {
        let opened = self.state.lock().unwrap().silenced;
        while let Some((line, body)) = read_call(&mut stream).await {
            let mood = {
                let mut state = self.state.lock().unwrap();
                state.calls += 1;
                state.waits.extend(operator_wait(&line));
                state.mood
            };
            let (status, value) = match mood {
                Mood::Reset => return,
                Mood::Busy => (503, json!({})),
                Mood::Forgetful if line.starts_with("GET") => (410, json!({})),
                Mood::Silent => {
                    task::sleep(Duration::from_secs(60)).await;
                    return;
                }
                Mood::Lost if line.starts_with("POST") => {
                    self.transact(&body);
                    // Nothing more is said on this connection.
                    task::sleep(Duration::from_secs(60)).await;
                    return;
                }
                _ => self.answer(&line, &body).await,
            };
            if self.state.lock().unwrap().silenced > opened {
                task::sleep(Duration::from_secs(60)).await;
                return;
            }
            let text = value.to_string();
            let era = self.era_header();
            let reply = format!(
                "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\n{era}content-length: {}\r\n\r\n{text}",
                text.len()
            );
            if stream.write_all(reply.as_bytes()).await.is_err() {
                return;
            }
        }
    }

    /// Returns the line in which the store tells its era.
    fn era_header(&self) -> String {
        let mut state = self.state.lock().unwrap();
        let told = match state.eras.is_empty() {
            true => state.era.to_string(),
            false => {
                state.eras.rotate_left(1);
                state.eras.last().copied().unwrap_or_default().to_owned()
            }
        };
        match told.is_empty() {
            true => told,
            false => format!("store-era: {told}\r\n"),
        }
    }

    async fn answer(&self, line: &str, body: &[u8]) -> (u16, Value) {
        let target = line.split(' ').nth(1).unwrap();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: HashMap<&str, &str> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .collect();
        match path {
            "/rows-get" => (
                200,
                self.page(query["table"], query["from"], query["limit"]),
            ),
            "/rows-feed" => {
                let since = query["since-revision"].parse().unwrap();
                let wait = Duration::from_millis(query["wait-ms"].parse().unwrap());
                self.feed(query["table"], since, wait).await
            }
            "/rows-tx" => self.transact(body),
            _ => (404, json!({})),
        }
    }

    fn rows(&self, table: &str, since: u64, gone: bool) -> Value {
        let state = self.state.lock().unwrap();
        let rows: Vec<Value> = state
            .rows
            .iter()
            .filter(|((t, _), (value, ver))| {
                t == table && *ver > since && (gone || value.is_some())
            })
            .map(|((_, key), (value, ver))| match value {
                Some(value) => {
                    json!({"table": table, "part": "", "key": key, "value": value, "ver": ver})
                }
                None => json!({"table": table, "part": "", "key": key, "ver": ver, "gone": true}),
            })
            .collect();
        json!({"rows": rows, "more": false, "ver": state.version, "now_ms": self.now_ms()})
    }

    /// Returns the time on the store's steady clock.
    fn now_ms(&self) -> u64 {
        self.clock.now().since(self.began).millis()
    }

    /// Returns a page of a table: the rows from a key on.
    fn page(&self, table: &str, from: &str, limit: &str) -> Value {
        let mut page = self.rows(table, 0, false);
        let rows = page["rows"].as_array_mut().unwrap();
        rows.retain(|row| row["key"].as_str().unwrap() >= from);
        let limit: usize = limit.parse().unwrap();
        let more = rows.len() > limit;
        rows.truncate(limit);
        let last = rows.last().map(|row| row["key"].clone());
        page["more"] = json!(more);
        if let (true, Some(last)) = (more && self.state.lock().unwrap().loses_last_rows, last) {
            self.drop_row(table, last.as_str().unwrap());
        }
        page
    }

    async fn feed(&self, table: &str, since: u64, wait: Duration) -> (u16, Value) {
        let began = Instant::now();
        if self.state.lock().unwrap().is_deaf && since >= self.state.lock().unwrap().forgotten {
            task::sleep(wait).await;
        }
        loop {
            let is_known = {
                let state = self.state.lock().unwrap();
                (state.forgotten..=state.version).contains(&since)
            };
            if !is_known {
                return (410, json!({}));
            }
            let page = self.rows(table, since, true);
            let some = !page["rows"].as_array().unwrap().is_empty();
            if some || began.elapsed() >= wait {
                return (200, page);
            }
            task::sleep(Duration::from_millis(10)).await;
        }
    }

    fn transact(&self, body: &[u8]) -> (u16, Value) {
        let change: Value = serde_json::from_slice(body).unwrap();
        let mut state = self.state.lock().unwrap();
        let place = |row: &Value| {
            let text = |field: &str| row[field].as_str().unwrap().to_owned();
            (text("table"), text("key"))
        };
        for row in change["if-revision"].as_array().unwrap() {
            let known = state.rows.get(&place(row)).filter(|(v, _)| v.is_some());
            if known.map_or(0, |(_, ver)| *ver) != row["ver"].as_u64().unwrap() {
                return (
                    412,
                    json!({"rows": [], "ver": state.version, "now_ms": self.now_ms()}),
                );
            }
        }
        state.version += 1;
        let version = state.version;
        for row in change["put"].as_array().unwrap() {
            let value = row["value"].as_str().map(str::to_owned);
            state.rows.insert(place(row), (value, version));
        }
        for row in change["remove"].as_array().unwrap() {
            state.rows.insert(place(row), (None, version));
        }
        (200, json!({"ver": version, "now_ms": self.now_ms()}))
    }
}

/// Returns how long a call waits for a change of the operator's table, if it does.
fn operator_wait(line: &str) -> Option<u64> {
    let (_, query) = line.split_once("/rows-feed?")?;
    let value = |name: &str| {
        let pairs = query.split([' ', '&']);
        pairs
            .filter_map(|p| p.split_once('='))
            .find(|p| p.0 == name)
    };
    value("table").filter(|p| p.1 == "op")?;
    value("wait-ms")?.1.parse().ok()
}

/// Reads the first line and the body of a call; `None` when the other side
/// closes.
pub async fn read_call(stream: &mut TcpStream) -> Option<(String, Vec<u8>)> {
    let (head, body) = read_message(stream).await?;
    let line = head.lines().next()?.to_owned();
    Some((line, body))
}

/// Reads the head and the body of a message that has a length or no body.
pub async fn read_message(stream: &mut TcpStream) -> Option<(String, Vec<u8>)> {
    let mut buf = Vec::new();
    let mut part = [0; 4096];
    let end = loop {
        if let Some(at) = buf.windows(4).position(|w| w == b"\r\n\r\n") {
            break at + 4;
        }
        let n = stream.read(&mut part).await.ok().filter(|n| *n > 0)?;
        buf.extend_from_slice(&part[..n]);
    };
    let mut body = buf.split_off(end);
    let head = String::from_utf8(buf).unwrap();
    let length = header(&head, "content-length").and_then(|v| v.parse().ok());
    let length: usize = length.unwrap_or(0);
    while body.len() < length {
        let n = stream.read(&mut part).await.ok().filter(|n| *n > 0)?;
        body.extend_from_slice(&part[..n]);
    }
    Some((head, body))
}

/// Returns the value of a header.
pub fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines()
        .filter_map(|line| line.split_once(':'))
        .find(|(n, _)| n.eq_ignore_ascii_case(name))
        .map(|(_, value)| value.trim())
}
