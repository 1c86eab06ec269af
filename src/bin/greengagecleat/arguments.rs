//! The command-line arguments. `setting` reads absent flags of `serve` from the environment.

use {argh::FromArgs, std::path::PathBuf};

/// A multi-region inference gateway: serves callers of many customers and puts committed capacity
/// to work.
#[derive(FromArgs, Debug)]
pub(crate) struct Arguments {
    #[argh(subcommand)]
    pub(crate) command: Command,
}

#[derive(FromArgs, Debug)]
#[argh(subcommand)]
pub(crate) enum Command {
    Serve(Box<Serve>),
    Check(Check),
    Key(Key),
    Status(Status),
    Trace(Trace),
}

/// Run a host until SIGTERM, then drain. Each flag can be given as an environment variable
/// instead, such as GREENGAGECLEAT_DRAIN_LIMIT for --drain-limit; a flag takes precedence.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "serve")]
pub(crate) struct Serve {
    /// this host's name, unique in the fleet
    #[argh(option)]
    pub(crate) name: Option<String>,
    /// the region that the host runs in
    #[argh(option)]
    pub(crate) region: Option<String>,
    /// the failure domain that the host belongs to
    #[argh(option)]
    pub(crate) domain: Option<String>,
    /// IP address and port for callers
    #[argh(option)]
    pub(crate) listen: Option<String>,
    /// IP address and port for other hosts
    #[argh(option)]
    pub(crate) peer_listen: Option<String>,
    /// address that callers are told to use; default: --listen
    #[argh(option)]
    pub(crate) advertise: Option<String>,
    /// address that other hosts are told to use; default: --peer-listen
    #[argh(option)]
    pub(crate) peer_advertise: Option<String>,
    /// IP address and port for operators (health, metrics, status)
    #[argh(option)]
    pub(crate) admin_listen: Option<String>,
    /// IP address and port of the platform's configuration service
    #[argh(option)]
    pub(crate) platform: Option<String>,
    /// secret that all hosts of the fleet share; better set in the environment
    #[argh(option)]
    pub(crate) peer_secret: Option<String>,
    /// most entry hosts that may run at once in this region, including a replaced one that may
    /// still be running; must be the same on every host of the region; default: 3
    #[argh(option)]
    pub(crate) region_hosts: Option<String>,
    /// longest drain in seconds, after which running calls are aborted; default: 120
    #[argh(option)]
    pub(crate) drain_limit: Option<String>,
    /// seconds for which a draining host still accepts new requests; default: 3
    #[argh(option)]
    pub(crate) drain_grace: Option<String>,
    /// largest request body in bytes; default: 4194304
    #[argh(option)]
    pub(crate) body_limit: Option<String>,
    /// log format, `human` or `json`; default: human
    #[argh(option)]
    pub(crate) log_format: Option<String>,
    /// log filter, such as `info` or `greengagecleat=debug`; default: info
    #[argh(option)]
    pub(crate) log_filter: Option<String>,
}

/// Validate configuration documents offline. The file name selects the document: routes.toml,
/// pools.toml or customers.toml. Prints every error with file, line and remedy.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "check")]
pub(crate) struct Check {
    /// the documents to validate
    #[argh(positional)]
    pub(crate) files: Vec<PathBuf>,
}

/// Work with customers' keys.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "key")]
pub(crate) struct Key {
    #[argh(subcommand)]
    pub(crate) command: KeyCommand,
}

#[derive(FromArgs, Debug)]
#[argh(subcommand)]
pub(crate) enum KeyCommand {
    Digest(KeyDigest),
}

/// Read a key from standard input and print its digest for the customers document.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "digest")]
pub(crate) struct KeyDigest {}

/// Print the status of a host as tables.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "status")]
pub(crate) struct Status {
    /// the host's admin address, IP and port
    #[argh(positional)]
    pub(crate) address: String,
}

/// Print the timeline of one request across the logs of several hosts, with the state changes
/// around it and what is missing. Each file is one host's log and is named after the host; a host's
/// name before a line's first brace takes precedence. Without files, standard input is read.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "trace")]
pub(crate) struct Trace {
    /// the request's id
    #[argh(positional)]
    pub(crate) request: String,
    /// the hosts' logs, in JSON lines
    #[argh(positional)]
    pub(crate) files: Vec<PathBuf>,
}
