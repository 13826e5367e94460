//! The contract with the platform: a transactional table, an object store, a
//! list of instances and a service that rates answers.
//!
//! [`Platform::memory`] keeps everything in this process and can be made to
//! fail; [`Platform::connect`] speaks HTTP and JSON. Both keep the same
//! contract, which `tests/contract.rs` states with its fault cases.
//!
//! ```
//! use sorreldeck_net::platform::{Platform, Transaction};
//!
//! # async_std::task::block_on(async {
//! let platform = Platform::memory();
//! let put = Transaction::default().expect_absent("head").put("head", 1.into());
//! platform.commit(&put).await?;
//! assert_eq!(platform.get("head").await?.unwrap().value, 1);
//! # Ok::<(), sorreldeck_net::platform::Trouble>(())
//! # }).unwrap();
//! ```

mod client;
mod memory;

pub use memory::{Calls, Faults, Memory};

use serde::{Deserialize, Serialize};
use serde_json::Value;
use sorreldeck::{Class, Hall, InstanceId, VersionId};
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

/// Why the platform gave no answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Trouble {
    /// The platform is out of reach; a write did not take effect.
    Down(String),
    /// No answer came; a write may have taken effect.
    Unknown(String),
    /// The platform understood the call and refused it.
    Refused(String),
}

impl fmt::Display for Trouble {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Trouble::Down(message) => write!(f, "the platform is out of reach: {message}"),
            Trouble::Unknown(message) => write!(f, "no answer of the platform: {message}"),
            Trouble::Refused(message) => write!(f, "the platform refused: {message}"),
        }
    }
}

impl std::error::Error for Trouble {}

/// The result of a call of the platform.
pub type Result<T> = std::result::Result<T, Trouble>;

/// A row of the table.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// A number that is higher after every write of the row, from 1.
    pub version: u64,
    /// The value.
    pub value: Value,
}

/// A set of writes that takes effect as a whole if all expectations hold.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Transaction {
    /// The versions that rows must have; 0 stands for no row.
    pub expect: BTreeMap<String, u64>,
    /// The values to put; `None` removes the row.
    pub put: BTreeMap<String, Option<Value>>,
}

impl Transaction {
    /// Expects a row to have a version.
    pub fn expect(mut self, key: impl Into<String>, version: u64) -> Self {
        self.expect.insert(key.into(), version);
        self
    }

    /// Expects that there is no such row.
    pub fn expect_absent(self, key: impl Into<String>) -> Self {
        self.expect(key, 0)
    }

    /// Puts a value.
    pub fn put(mut self, key: impl Into<String>, value: Value) -> Self {
        self.put.insert(key.into(), Some(value));
        self
    }

    /// Removes a row.
    pub fn remove(mut self, key: impl Into<String>) -> Self {
        self.put.insert(key.into(), None);
        self
    }
}

/// What became of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Commit {
    /// It took effect.
    Done,
    /// It did not: this row has another version.
    Conflict(String),
}

/// What a daemon does on an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Faces callers and operators.
    Entry,
    /// Stands before an upstream.
    Sidecar,
}

/// An instance as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// The name; for a sidecar, that of its upstream.
    pub name: InstanceId,
    /// What runs there.
    pub role: Role,
    /// The address for links.
    pub address: SocketAddr,
    /// The data hall.
    pub hall: Hall,
    /// Whether it is about to go.
    pub leaving: bool,
}

/// An answer to be rated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The version that answered.
    pub version: VersionId,
    /// The class of the request.
    pub class: Class,
    /// The text.
    pub text: String,
}

/// The platform, in this process or behind HTTP.
#[derive(Clone)]
pub struct Platform(Backend);

#[derive(Clone)]
enum Backend {
    Memory(Arc<Memory>),
    Http(client::Client),
}

macro_rules! forward {
    ($($(#[$doc:meta])* $name:ident($($arg:ident: $type:ty),*) -> $out:ty;)*) => {
        impl Platform {
            $(
                $(#[$doc])*
                ///
                /// # Errors
                ///
                /// See [`Trouble`].
                pub async fn $name(&self, $($arg: $type),*) -> Result<$out> {
                    match &self.0 {
                        Backend::Memory(memory) => memory.$name($($arg),*).await,
                        Backend::Http(client) => client.$name($($arg),*).await,
                    }
                }
            )*
        }
    };
}

forward! {
    /// Returns a row.
    get(key: &str) -> Option<Row>;
    /// Returns the rows whose keys begin with a prefix.
    list(prefix: &str) -> BTreeMap<String, Row>;
    /// Tries to make a transaction take effect.
    commit(transaction: &Transaction) -> Commit;
    /// Puts an object; the same name twice is the same object.
    put_object(name: &str, data: Vec<u8>) -> ();
    /// Returns an object.
    get_object(name: &str) -> Option<Vec<u8>>;
    /// Returns the names of the objects that begin with a prefix.
    list_objects(prefix: &str) -> Vec<String>;
    /// Returns the list of instances, which lags.
    instances() -> Vec<Instance>;
    /// Returns the rating of an answer, from 0 to 1, when it is there.
    rate(answer: &Answer) -> f64;
}

impl Platform {
    /// Creates a platform that lives in this process.
    pub fn memory() -> Platform {
        Platform(Backend::Memory(Arc::default()))
    }

    /// Returns a platform backed by this memory.
    pub fn of_memory(memory: Arc<Memory>) -> Platform {
        Platform(Backend::Memory(memory))
    }

    /// Returns a platform behind an address.
    pub fn connect(address: SocketAddr) -> Platform {
        Platform(Backend::Http(client::Client::new(address)))
    }
}
