//! Usage of client accounts by window, reported to the platform over sockets.

use super::*;
use std::sync::Mutex;

/// Stand-in of the platform's endpoint for duties: the calls it received, and whether it answers.
#[derive(Clone, Default)]
struct Platform {
    calls: Arc<Mutex<Vec<(String, Value)>>>,
    is_unresponsive: Arc<AtomicBool>,
}

impl Platform {
    async fn start(&self) -> SocketAddr {
        let listener = async_std::net::TcpListener::bind("127.0.0.1:0")
            .await
            .unwrap();
        let address = listener.local_addr().unwrap();
        let platform = self.clone();
        task::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                task::spawn(platform.clone().serve(stream));
            }
        });
        address
    }

    async fn serve(self, mut stream: TcpStream) {
        let mut text = Vec::new();
        let mut buf = [0; 4096];
        loop {
            let Ok(n @ 1..) = stream.read(&mut buf).await else {
                return;
            };
            text.extend_from_slice(&buf[..n]);
            let Some((head, body)) = parse_call(&text) else {
                continue;
            };
            if self
                .is_unresponsive
                .load(std::sync::atomic::Ordering::Relaxed)
            {
                return task::sleep(TIMEOUT).await;
            }
            self.calls.lock().unwrap().push((head, body));
            text.clear();
            let answer = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
            if stream.write_all(answer.as_bytes()).await.is_err() {
                return;
            }
        }
    }

    fn calls(&self) -> Vec<(String, Value)> {
        self.calls.lock().unwrap().clone()
    }

    /// Returns the requests of a client account in all windows that were reported.
    fn reported(&self, account: &str) -> u64 {
        let calls = self.calls();
        let mut windows: std::collections::BTreeMap<u64, u64> = Default::default();
        for (_, body) in &calls {
            let window = body["window"].as_u64().unwrap();
            windows.insert(window, body["counts"][account].as_u64().unwrap_or(0));
        }
        windows.values().sum()
    }
}

/// Returns the head in lower case and the body of a call, if it is complete.
fn parse_call(text: &[u8]) -> Option<(String, Value)> {
    let text = std::str::from_utf8(text).ok()?;
    let (head, body) = text.split_once("\r\n\r\n")?;
    let body = serde_json::from_str(body).ok()?;
    Some((head.to_lowercase(), body))
}

/// Starts an entry with one upstream, and waits until it is ready.
async fn start_entry_with(platform: &Platform) -> (Running, Upstream) {
    let store = Store::start().await;
    store.put("op", "config", &config(3, &[]));
    let upstream = Upstream::start("i-1", &Refused::default()).await;
    announce(&store, &upstream, "clock", "ready");
    let address = platform.start().await.to_string();
    let more = json!({
        "bounds": {"report-window-s": 1, "usage-late-s": 2, "lease-ms": 500},
        "cloud": {"address": address, "duties": ["usage", "scale"], "duty-per-s": 50.0},
        "bootstrap": true
    });
    let clock = store.clock.clone();
    let entry = start_entry_with_settings(&store, "front-1", "a", &[], clock, more).await;
    until_ready(&entry).await;
    (entry, upstream)
}

#[test]
fn usage_is_reported_once_a_window() {
    task::block_on(async {
        let platform = Platform::default();
        let (entry, _upstream) = start_entry_with(&platform).await;
        for _ in 0..10 {
            let answer = ask(entry.callers, &request("/once/body", "")).await;
            assert_eq!(status(&answer), 200);
        }
        eventually("all requests are reported", || async {
            platform.reported("payroll") == 10
        })
        .await;
        let calls = platform.calls();
        for (head, _) in &calls {
            assert!(head.starts_with("post /usage "), "{head}");
            assert!(head.contains("lease-holder: front-1"), "{head}");
            assert!(head.contains("fencing-token: "), "{head}");
        }
        let windows: Vec<u64> = calls
            .iter()
            .map(|(_, b)| b["window"].as_u64().unwrap())
            .collect();
        assert!(windows.is_sorted_by(|a, b| a < b), "{windows:?}");
    });
}

#[test]
fn windows_are_reported_after_an_outage_of_the_platform() {
    task::block_on(async {
        let platform = Platform::default();
        platform
            .is_unresponsive
            .store(true, std::sync::atomic::Ordering::Relaxed);
        let (entry, _upstream) = start_entry_with(&platform).await;
        for _ in 0..5 {
            ask(entry.callers, &request("/once/body", "")).await;
        }
        task::sleep(Duration::from_millis(3_500)).await;
        assert_eq!(platform.calls().len(), 0);
        platform
            .is_unresponsive
            .store(false, std::sync::atomic::Ordering::Relaxed);
        eventually("the usage during the outage is reported", || async {
            platform.reported("payroll") == 5
        })
        .await;
    });
}
