//! Command line of the testbed.

fn main() {}
