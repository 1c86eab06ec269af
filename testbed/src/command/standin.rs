//! `testbed standin`: runs one stand-in in the foreground, with settings from the command line.

use {
    argh::FromArgs,
    serde::{Serialize, de::DeserializeOwned},
    std::{io, net::SocketAddr, process::ExitCode},
    testbed::{engine, plain, platform, wan, weights},
};

/// run one stand-in until Ctrl-C
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "standin")]
pub(crate) struct Arguments {
    /// platform, engine, plain, weights or wan
    #[argh(positional)]
    kind: String,

    /// address to listen on [default: 127.0.0.1 and a free port]
    #[argh(option)]
    bind: Option<SocketAddr>,

    /// settings that override the defaults, as a JSON object; see docs/source.md
    #[argh(option, default = "\"{}\".to_owned()")]
    settings: String,

    /// for wan: the address that it relays to
    #[argh(option)]
    target: Option<SocketAddr>,
}

pub(crate) async fn run(arguments: Arguments) -> io::Result<ExitCode> {
    match arguments.kind.as_str() {
        "platform" => {
            let running = platform::Platform::start(settings(&arguments)?).await?;
            wait(running.address).await
        }
        "engine" => {
            let running = engine::Engine::start(settings(&arguments)?).await?;
            wait(running.address).await
        }
        "plain" => {
            let running = plain::Service::start(settings(&arguments)?).await?;
            wait(running.address).await
        }
        "weights" => {
            let running = weights::Store::start(settings(&arguments)?).await?;
            wait(running.address).await
        }
        "wan" => relay(&arguments).await,
        other => Err(io::Error::other(format!(
            "unknown stand-in {other}: expected platform, engine, plain, weights or wan"
        ))),
    }
}

async fn relay(arguments: &Arguments) -> io::Result<ExitCode> {
    let target = arguments
        .target
        .ok_or_else(|| io::Error::other("wan needs --target ADDRESS"))?;
    let link = wan::Link::new(parse(&arguments.settings)?);
    let bind = arguments.bind.unwrap_or(testbed::serve::EPHEMERAL);
    let relay = link.relay_on(bind, target).await?;
    let control = link.control(testbed::serve::EPHEMERAL).await?;
    println!("control on http://{}", control.address);
    wait(relay.address).await
}

async fn wait(address: SocketAddr) -> io::Result<ExitCode> {
    println!("listening on http://{address}");
    std::future::pending().await
}

fn parse<T: DeserializeOwned>(text: &str) -> io::Result<T> {
    serde_json::from_str(text).map_err(|error| io::Error::other(format!("--settings: {error}")))
}

/// The default settings, overridden by those of the command line.
fn settings<T: Default + Serialize + DeserializeOwned>(arguments: &Arguments) -> io::Result<T> {
    let mut whole = serde_json::to_value(T::default())?;
    let given: serde_json::Map<String, serde_json::Value> = parse(&arguments.settings)?;
    for (name, value) in given {
        whole[name] = value;
    }
    if let Some(bind) = arguments.bind {
        whole["bind"] = serde_json::to_value(bind)?;
    }
    Ok(serde_json::from_value(whole)?)
}
