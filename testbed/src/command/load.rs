//! `testbed load`: sends one chat completion to one address at a fixed rate and prints its latency
//! as JSON.

use {
    argh::FromArgs,
    serde_json::json,
    std::{io, net::SocketAddr, process::ExitCode, time::Duration},
    testbed::{client::Call, load},
};

/// send chat completions to one address at a rate and print their latency
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "load")]
pub(crate) struct Arguments {
    /// IP address and port of a host or an engine
    #[argh(option)]
    to: SocketAddr,

    /// the model
    #[argh(option)]
    model: String,

    /// the caller's key
    #[argh(option)]
    key: Option<String>,

    /// requests a second, sent whether or not earlier ones were answered [default: 50]
    #[argh(option, default = "50.0")]
    rate: f64,

    /// length in seconds [default: 10]
    #[argh(option, default = "10.0")]
    seconds: f64,

    /// largest number of tokens in an answer [default: 32]
    #[argh(option, default = "32")]
    max_tokens: u32,

    /// the prompt
    #[argh(option, default = "\"How far is the next ground station?\".to_owned()")]
    prompt: String,

    /// ask for answers in one piece, not for streams
    #[argh(switch)]
    whole: bool,
}

pub(crate) async fn run(arguments: Arguments) -> io::Result<ExitCode> {
    let body = json!({
        "model": arguments.model, "stream": !arguments.whole, "max_tokens": arguments.max_tokens,
        "messages": [{"role": "user", "content": arguments.prompt}],
    });
    let mut call = Call::post("/v1/chat/completions", &body);
    if let Some(key) = &arguments.key {
        call = call.header("authorization", &format!("Bearer {key}"));
    }
    let length = Duration::try_from_secs_f64(arguments.seconds).map_err(io::Error::other)?;
    let measurement = load::open_loop(arguments.to, &call, arguments.rate, length).await;
    println!("{}", serde_json::to_string_pretty(&measurement.summary())?);
    Ok(ExitCode::SUCCESS)
}
