//! The daemon's command line.

fn main() {}
