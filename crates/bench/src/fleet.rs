//! The processes of an experiment: stand-ins, sidecars and entries.

use crate::plan::Plan;
use crate::stand::Addresses;
use async_std::task;
use eyre::{bail, eyre, Result, WrapErr};
use serde_json::{json, Value};
use sorreldeck::wire::Header;
use sorreldeck_net::http::{Client, Reply};
use sorreldeck_net::platform::{Faults, Instance, Role};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// The keys that every process of an experiment uses.
pub const KEYS: &str = "1:00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff";
/// The token that may edit the whole tree.
pub const TOKEN: &str = "bench-root";
const READY_TIMEOUT: Duration = Duration::from_secs(15);

/// A process that is killed when it is dropped.
pub struct Process {
    child: Child,
    /// The first line that it printed.
    pub line: String,
}

impl Process {
    /// Starts this program again with other arguments.
    pub fn start(args: &[String], threads: usize) -> Result<Process> {
        let mut child = Command::new(std::env::current_exe()?)
            .args(args)
            .env("ASYNC_STD_THREAD_COUNT", threads.to_string())
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log_file()?)
            .spawn()
            .wrap_err("a process could not be started")?;
        let stdout = child
            .stdout
            .take()
            .ok_or_else(|| eyre!("there is no output"))?;
        let mut line = String::new();
        BufReader::new(stdout).read_line(&mut line)?;
        if line.is_empty() {
            let _ = child.kill();
            let _ = child.wait();
            bail!("a process ended at once: {args:?}");
        }
        Ok(Process { child, line })
    }

    /// Sends the process a signal.
    pub fn signal(&self, signal: i32) {
        // SAFETY: kill takes two numbers and touches no memory; the child has
        // not been waited for, so its id still is its own.
        unsafe { libc::kill(self.child.id() as i32, signal) };
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Returns the processor time used so far and the memory held now.
    pub fn usage(&self) -> Option<Usage> {
        let id = self.child.id();
        let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
        let fields: Vec<&str> = stat.rsplit(')').next()?.split_whitespace().collect();
        let ticks: u64 =
            fields.get(11)?.parse::<u64>().ok()? + fields.get(12)?.parse::<u64>().ok()?;
        let pages: u64 = fields.get(21)?.parse().ok()?;
        Some(Usage {
            cpu: Duration::from_millis(ticks * 10),
            memory: pages * 4096,
        })
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // A stopped process does not die of anything but this.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// What a process has used.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// The processor time.
    pub cpu: Duration,
    /// The resident memory in bytes.
    pub memory: u64,
}

fn log_file() -> Result<Stdio> {
    match std::env::var_os("SORRELDECK_BENCH_LOG") {
        Some(path) => {
            let file = std::fs::OpenOptions::new()
                .create(true)
                .append(true)
                .open(path)?;
            Ok(file.into())
        }
        None => Ok(Stdio::null()),
    }
}

/// A sidecar and the upstream that it stands before.
pub struct Sidecar {
    /// The process.
    pub process: Process,
    /// The name of the upstream.
    pub name: String,
    /// The arguments by which it can be started again.
    pub args: Vec<String>,
    /// The address for links.
    pub address: SocketAddr,
    /// The address for health checks and metrics.
    pub health: SocketAddr,
    /// The address of the upstream.
    pub upstream: SocketAddr,
}

/// An entry.
pub struct Entry {
    /// The process.
    pub process: Process,
    /// The name.
    pub name: String,
    /// The address for callers and operators.
    pub address: SocketAddr,
}

/// All processes of an experiment.
pub struct Fleet {
    /// The process of the stand-ins, which ends with the fleet.
    _stand: Process,
    /// Where the stand-ins are.
    pub addresses: Addresses,
    /// The sidecars, those of engines first.
    pub sidecars: Vec<Sidecar>,
    /// The entries.
    pub entries: Vec<Entry>,
    /// A client for orders to the processes.
    pub client: Client,
}

fn strings(args: &[&str]) -> Vec<String> {
    args.iter().map(|s| s.to_string()).collect()
}

/// Returns the address that stands after a word in a line.
fn address_after(line: &str, word: &str) -> Result<SocketAddr> {
    let rest = line.split(word).nth(1);
    let text = rest.and_then(|r| r.split([',', ' ', '\n']).find(|s| !s.is_empty()));
    let text = text.ok_or_else(|| eyre!("there is no address in {line:?}"))?;
    Ok(text.parse()?)
}

impl Fleet {
    /// Starts the stand-ins, with no daemon yet.
    fn stand_ins(options: &crate::stand::Options) -> Result<Fleet> {
        let mut args = strings(&["stand-ins"]);
        args.extend(options.arguments());
        let stand = Process::start(&args, 3)?;
        let addresses: Addresses = serde_json::from_str(&stand.line)?;
        Ok(Fleet {
            _stand: stand,
            addresses,
            sidecars: Vec::new(),
            entries: Vec::new(),
            client: Client::default(),
        })
    }

    /// Starts the processes of a plan and waits until all entries are ready.
    pub async fn start(plan: &Plan) -> Result<Fleet> {
        let mut fleet = Fleet::stand_ins(&plan.stand)?;
        for (i, upstream) in fleet.addresses.engines.clone().into_iter().enumerate() {
            let mut args = fleet.sidecar_args(&format!("engine-{i}"), plan.pool, i, upstream);
            let slots = match plan.ledger {
                0 => plan.stand.slots,
                counted => counted,
            };
            args.extend(strings(&["--slots", &slots.to_string()]));
            args.extend(strings(&["--reserve", &plan.reserve.to_string()]));
            args.extend(strings(&[
                "--prefill",
                &(plan.stand.prefill as u32).to_string(),
            ]));
            args.extend(plan.sidecar_args.iter().cloned());
            fleet.start_sidecar(format!("engine-{i}"), args, upstream)?;
        }
        for (i, upstream) in fleet.addresses.plains.clone().into_iter().enumerate() {
            let mut args = fleet.sidecar_args(&format!("plain-{i}"), plan.plain_pool, i, upstream);
            args.extend(strings(&["--plain", "--slots", "64", "--reserve", "0"]));
            fleet.start_sidecar(format!("plain-{i}"), args, upstream)?;
        }
        for i in 0..plan.entries {
            fleet.start_entry(&format!("entry-{i}"), &plan.entry_args)?;
        }
        fleet.register().await?;
        fleet.apply(&plan.tree).await?;
        fleet.wait_ready().await?;
        Ok(fleet)
    }

    /// Starts many entries and sidecars whose upstreams are never called, with
    /// a small tree in force.
    pub async fn start_bare(entries: usize, sidecars: usize) -> Result<Fleet> {
        let plan = crate::plan::Deployment::Voltaris.plan();
        let stand = crate::stand::Options {
            engines: 0,
            plains: 1,
            ..plan.stand.clone()
        };
        let mut fleet = Fleet::stand_ins(&stand)?;
        let upstream = fleet.addresses.plains[0];
        for i in 0..sidecars {
            let name = format!("engine-{i}");
            let args = fleet.sidecar_args(&name, plan.pool, i, upstream);
            fleet.start_sidecar(name, args, upstream)?;
        }
        for i in 0..entries {
            fleet.start_entry(&format!("entry-{i}"), &[])?;
        }
        fleet.register().await?;
        fleet.apply(&plan.tree).await?;
        fleet.wait_linked().await?;
        Ok(fleet)
    }

    /// Waits until every entry is ready and the number of links stands still.
    async fn wait_linked(&self) -> Result<()> {
        let began = Instant::now();
        let mut last = -1.0;
        loop {
            let mut links = 0.0;
            let mut ready = true;
            for entry in &self.entries {
                let reply = self.client.get(entry.address, "/ready").await?;
                ready &= reply.status == 200;
                links += metric(&self.client, entry.address, "sorreldeck_links").await?;
            }
            if ready && links == last {
                return Ok(());
            }
            if began.elapsed() > 4 * READY_TIMEOUT {
                bail!("the entries do not get ready");
            }
            last = links;
            task::sleep(Duration::from_secs(3)).await;
        }
    }

    fn sidecar_args(&self, name: &str, pool: &str, i: usize, upstream: SocketAddr) -> Vec<String> {
        strings(&[
            "daemon",
            "sidecar",
            "--name",
            name,
            "--pool",
            pool,
            "--hall",
            ["hall-a", "hall-b", "hall-c"][i % 3],
            "--upstream",
            &upstream.to_string(),
            "--listen",
            "127.0.0.1:0",
            "--health",
            "127.0.0.1:0",
            "--platform",
            &self.addresses.platform.to_string(),
            "--link-keys",
            KEYS,
        ])
    }

    /// Starts a sidecar and adds it to the fleet.
    pub fn start_sidecar(
        &mut self,
        name: String,
        args: Vec<String>,
        upstream: SocketAddr,
    ) -> Result<()> {
        let process = Process::start(&args, 1)?;
        let address = address_after(&process.line, "links on")?;
        let health = address_after(&process.line, "health on")?;
        self.sidecars.push(Sidecar {
            process,
            name,
            args,
            address,
            health,
            upstream,
        });
        Ok(())
    }

    /// Starts an entry and adds it to the fleet.
    pub fn start_entry(&mut self, name: &str, more: &[String]) -> Result<()> {
        let mut args = strings(&[
            "daemon",
            "entry",
            "--name",
            name,
            "--listen",
            "127.0.0.1:0",
            "--platform",
            &self.addresses.platform.to_string(),
            "--link-keys",
            KEYS,
            "--session-keys",
            KEYS,
            "--root-token",
            &sorreldeck::tree::hash_key(TOKEN),
        ]);
        args.extend(more.iter().cloned());
        let process = Process::start(&args, 1)?;
        let address = address_after(&process.line, "operators on")?;
        self.entries.push(Entry {
            process,
            name: name.to_owned(),
            address,
        });
        Ok(())
    }

    /// Tells the platform's stand-in which instances there are.
    pub async fn register(&self) -> Result<()> {
        let mut list = Vec::new();
        let hall = |i: usize| ["hall-a", "hall-b", "hall-c"][i % 3].parse();
        for (i, sidecar) in self.sidecars.iter().enumerate() {
            list.push(Instance {
                name: sidecar.name.parse()?,
                role: Role::Sidecar,
                address: sidecar.address,
                hall: hall(i)?,
                leaving: false,
            });
        }
        for (i, entry) in self.entries.iter().enumerate() {
            list.push(Instance {
                name: entry.name.parse()?,
                role: Role::Entry,
                address: entry.address,
                hall: hall(i)?,
                leaving: false,
            });
        }
        self.order(self.addresses.platform, "/instances", &json!(list))
            .await
    }

    /// Sends an order to a stand-in.
    pub async fn order(&self, address: SocketAddr, path: &str, body: &Value) -> Result<()> {
        let headers = [Header::new("content-type", "application/json")];
        let body = body.to_string().into_bytes();
        let reply = self
            .client
            .call(address, "POST", path, &headers, body)
            .await?;
        match reply.status {
            200..=299 => Ok(()),
            status => bail!("{path}: status {status}: {}", reply.text()),
        }
    }

    /// Sets the faults of the platform.
    pub async fn set_faults(&self, faults: &Faults) -> Result<()> {
        self.order(self.addresses.platform, "/faults", &json!(faults))
            .await
    }

    /// Calls the administration API of an entry.
    pub async fn admin(
        &self,
        entry: usize,
        method: &str,
        path: &str,
        extra: &[Header],
        body: &Value,
    ) -> Result<Reply> {
        let mut headers = vec![Header::new("authorization", format!("Bearer {TOKEN}"))];
        headers.extend_from_slice(extra);
        let address = self.entries[entry].address;
        let body = match body {
            Value::Null => Vec::new(),
            body => body.to_string().into_bytes(),
        };
        Ok(self
            .client
            .call(address, method, path, &headers, body)
            .await?)
    }

    /// Returns the revision that an entry has in force.
    pub async fn revision(&self, entry: usize) -> Result<u64> {
        let reply = self
            .admin(entry, "GET", "/admin/v1/tree", &[], &Value::Null)
            .await?;
        let value: Value = serde_json::from_slice(&reply.body)?;
        value["revision"]
            .as_u64()
            .ok_or_else(|| eyre!("there is no revision in {value}"))
    }

    /// Puts the entries of a TOML document in force.
    pub async fn apply(&self, document: &str) -> Result<()> {
        let revision = Header::new("if-match", self.revision(0).await?);
        let body = json!({"document": document});
        let reply = self
            .admin(0, "POST", "/admin/v1/changes", &[revision], &body)
            .await?;
        match reply.status {
            200 => Ok(()),
            status => bail!(
                "the change was refused with status {status}: {}",
                reply.text()
            ),
        }
    }

    /// Waits until every entry is ready and linked to every sidecar.
    pub async fn wait_ready(&self) -> Result<()> {
        let began = Instant::now();
        for entry in &self.entries {
            while !self.is_whole(entry).await {
                if began.elapsed() > READY_TIMEOUT {
                    bail!("entry {} does not get ready", entry.name);
                }
                task::sleep(Duration::from_millis(50)).await;
            }
        }
        Ok(())
    }

    async fn is_whole(&self, entry: &Entry) -> bool {
        let ready = self.client.get(entry.address, "/ready").await;
        let links = metric(&self.client, entry.address, "sorreldeck_links").await;
        ready.is_ok_and(|r| r.status == 200) && links.is_ok_and(|n| n >= self.sidecars.len() as f64)
    }
}

/// Returns the value of a metric without labels, or the sum over its labels.
pub async fn metric(client: &Client, address: SocketAddr, name: &str) -> Result<f64> {
    let text = client.get(address, "/metrics").await?.text();
    Ok(sum_of(&text, name))
}

/// Returns the sum of a metric over its labels.
pub fn sum_of(text: &str, name: &str) -> f64 {
    text.lines()
        .filter(|line| {
            line.strip_prefix(name)
                .is_some_and(|r| r.starts_with([' ', '{']))
        })
        .filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok())
        .sum()
}
