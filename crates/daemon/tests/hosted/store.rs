//! Stand-in of the platform's store: rows, a change feed, conditional writes, and faults.

use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use serde_json::{json, Value};
use sorreldeck::Time;
use sorreldeckd::clock::Clock;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// How the store responds to calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Behavior {
    /// Without faults.
    #[default]
    Normal,
    /// Every call is answered with 503.
    Busy,
    /// Connections are closed without an answer.
    Reset,
    /// Writes are applied but not acknowledged.
    LoseAcks,
    /// Calls are accepted and not answered.
    Silent,
    /// Every read is answered with 410: the history is lost.
    HistoryLost,
    /// Every call is answered with a body that does not end.
    Endless,
}

/// Rows by table and key: the value, `None` if removed, and the version.
type Rows = BTreeMap<(String, String), (Option<String>, u64)>;

#[derive(Default)]
struct State {
    version: u64,
    rows: Rows,
    /// Number of restores from the backup.
    era: u64,
    /// Values reported instead of the era, in turn.
    eras: Vec<&'static str>,
    /// The backup, with its version.
    copy: (Rows, u64),
    /// Version up to which the history is lost.
    forgotten: u64,
    /// Whether new waits report no change until their own end.
    ignores_waits: bool,
    /// How often all open connections stopped delivering for good.
    stalls: u64,
    /// Whether the last row of each page is removed before the next page is read.
    removes_last_rows: bool,
    behavior: Behavior,
    calls: u64,
    waits: Vec<u64>,
    /// The most bytes sent of one body that does not end.
    most_sent: usize,
    /// The keys of rows whose values are sent as they are, without quotes.
    raw: BTreeSet<String>,
}

