//! Defines the command line and parses its arguments.

use std::net::SocketAddr;
use std::path::PathBuf;

use bpaf::Bpaf;
use toucancleat_core::prelude::*;
use toucancleat_core::timeline::{Filter, RecordKind};

const PLATFORM_VARIABLE: &str = "TOUCANCLEAT_PLATFORM";
/// N.B. This variable isn't given to bpaf, whose help would print its value, a secret.
pub(crate) const KEY_VARIABLE: &str = "TOUCANCLEAT_OPERATOR_KEY";
const AUTHOR_VARIABLE: &str = "USER";

const EXIT_CODES: &str = "Exit codes: 0 success; 1 the command line is invalid or a file can't be \
read; 2 the settings have problems; 3 another change came first; 4 the platform or a host couldn't \
be reached; 5 not found; 6 it isn't known whether a change was accepted; 7 the demonstration \
found a violated guarantee.";

/// Operates a fleet of toucancleat entry hosts.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version, footer(EXIT_CODES), generate(options))]
pub struct Options {
    #[bpaf(external)]
    pub(crate) command: Command,
}

// N.B. A doc comment here would replace the heading of the list of commands.
#[derive(Bpaf, Clone, Debug)]
pub(crate) enum Command {
    /// Reads, checks and changes the settings tree
    #[bpaf(command)]
    Settings(#[bpaf(external(settings_command))] SettingsCommand),
    /// Lists the entry hosts with the settings revision in force at each
    #[bpaf(command)]
    Hosts {
        #[bpaf(external)]
        connection: Connection,
        #[bpaf(external)]
        format: Format,
    },
    /// Lists the targets with the requests in progress at each
    #[bpaf(command)]
    Targets {
        #[bpaf(external)]
        connection: Connection,
        #[bpaf(external)]
        format: Format,
    },
    /// Drains an entry host: it accepts no new requests and finishes those in progress
    #[bpaf(command)]
    Drain {
        #[bpaf(external)]
        connection: Connection,
        #[bpaf(external)]
        format: Format,
        /// The entry host's name
        #[bpaf(positional("HOST"))]
        host: String,
    },
    /// Shows the records of all entry hosts merged in order
    #[bpaf(command)]
    Timeline {
        #[bpaf(external)]
        connection: Connection,
        #[bpaf(external)]
        format: Format,
        #[bpaf(external(timeline_view))]
        view: TimelineView,
    },
    /// Shows how one request was handled, with the reason for each decision
    #[bpaf(command)]
    Explain {
        #[bpaf(external)]
        connection: Connection,
        #[bpaf(external)]
        format: Format,
        /// The request id, from the X-Request-Id header of the answer
        #[bpaf(positional::<String>("REQUEST"), parse(parse_request))]
        request: RequestId,
    },
    /// Runs a whole deployment on loopback under a short burst of requests and reports on it
    #[bpaf(command)]
    Demo {
        #[bpaf(external)]
        format: Format,
        #[bpaf(external(demo_view))]
        view: DemoView,
    },
}

/// How the demonstration runs.
#[derive(Bpaf, Clone, Debug)]
pub(crate) struct DemoView {
    /// Keep the deployment running afterwards, to try the other commands on it
    pub keep: bool,
}

/// Addresses and key of the platform and the entry hosts.
#[derive(Bpaf, Clone, Debug)]
pub(crate) struct Connection {
    /// IP address and port of the platform
    #[bpaf(long, env(PLATFORM_VARIABLE), argument("ADDRESS"), optional)]
    pub platform: Option<SocketAddr>,
    /// IP address and port of an entry host's operators' port; may be repeated; replaces the
    /// platform's host list
    #[bpaf(long, argument("ADDRESS"))]
    pub host_address: Vec<SocketAddr>,
    /// Key for the operators' ports; overrides TOUCANCLEAT_OPERATOR_KEY
    #[bpaf(long, argument("KEY"), optional)]
    pub operator_key: Option<String>,
}

/// Format of the output.
#[derive(Bpaf, Clone, Copy, Debug)]
pub(crate) struct Format {
    /// Write JSON
    pub json: bool,
}

/// Records of the timeline to show, and how to show them.
#[derive(Bpaf, Clone, Debug)]
pub(crate) struct TimelineView {
    /// Only records of this request and of requests that resumed its stream
    #[bpaf(long, argument::<String>("REQUEST"), parse(parse_request), optional)]
    pub request: Option<RequestId>,
    /// Only records of this target
    #[bpaf(long, argument::<String>("TARGET"), map(|name: String| TargetName::new(&name)), optional)]
    pub target: Option<TargetName>,
    /// Only records of this organisation
    #[bpaf(
        long,
        argument::<String>("ORGANISATION"),
        map(|name: String| OrganisationName::new(&name)),
        optional
    )]
    pub organisation: Option<OrganisationName>,
    /// Only records of this kind, such as request_refused; may be repeated
    #[bpaf(long, argument::<String>("KIND"), parse(parse_kind), many)]
    pub kind: Vec<RecordKind>,
    /// Keep running and show new records
    pub follow: bool,
    /// Draw the records as SVG into this file, with one lane per host
    #[bpaf(long, argument("FILE"), optional)]
    pub svg: Option<PathBuf>,
}

