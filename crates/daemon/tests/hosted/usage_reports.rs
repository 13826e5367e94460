//! Windows of what client accounts used, reported over sockets.

use super::*;
use std::sync::Mutex;

/// The platform's address for duties: what it was told, and how often it answers nothing.
#[derive(Clone, Default)]
struct Cloud {
    told: Arc<Mutex<Vec<(String, Value)>>>,
    is_silent: Arc<AtomicBool>,
}

impl Cloud {
    async fn start(&self) -> SocketAddr {
        let listener = async_std::net::TcpListener::bind("127.0.0.1:0")
            .await
            .unwrap();
        let address = listener.local_addr().unwrap();
        let cloud = self.clone();
        task::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                task::spawn(cloud.clone().serve(stream));
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
            let Some((head, body)) = whole(&text) else {
                continue;
            };
            if self.is_silent.load(std::sync::atomic::Ordering::Relaxed) {
                return task::sleep(PATIENCE).await;
            }
            self.told.lock().unwrap().push((head, body));
            text.clear();
            let answer = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
            if stream.write_all(answer.as_bytes()).await.is_err() {
                return;
            }
        }
    }

    fn told(&self) -> Vec<(String, Value)> {
        self.told.lock().unwrap().clone()
    }

    /// Returns the requests of a client account in all windows that were reported.
    fn reported(&self, account: &str) -> u64 {
        let told = self.told();
        let mut windows: std::collections::BTreeMap<u64, u64> = Default::default();
        for (_, body) in &told {
            let window = body["window"].as_u64().unwrap();
            windows.insert(window, body["counts"][account].as_u64().unwrap_or(0));
        }
        windows.values().sum()
    }
}

/// Returns the head in lower case and the body of a call that has come in whole.
fn whole(text: &[u8]) -> Option<(String, Value)> {
    let text = std::str::from_utf8(text).ok()?;
    let (head, body) = text.split_once("\r\n\r\n")?;
    let body = serde_json::from_str(body).ok()?;
    Some((head.to_lowercase(), body))
}

/// Starts an entry before one upstream, and waits until it is ready.
async fn start_entry_with(cloud: &Cloud) -> (Running, Runner) {
    let store = Store::start().await;
    store.put("op", "config", &config(3, &[]));
    let runner = Runner::start("i-1", &Refused::default()).await;
    announce(&store, &runner, "clock", "ready");
    let address = cloud.start().await.to_string();
    let more = json!({
        "bounds": {"report-window-s": 1, "usage-late-s": 2, "lease-ms": 500},
        "cloud": {"address": address, "duties": ["usage", "scale"], "duty-per-s": 50.0},
        "bootstrap": true
    });
    let clock = store.clock.clone();
    let entry = start_entry_told(&store, "front-1", "a", &[], clock, more).await;
    until_ready(&entry).await;
    (entry, runner)
}

#[test]
fn what_accounts_used_is_reported_once_a_window() {
    task::block_on(async {
        let cloud = Cloud::default();
        let (entry, _runner) = start_entry_with(&cloud).await;
        for _ in 0..10 {
            let answer = ask(entry.callers, &request("/once/body", "")).await;
            assert_eq!(status(&answer), 200);
        }
        eventually("all requests are reported", || async {
            cloud.reported("payroll") == 10
        })
        .await;
        let told = cloud.told();
        for (head, _) in &told {
            assert!(head.starts_with("post /usage "), "{head}");
            assert!(head.contains("lease-holder: front-1"), "{head}");
            assert!(head.contains("fencing-token: "), "{head}");
        }
        let windows: Vec<u64> = told
            .iter()
            .map(|(_, b)| b["window"].as_u64().unwrap())
            .collect();
        assert!(windows.is_sorted_by(|a, b| a < b), "{windows:?}");
    });
}

#[test]
fn a_platform_that_was_silent_is_told_all_windows_later() {
    task::block_on(async {
        let cloud = Cloud::default();
        cloud
            .is_silent
            .store(true, std::sync::atomic::Ordering::Relaxed);
        let (entry, _runner) = start_entry_with(&cloud).await;
        for _ in 0..5 {
            ask(entry.callers, &request("/once/body", "")).await;
        }
        task::sleep(Duration::from_millis(3_500)).await;
        assert_eq!(cloud.told().len(), 0);
        cloud
            .is_silent
            .store(false, std::sync::atomic::Ordering::Relaxed);
        eventually("what was used meanwhile is reported", || async {
            cloud.reported("payroll") == 5
        })
        .await;
    });
}
