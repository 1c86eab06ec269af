//! The command line. Flags of `serve` that are absent are filled from the environment by
//! `setting`.

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
/// instead: --drain-limit as GREENGAGECLEAT_DRAIN_LIMIT, and so on; a flag wins.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "serve")]
pub(crate) struct Serve {
    /// this host's name, unique in the fleet
    #[argh(option)]
    pub(crate) name: Option<String>,
    /// the region it is in
    #[argh(option)]
    pub(crate) region: Option<String>,
    /// its failure domain
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
    /// word that every host of the fleet presents to its peers; better given by the environment
    #[argh(option)]
    pub(crate) peer_secret: Option<String>,
    /// most entry hosts that may run at once in this region, counting one that was replaced and may
    /// still be running; the same on every host of the region; default: 3
    #[argh(option)]
    pub(crate) region_hosts: Option<String>,
    /// longest drain in seconds before running work is cut; default: 120
    #[argh(option)]
    pub(crate) drain_limit: Option<String>,
    /// seconds for which a draining host still takes new requests; default: 3
    #[argh(option)]
    pub(crate) drain_grace: Option<String>,
    /// largest request body in bytes; default: 4194304
    #[argh(option)]
    pub(crate) body_limit: Option<String>,
    /// log form, `human` or `json`; default: human
    #[argh(option)]
    pub(crate) log_format: Option<String>,
    /// log filter, such as `info` or `greengagecleat=debug`; default: info
    #[argh(option)]
    pub(crate) log_filter: Option<String>,
}

/// Validate tables offline. Each file is the document that its name says: routes.toml, pools.toml
/// or customers.toml. Prints every error with file, line and the way out.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "check")]
pub(crate) struct Check {
    /// the documents
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

/// Turn a key on standard input into what the customers document holds.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "digest")]
pub(crate) struct KeyDigest {}

/// Print a host's view as a table.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "status")]
pub(crate) struct Status {
    /// the host's admin address, IP and port
    #[argh(positional)]
    pub(crate) address: String,
}

/// Print one request's way through the logs of several hosts, in order, with the changes of belief
/// around it and what is missing. Each file is one host's log and is named after it; a host's name
/// before a line's first brace goes first. Without files, standard input is read.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "trace")]
pub(crate) struct Trace {
    /// the request's id
    #[argh(positional)]
    pub(crate) request: String,
    /// the hosts' logs, lines of JSON
    #[argh(positional)]
    pub(crate) files: Vec<PathBuf>,
}