// N.B. A doc comment here would replace the heading of the list of commands.
#[derive(Bpaf, Clone, Debug)]
pub(crate) enum SettingsCommand {
    /// Checks a file and reports each problem with its line and column
    #[bpaf(command)]
    Check {
        #[bpaf(external)]
        format: Format,
        /// Settings, as JSON with comments
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Shows the accepted tree, or the values in force for one request kind
    #[bpaf(command)]
    Show {
        #[bpaf(external)]
        connection: Connection,
        #[bpaf(external)]
        format: Format,
        /// Show this file instead of the accepted tree
        #[bpaf(long, argument("FILE"), optional)]
        file: Option<PathBuf>,
        /// Show the values in force for a live event, an organisation and a request kind
        #[bpaf(
            long,
            argument::<String>("EVENT/ORGANISATION/KIND"),
            parse(parse_scope),
            optional
        )]
        effective: Option<Scope>,
        /// Show the level that sets each value
        why: bool,
    },
    /// Shows the value at a path, such as /fleet/values/priority
    #[bpaf(command)]
    Get {
        #[bpaf(external)]
        connection: Connection,
        /// A JSON pointer into the tree
        #[bpaf(positional("PATH"))]
        path: String,
    },
    /// Sets the value at a path, for the whole fleet
    #[bpaf(command)]
    Set {
        #[bpaf(external)]
        connection: Connection,
        #[bpaf(external)]
        commit: Commit,
        /// A JSON pointer into the tree
        #[bpaf(positional("PATH"))]
        path: String,
        /// JSON; anything that isn't valid JSON is taken as a string
        #[bpaf(positional("VALUE"))]
        value: String,
    },
    /// Removes the value at a path, so that it is inherited
    #[bpaf(command)]
    Unset {
        #[bpaf(external)]
        connection: Connection,
        #[bpaf(external)]
        commit: Commit,
        /// A JSON pointer into the tree
        #[bpaf(positional("PATH"))]
        path: String,
    },
    /// Makes the accepted tree equal to a file
    #[bpaf(command)]
    Apply {
        #[bpaf(external)]
        connection: Connection,
        #[bpaf(external)]
        commit: Commit,
        /// Settings, as JSON with comments
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Shows what apply would change, or what has changed since a revision
    #[bpaf(command)]
    Diff {
        #[bpaf(external)]
        connection: Connection,
        #[bpaf(external)]
        format: Format,
        /// Compare from this revision instead of the latest
        #[bpaf(long, argument("REVISION"), optional)]
        from: Option<u64>,
        /// Compare with this file instead of the latest revision
        #[bpaf(positional("FILE"), optional)]
        file: Option<PathBuf>,
    },
    /// Lists the accepted changes, latest first
    #[bpaf(command)]
    Log {
        #[bpaf(external)]
        connection: Connection,
        #[bpaf(external)]
        format: Format,
        /// Maximum number of changes to list
        #[bpaf(long, argument("COUNT"), fallback(20), display_fallback)]
        limit: u64,
    },
    /// Reverts a change by committing its inverse
    #[bpaf(command)]
    Undo {
        #[bpaf(external)]
        connection: Connection,
        #[bpaf(external)]
        commit: Commit,
        /// The revision to revert; defaults to the latest
        #[bpaf(positional("REVISION"), optional)]
        revision: Option<u64>,
    },
}

/// How a change is committed.
#[derive(Bpaf, Clone, Debug)]
pub(crate) struct Commit {
    /// Who makes the change
    #[bpaf(long, env(AUTHOR_VARIABLE), argument("NAME"), fallback("unknown".to_owned()))]
    pub author: String,
    /// Only show what would change
    pub dry_run: bool,
    /// Wait until the change is in force at every entry host
    pub wait: bool,
}

/// One request kind of one organisation in one live event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Scope {
    /// The live event.
    pub live_event: LiveEventName,
    /// The organisation.
    pub organisation: OrganisationName,
    /// The request kind.
    pub kind: KindName,
}

impl TimelineView {
    /// Returns the filter of the records, without the request.
    pub(crate) fn filter(&self) -> Filter {
        Filter {
            request: None,
            target: self.target.clone(),
            organisation: self.organisation.clone(),
            kinds: self.kind.clone(),
        }
    }
}

fn parse_request(text: String) -> Result<RequestId, String> {
    RequestId::parse(&text).ok_or_else(|| {
        format!("expected a request id of 32 hexadecimal digits, found `{text}`")
    })
}

fn parse_kind(text: String) -> Result<RecordKind, String> {
    RecordKind::parse(&text).ok_or_else(|| {
        let names: Vec<&str> = RecordKind::ALL.iter().map(|kind| kind.as_str()).collect();
        format!("expected one of {}", names.join(", "))
    })
}

fn parse_scope(text: String) -> Result<Scope, String> {
    match text.split('/').collect::<Vec<&str>>().as_slice() {
        [event, organisation, kind] => Ok(Scope {
            live_event: (*event).into(),
            organisation: (*organisation).into(),
            kind: (*kind).into(),
        }),
        _ => Err(format!("expected EVENT/ORGANISATION/KIND, found `{text}`")),
    }
}
