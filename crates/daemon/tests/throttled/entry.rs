//! An entry as a process that runs for a part of each period only.

use crate::store::Store;
use serde_json::json;
use std::fs::File;
use std::net::{SocketAddr, TcpListener};
use std::ops::Range;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU16, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The period of which a process runs a part.
const PERIOD: Duration = Duration::from_millis(50);

/// How often a process is looked at that has not had its part of a period.
const LOOK_EVERY: Duration = Duration::from_micros(500);

/// Ports below those of outgoing connections.
const PORTS: Range<u16> = 20_000..30_000;

/// What an entry may use.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// The share of a core that the settings tell.
    pub share: f64,
    /// The memory in MB.
    pub memory: u32,
    /// The bandwidth in Mbit/s.
    pub mbps: f64,
}

/// A running entry; it is killed when dropped.
pub struct Entry {
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    pub links: SocketAddr,
    child: Child,
    held: Arc<AtomicBool>,
    /// Until when the process does not run at all.
    paused_until: Arc<Mutex<Option<Instant>>>,
    throttle: Option<thread::JoinHandle<()>>,
    settings: PathBuf,
    pub log: PathBuf,
}

impl Entry {
    /// Starts an entry; it runs unhindered until [`Entry::throttle`] is called.
    pub fn start(store: &Store, name: &str, limits: Limits) -> Entry {
        let [callers, ready, control] = [free_address(), free_address(), free_address()];
        let text = json!({
            "node": name, "zone": "a", "ip": "127.0.0.1",
            "listen": {"front": callers, "ready": ready, "control": control},
            "seeds": [], "provider": {"address": store.address.to_string()},
            "limits": {"memory-mb": limits.memory, "cpu-share": limits.share, "cores": 1,
                "link-mbps": limits.mbps}
        });
        let unique = format!("sorreldeck-{}-{}", std::process::id(), callers.port());
        let settings = std::env::temp_dir().join(format!("{unique}.json"));
        let log = std::env::temp_dir().join(format!("{unique}.log"));
        std::fs::write(&settings, text.to_string()).unwrap();
        Entry {
            callers,
            ready,
            links: control,
            child: spawn(&settings, &log),
            held: Arc::default(),
            paused_until: Arc::default(),
            throttle: None,
            settings,
            log,
        }
    }

    /// Lets the process run for a share of each period only, from now on.
    pub fn throttle(&mut self, share: f64) {
        let pid = self.child.id() as i32;
        let (held, paused_until) = (self.held.clone(), self.paused_until.clone());
        held.store(true, Ordering::Relaxed);
        let runs = PERIOD.mul_f64(share);
        // Processes that all stop and run in step would share one core.
        let offset = PERIOD.mul_f64(f64::from(self.callers.port() % 16) / 16.0);
        self.throttle = Some(thread::spawn(move || {
            thread::sleep(offset);
            let mut next = Instant::now();
            while held.load(Ordering::Relaxed) {
                let paused = paused_until.lock().unwrap().take();
                if let Some(until) = paused {
                    thread::sleep(until.saturating_duration_since(Instant::now()));
                    next = Instant::now();
                }
                let before = processor_time(pid);
                signal(pid, libc::SIGCONT);
                thread::sleep(runs);
                // On a busy machine a process that wants to run may not have had its part yet.
                while is_runnable(pid)
                    && processor_time(pid) < before.saturating_add(runs)
                    && Instant::now() + LOOK_EVERY < next + PERIOD
                {
                    thread::sleep(LOOK_EVERY);
                }
                signal(pid, libc::SIGSTOP);
                next += PERIOD;
                thread::sleep(next.saturating_duration_since(Instant::now()));
            }
            signal(pid, libc::SIGCONT);
        }));
    }

    /// Stops the process for some time.
    pub fn pause(&self, time: Duration) {
        *self.paused_until.lock().unwrap() = Some(Instant::now() + time);
    }

    /// Sends a signal to the process.
    pub fn signal(&self, number: i32) {
        signal(self.child.id() as i32, number);
    }

    /// Kills the process and starts it again, with the same share.
    pub fn restart(&mut self, share: f64) {
        self.kill();
        self.child = spawn(&self.settings, &self.log);
        self.throttle(share);
    }

    fn kill(&mut self) {
        self.held.store(false, Ordering::Relaxed);
        if let Some(throttle) = self.throttle.take() {
            // A thread that panicked has nothing left to undo.
            let _ = throttle.join();
        }
        // Fails only if the process has ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Returns whether the process still runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Returns the processor time that the process has used.
    pub fn used(&self) -> Duration {
        processor_time(self.child.id() as i32)
    }

    /// Returns the most memory that the process has used, in kB.
    pub fn peak_kb(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kb = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
        kb.expect("the system tells the memory of a process")
    }

    /// Returns the lines of the log that contain a text.
    pub fn lines(&self, text: &str) -> Vec<String> {
        let log = std::fs::read_to_string(&self.log).unwrap_or_default();
        let lines = log.lines().filter(|line| line.contains(text));
        lines.map(str::to_owned).collect()
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.kill();
        if !thread::panicking() {
            let _ = std::fs::remove_file(&self.log);
        }
        let _ = std::fs::remove_file(&self.settings);
    }
}

fn spawn(settings: &Path, log: &Path) -> Child {
    let keys = format!("1:{}", "42".repeat(32));
    let log = File::options().create(true).append(true).open(log);
    Command::new(env!("CARGO_BIN_EXE_sorreldeckd"))
        .arg("hosted")
        .env("SORRELDECK_NODE_FILE", settings)
        .env("SORRELDECK_LINK_KEYS", &keys)
        .env("SORRELDECK_SESSION_KEYS", &keys)
        .env("RUST_BACKTRACE", "1")
        .stdout(log.unwrap())
        .stderr(Stdio::null())
        .spawn()
        .unwrap()
}

fn signal(pid: i32, signal: i32) {
    // SAFETY: the process was started by this test and has not been waited for.
    unsafe { libc::kill(pid, signal) };
}

/// Returns the processor time that a process has used.
fn processor_time(pid: i32) -> Duration {
    let mut clock = 0;
    let mut time = libc::timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    // SAFETY: both calls write to variables of this function only.
    let failed = unsafe {
        libc::clock_getcpuclockid(pid, &mut clock) != 0
            || libc::clock_gettime(clock, &mut time) != 0
    };
    match failed {
        // The process has ended.
        true => Duration::MAX,
        false => Duration::new(time.tv_sec as u64, time.tv_nsec as u32),
    }
}

/// Returns whether a process wants to run.
fn is_runnable(pid: i32) -> bool {
    let tasks = std::fs::read_dir(format!("/proc/{pid}/task"));
    let mut stats = tasks.into_iter().flatten().flatten().map(|task| {
        let stat = std::fs::read_to_string(task.path().join("stat"));
        stat.unwrap_or_default()
    });
    stats.any(|stat| {
        stat.rsplit_once(") ")
            .is_some_and(|(_, rest)| rest.starts_with('R'))
    })
}

/// Returns an address of a port that nobody uses and that is given to no outgoing connection.
fn free_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    loop {
        let number = NEXT.fetch_add(1, Ordering::Relaxed) + std::process::id() as u16 % 64 * 128;
        let port = PORTS.start + number % PORTS.len() as u16;
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port)) {
            return listener.local_addr().unwrap();
        }
    }
}