/// The store.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    /// The clock of the entry's machine, which a test may suspend.
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
            // The store started before the entry.
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

    pub fn set_behavior(&self, behavior: Behavior) {
        self.state.lock().unwrap().behavior = behavior;
    }

    pub fn calls(&self) -> u64 {
        self.state.lock().unwrap().calls
    }

    /// Returns the most bytes that were sent of one body that does not end.
    pub fn most_sent(&self) -> usize {
        self.state.lock().unwrap().most_sent
    }

    /// Sends a body without end, until the caller closes the connection.
    async fn send_endless(&self, mut stream: TcpStream) {
        let mut bytes = b"HTTP/1.1 200 OK\r\n\r\n{\"rows\": [".to_vec();
        let mut sent = 0;
        while stream.write_all(&bytes).await.is_ok() {
            sent += bytes.len();
            bytes = vec![b' '; 64 * 1024];
            let mut state = self.state.lock().unwrap();
            state.most_sent = state.most_sent.max(sent);
        }
    }

    /// Returns the requested wait times for changes of the operator's table, in milliseconds, in the
    /// order of the calls.
    pub fn waits(&self) -> Vec<u64> {
        self.state.lock().unwrap().waits.clone()
    }

    /// Reports these values as the era, in turn; an empty text omits the header.
    pub fn report_eras(&self, eras: &[&'static str]) {
        self.state.lock().unwrap().eras = eras.to_vec();
    }

    /// Takes a backup.
    pub fn copy(&self) {
        let mut state = self.state.lock().unwrap();
        state.copy = (state.rows.clone(), state.version);
    }

    /// Restores the backup: later writes are lost, their versions are issued again, and the history up
    /// to the backup is lost.
    pub fn restore(&self) {
        let mut state = self.state.lock().unwrap();
        (state.rows, state.version) = state.copy.clone();
        state.rows.retain(|_, (value, _)| value.is_some());
        state.forgotten = state.version;
        state.era += 1;
    }

    /// Loses the history up to now.
    pub fn lose_history(&self) {
        let mut state = self.state.lock().unwrap();
        state.forgotten = state.version;
    }

    /// Makes a change and loses the history that includes it; from now on, new waits report no change
    /// until their own end.
    pub fn lose_history_and_ignore_waits(&self) {
        let mut state = self.state.lock().unwrap();
        state.version += 1;
        let version = state.version;
        let row = (Some(STANDARD.encode("1")), version);
        state.rows.insert(("op".into(), "other".into()), row);
        state.forgotten = version;
        state.ignores_waits = true;
    }

    /// Removes the last row of each page of a table before the next page is read.
    pub fn remove_last_rows(&self) {
        self.state.lock().unwrap().removes_last_rows = true;
    }

    /// Makes new waits report changes again.
    pub fn answer_waits(&self) {
        self.state.lock().unwrap().ignores_waits = false;
    }

    /// Makes all open connections stop delivering for good, without a reset; new ones work.
    pub fn stall_connections(&self) {
        self.state.lock().unwrap().stalls += 1;
    }

    pub fn put(&self, table: &str, key: &str, value: &Value) {
        let mut state = self.state.lock().unwrap();
        state.version += 1;
        let version = state.version;
        let text = STANDARD.encode(value.to_string());
        let row = (Some(text), version);
        state.rows.insert((table.into(), key.into()), row);
    }

    /// Writes a malformed row: `text` is stored in place of the base64 value.
    pub fn put_text(&self, table: &str, key: &str, text: &str) {
        let mut state = self.state.lock().unwrap();
        state.version += 1;
        let row = (Some(text.to_owned()), state.version);
        state.rows.insert((table.into(), key.into()), row);
    }

    /// Writes a row whose value is this JSON itself, in place of its base64 text.
    pub fn put_raw(&self, table: &str, key: &str, json: &'static str) {
        self.put_text(table, key, json);
        self.state.lock().unwrap().raw.insert(key.to_owned());
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
        let opened = self.state.lock().unwrap().stalls;
        while let Some((line, body)) = read_call(&mut stream).await {
            let behavior = {
                let mut state = self.state.lock().unwrap();
                state.calls += 1;
                state.waits.extend(operator_wait(&line));
                state.behavior
            };
            let (status, value) = match behavior {
                Behavior::Reset => return,
                Behavior::Endless => return self.send_endless(stream).await,
                Behavior::Busy => (503, json!({})),
                Behavior::HistoryLost if line.starts_with("GET") => (410, json!({})),
                Behavior::Silent => {
                    task::sleep(Duration::from_secs(60)).await;
                    return;
                }
                Behavior::LoseAcks if line.starts_with("POST") => {
                    self.transact(&body);
                    // The connection stays open but delivers nothing more.
                    task::sleep(Duration::from_secs(60)).await;
                    return;
                }
                _ => self.answer(&line, &body).await,
            };
            if self.state.lock().unwrap().stalls > opened {
                task::sleep(Duration::from_secs(60)).await;
                return;
            }
            let text = self.text_of(&value);
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

    /// Returns the body of an answer, in which raw values have lost their quotes.
    fn text_of(&self, value: &Value) -> String {
        let state = self.state.lock().unwrap();
        let text = value.to_string();
        state.raw.iter().fold(text, |text, key| {
            let value = state.rows.iter().find(|((_, k), _)| k == key);
            let Some((_, (Some(value), _))) = value else {
                return text;
            };
            text.replace(&json!(value).to_string(), value)
        })
    }

    /// Returns the header line with the era.
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

    /// Returns the time on the store's monotonic clock.
    fn now_ms(&self) -> u64 {
        self.clock.now().since(self.began).millis()
    }

    /// Returns a page of a table that starts at a key.
    fn page(&self, table: &str, from: &str, limit: &str) -> Value {
        let mut page = self.rows(table, 0, false);
        let rows = page["rows"].as_array_mut().unwrap();
        rows.retain(|row| row["key"].as_str().unwrap() >= from);
        let limit: usize = limit.parse().unwrap();
        let more = rows.len() > limit;
        rows.truncate(limit);
        let last = rows.last().map(|row| row["key"].clone());
        page["more"] = json!(more);
        if let (true, Some(last)) = (more && self.state.lock().unwrap().removes_last_rows, last) {
            self.drop_row(table, last.as_str().unwrap());
        }
        page
    }

    async fn feed(&self, table: &str, since: u64, wait: Duration) -> (u16, Value) {
        let began = Instant::now();
        if self.state.lock().unwrap().ignores_waits && since >= self.state.lock().unwrap().forgotten
        {
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

/// Returns the wait time of a call that waits for changes of the operator's table.
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

/// Reads the first line and the body of a call; `None` if the peer closed the connection.
pub async fn read_call(stream: &mut TcpStream) -> Option<(String, Vec<u8>)> {
    let (head, body) = read_message(stream).await?;
    let line = head.lines().next()?.to_owned();
    Some((line, body))
}

/// Reads the head and the body of a message; without a content length there is no body.
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
