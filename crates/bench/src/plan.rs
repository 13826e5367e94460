//! The two deployments of today, and the parts that experiments vary.

use crate::stand;
use eyre::{bail, Result};
use std::str::FromStr;

/// One of the two deployments.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Deployment {
    /// The timesheet assistant.
    SaaKazi,
    /// The charging assistant.
    Voltaris,
}

impl FromStr for Deployment {
    type Err = String;

    fn from_str(s: &str) -> Result<Self, String> {
        match s {
            "saa-kazi" => Ok(Deployment::SaaKazi),
            "voltaris" => Ok(Deployment::Voltaris),
            _ => Err(format!("{s:?} is no deployment: saa-kazi and voltaris are")),
        }
    }
}

impl std::fmt::Display for Deployment {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Deployment::SaaKazi => "saa-kazi",
            Deployment::Voltaris => "voltaris",
        })
    }
}

/// What an experiment starts.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The number of entries.
    pub entries: usize,
    /// The stand-ins; every one gets a sidecar.
    pub stand: stand::Options,
    /// The pool of the engines.
    pub pool: &'static str,
    /// The pool of the plain services.
    pub plain_pool: &'static str,
    /// The tree, as TOML.
    pub tree: String,
    /// More arguments of every entry.
    pub entry_args: Vec<String>,
    /// More arguments of every sidecar of an engine.
    pub sidecar_args: Vec<String>,
    /// The slots that a sidecar's ledger counts; 0 for those of the engine.
    pub ledger: usize,
    /// The slots of an engine that are kept for the priority class.
    pub reserve: u32,
}

impl Deployment {
    /// Returns the plan of the deployment at its size of today.
    pub fn plan(self) -> Plan {
        let (engines, versions, tree) = match self {
            Deployment::SaaKazi => (
                20,
                "mini-1,scribe-1,scribe-2",
                include_str!("../../../samples/saa-kazi.toml"),
            ),
            Deployment::Voltaris => (
                10,
                "brief-1,review-1,review-2",
                include_str!("../../../samples/voltaris.toml"),
            ),
        };
        Plan {
            entries: 3,
            stand: stand::Options {
                engines,
                plains: 3,
                versions: versions.to_owned(),
                slots: 16,
                base: 8000,
                each: 250,
                prefill: 20_000.0,
                chunk: 512.0,
                cache: 65_536,
                plain_time: 2000,
            },
            pool: "assistant",
            plain_pool: self.plain_pool(),
            tree: tree.to_owned(),
            entry_args: Vec::new(),
            sidecar_args: Vec::new(),
            ledger: 0,
            reserve: 1,
        }
    }

    /// Returns the pool of the plain services.
    pub fn plain_pool(self) -> &'static str {
        match self {
            Deployment::SaaKazi => "clock",
            Deployment::Voltaris => "charging",
        }
    }

    /// Returns the names of the client accounts, the large ones first.
    pub fn accounts(self) -> [&'static str; 10] {
        match self {
            Deployment::SaaKazi => [
                "mjengo",
                "ujenzi",
                "kariakoo",
                "westlands",
                "embakasi",
                "kasarani",
                "langata",
                "ruiru",
                "thika",
                "juja",
            ],
            Deployment::Voltaris => [
                "netz-ost",
                "netz-west",
                "depot-zuerich",
                "depot-basel",
                "winterthur",
                "aarau",
                "luzern",
                "zug",
                "schaffhausen",
                "thurgau",
            ],
        }
    }

    /// Returns the routes of every account: priority, standard and bulk.
    pub fn routes(self) -> [&'static str; 3] {
        match self {
            Deployment::SaaKazi => ["summaries", "queries", "tags"],
            Deployment::Voltaris => ["disputes", "queries", "tariffs"],
        }
    }

    /// Returns the dear model and its present version.
    pub fn model(self) -> (&'static str, &'static str) {
        match self {
            Deployment::SaaKazi => ("scribe", "scribe-1"),
            Deployment::Voltaris => ("review", "review-1"),
        }
    }

    /// Returns the version that is rolled out.
    pub fn new_version(self) -> &'static str {
        match self {
            Deployment::SaaKazi => "scribe-2",
            Deployment::Voltaris => "review-2",
        }
    }

    /// Returns the cheap version.
    pub fn cheap_version(self) -> &'static str {
        match self {
            Deployment::SaaKazi => "mini-1",
            Deployment::Voltaris => "brief-1",
        }
    }
}

/// Replaces a text that must be there.
pub fn replace(tree: &str, from: &str, to: &str) -> Result<String> {
    match tree.contains(from) {
        true => Ok(tree.replace(from, to)),
        false => bail!("the sample tree has no {from:?}"),
    }
}
