//! Stand-ins of the store, replicas and callers, and the cases that use them. The argument names the
//! case. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.

mod cold;
mod drill;
mod http;
mod joined;
mod replica;
mod split;
mod store;
mod trial;

use std::process::ExitCode;
use trial::Trial;

fn main() -> ExitCode {
    let case = std::env::args().nth(1).unwrap_or_default();
    let trial = match Trial::new() {
        Ok(trial) => trial,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(2);
        }
    };
    let result = match &*case {
        "cold" => cold::run(&trial),
        "drill" => drill::run(&trial),
        "joined" => joined::run(&trial, joined::Change::Timeout),
        "moved" => joined::run(&trial, joined::Change::Service),
        "split" => split::run(&trial),
        _ => Err(std::io::Error::other("no such case")),
    };
    let recorded = trial.write_record();
    match (result, recorded) {
        (Ok(0), Ok(())) => ExitCode::SUCCESS,
        (Ok(_), Ok(())) => ExitCode::from(1),
        (Err(error), _) | (_, Err(error)) => {
            eprintln!("the case couldn't run: {error}");
            ExitCode::from(2)
        }
    }
}
