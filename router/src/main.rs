//! The tallypin program.

fn main() {}
