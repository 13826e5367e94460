//! The arguments of the command line.

use bpaf::Bpaf;
use sorreldeck::{Hall, NodePath, Revision};
use std::net::SocketAddr;
use std::path::PathBuf;

/// How results are written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// For people.
    Text,
    /// For programs.
    Json,
}

impl std::str::FromStr for Format {
    type Err = String;

    fn from_str(s: &str) -> Result<Self, String> {
        match s {
            "text" => Ok(Format::Text),
            "json" => Ok(Format::Json),
            _ => Err(format!("{s:?} is no format: text and json are")),
        }
    }
}

/// What is to be done, and where.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version, fallback_to_usage)]
/// The command line of sorreldeck: settings, roll-outs, bills and explanations.
///
/// Exit codes: 0 done; 1 failed; 2 wrong arguments; 3 conflict, another change
/// was accepted first; 4 invalid settings; 5 not allowed; 6 out of reach or the
/// outcome is unknown.
pub struct Options {
    /// The address of an entry
    #[bpaf(
        long,
        env("SORRELDECK_SERVER"),
        argument("IP:PORT"),
        fallback("127.0.0.1:8080".parse().unwrap()),
        display_fallback
    )]
    pub server: SocketAddr,
    /// The operator's token
    #[bpaf(long, env("SORRELDECK_TOKEN"), argument("TOKEN"), optional)]
    pub token: Option<String>,
    /// How results are written: text or json
    #[bpaf(long, argument("FORMAT"), fallback(Format::Text))]
    pub format: Format,
    #[bpaf(external)]
    pub command: Command,
}

/// One command.
#[derive(Clone, Debug, Bpaf)]
pub enum Command {
    /// Put the entries of a TOML or JSON document in force
    #[bpaf(command)]
    Apply {
        /// The document; its name ends with .toml or .json
        #[bpaf(short('f'), long, argument("FILE"))]
        file: PathBuf,
        /// The revision that the change is based on; the present one if not given
        #[bpaf(long, argument("N"), optional)]
        revision: Option<Revision>,
        /// The ticket of an earlier try whose answer was lost
        #[bpaf(long, argument("TICKET"), optional)]
        ticket: Option<String>,
        /// Only check the change and show what it would do
        #[bpaf(long, switch)]
        dry_run: bool,
        /// Remove the entries of your branch that the document lacks
        #[bpaf(long, switch)]
        prune: bool,
    },
    /// Remove entries
    #[bpaf(command)]
    Remove {
        /// The revision that the change is based on; the present one if not given
        #[bpaf(long, argument("N"), optional)]
        revision: Option<Revision>,
        /// The ticket of an earlier try whose answer was lost
        #[bpaf(long, argument("TICKET"), optional)]
        ticket: Option<String>,
        /// Only check the change and show what it would do
        #[bpaf(long, switch)]
        dry_run: bool,
        /// Entries, such as versions/scribe-2
        #[bpaf(positional("ENTRY"), some("name an entry"))]
        keys: Vec<String>,
    },
    /// Let a version take no new work
    #[bpaf(command)]
    Withdraw {
        /// The revision that the change is based on; the present one if not given
        #[bpaf(long, argument("N"), optional)]
        revision: Option<Revision>,
        /// The version
        #[bpaf(positional("VERSION"))]
        version: String,
    },
    /// Start, pause or abort a roll-out
    #[bpaf(command)]
    Rollout {
        /// The revision that the change is based on; the present one if not given
        #[bpaf(long, argument("N"), optional)]
        revision: Option<Revision>,
        /// start, pause or abort
        #[bpaf(positional("ACTION"))]
        action: String,
        /// The roll-out
        #[bpaf(positional("ROLLOUT"))]
        name: String,
    },
    /// Let a data hall get no new work
    #[bpaf(command)]
    Evacuate {
        /// The revision that the change is based on; the present one if not given
        #[bpaf(long, argument("N"), optional)]
        revision: Option<Revision>,
        /// Only show what would move and whether the rest bears it
        #[bpaf(long, switch)]
        dry_run: bool,
        /// The data hall
        #[bpaf(positional("HALL"))]
        hall: Hall,
    },
    /// Let a data hall get work again
    #[bpaf(command)]
    Restore {
        /// The revision that the change is based on; the present one if not given
        #[bpaf(long, argument("N"), optional)]
        revision: Option<Revision>,
        /// Only show the change
        #[bpaf(long, switch)]
        dry_run: bool,
        /// The data hall
        #[bpaf(positional("HALL"))]
        hall: Hall,
    },
    /// Tell whether the change with a ticket was accepted
    #[bpaf(command)]
    Change {
        /// The ticket
        #[bpaf(positional("TICKET"))]
        ticket: String,
    },
    /// Show the entries of your branch
    #[bpaf(command)]
    Tree,
    /// Show one entry as it was written
    #[bpaf(command)]
    Get {
        /// The entry, such as versions/scribe-2
        #[bpaf(positional("ENTRY"))]
        key: String,
    },
    /// Show the settings in force at a node and where each was written
    #[bpaf(command)]
    Effective {
        /// The node, such as /payroll/summaries
        #[bpaf(positional("NODE"))]
        node: NodePath,
    },
    /// Show instances, upstreams and roll-outs as the entry sees them
    #[bpaf(command)]
    Status,
    /// Show the requests and parts of prompts that the entry holds back, since upstreams crash under them
    #[bpaf(command)]
    Held,
    /// Let a request or part of prompts that is held back be sent again at all entries
    #[bpaf(command)]
    Lift {
        /// Its fingerprint, as `held` and the log show it
        #[bpaf(positional("FINGERPRINT"))]
        name: String,
    },
    /// Show totals by client account, version and day
    #[bpaf(command)]
    Bill {
        /// One day, in days since 1970-01-01 UTC
        #[bpaf(long, argument("DAY"), optional)]
        day: Option<u32>,
    },
    /// Show which rule, version and upstream a request got or would get
    #[bpaf(command)]
    Explain {
        /// A past request, by the identity in its x-sorreldeck-request header
        #[bpaf(long, argument("ID"), optional)]
        request: Option<String>,
        /// The node that a request would belong to
        #[bpaf(long, argument("NODE"), optional)]
        node: Option<NodePath>,
        /// The model or cascade that it would ask for
        #[bpaf(long, argument("MODEL"), optional)]
        model: Option<String>,
        /// The path of a plain service that it would call
        #[bpaf(long, argument("PATH"), optional)]
        path: Option<String>,
        /// The class that it would ask for
        #[bpaf(long, argument("CLASS"), optional)]
        class: Option<String>,
        /// The session token that it would carry
        #[bpaf(long, argument("TOKEN"), optional)]
        session: Option<String>,
    },
    /// Check a document without a server
    #[bpaf(command)]
    Check {
        /// The document
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Print the hash under which a key or token is stored
    #[bpaf(command)]
    Hash {
        /// The key or token
        #[bpaf(positional("SECRET"))]
        secret: String,
    },
}
