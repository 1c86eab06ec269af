//! `greengagecleat status`: prints the status of a host as tables.

use {
    crate::{EXIT_USAGE, PROGRAM, arguments::Status, print},
    bytes::Bytes,
    greengagecleat::{net::Network, start::report, upstream::Client},
    http::Request,
    http_body_util::Full,
    serde_json::Value,
    std::{net::SocketAddr, process::ExitCode, time::Duration},
    tokio::time::timeout,
};

/// Longest time to wait for the host's answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// Requests the host's status and prints it.
pub(crate) fn run(flags: &Status) -> ExitCode {
    let Ok(address) = flags.address.parse::<SocketAddr>() else {
        report(
            PROGRAM,
            format_args!("{:?} is not an IP address with a port", flags.address),
        );
        return ExitCode::from(EXIT_USAGE);
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => {
            report(PROGRAM, format_args!("starting the runtime: {error}"));
            return ExitCode::FAILURE;
        }
    };
    match runtime.block_on(async { timeout(ANSWER_TIMEOUT, fetch(address)).await }) {
        Ok(Ok(status)) => {
            let mut output = String::new();
            format_status(&mut output, &status);
            print(&output, ExitCode::SUCCESS)
        }
        Ok(Err(error)) => {
            report(
                PROGRAM,
                format_args!("requesting the status of {address}: {error}"),
            );
            ExitCode::FAILURE
        }
        Err(_) => {
            report(
                PROGRAM,
                format_args!("requesting the status of {address}: timed out"),
            );
            ExitCode::FAILURE
        }
    }
}

async fn fetch(address: SocketAddr) -> Result<Value, Box<dyn std::error::Error>> {
    let request = Request::get("/status")
        .header("host", address.to_string())
        .body(Full::new(Bytes::new()))?;
    let mut body = Client::new(Network::Tcp)
        .send(address, request)
        .await?
        .into_body();
    let mut bytes = Vec::new();
    while let Some(piece) = body.next().await? {
        bytes.extend_from_slice(&piece);
    }
    Ok(serde_json::from_slice(&bytes)?)
}

/// Writes scalars as `name value` and lists of objects as tables.
fn format_status(output: &mut String, status: &Value) {
    let Some(fields) = status.as_object() else {
        *output += &format!("{status}\n");
        return;
    };
    for (name, value) in fields {
        match value {
            Value::Array(rows) => format_rows(output, name, rows),
            Value::Object(inner) => {
                *output += &format!("{name}\n");
                for (name, value) in inner {
                    *output += &format!("  {name:<14}{}\n", format_scalar(value));
                }
            }
            _ => *output += &format!("{name:<16}{}\n", format_scalar(value)),
        }
    }
}

fn format_rows(output: &mut String, name: &str, rows: &[Value]) {
    *output += &format!("{name}\n");
    for row in rows {
        let Some(row) = row.as_object() else {
            *output += &format!("  {}\n", format_scalar(row));
            continue;
        };
        let cells: Vec<_> = row
            .values()
            .map(|value| format!("{:<22}", format_scalar(value)))
            .collect();
        *output += &format!("  {}\n", cells.join(" ").trim_end());
    }
}

fn format_scalar(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => "-".into(),
        _ => value.to_string(),
    }
}
