//! Measures the costs in `docs/CAPACITY.md` and prints them with the totals.
//!
//! `cargo run --release -p eelgrassmill-peer --example capacity`
//!
//! Byte and call counts are deterministic; times depend on the machine and its load.
//! `--days` also runs the failure scenarios, in virtual time. `--inputs FILE` measures
//! nothing and computes the totals from the inputs in a file, such as the page.

mod heap;
mod policy;
mod rows;
mod scenarios;
mod spread;
#[path = "../../tests/support/mod.rs"]
mod support;
mod transport;

use eelgrassmill_peer::capacity::{Inputs, LinearCost, Size, table};

/// A measurement: size and cost.
pub(crate) type Point = (f64, f64);

fn main() {
    let mut args = std::env::args().skip_while(|arg| arg != "--inputs");
    if let Some(file) = args.nth(1) {
        return print_totals(&file);
    }
    let mut inputs = Inputs::default();
    spread::measure(&mut inputs);
    transport::measure(&mut inputs);
    policy::measure(&mut inputs);
    rows::measure(&mut inputs);
    println!("\ninputs: fixed cost, and cost per unit\n\n{inputs}");
    // Compute the totals from the inputs as printed, so that they can be reproduced.
    let inputs = Inputs::parse(&inputs.to_string()).expect("printed inputs parse");
    println!(
        "totals per node at the design size\n\n{}",
        table(&Size::DESIGN, &inputs)
    );
    if std::env::args().any(|arg| arg == "--days") {
        scenarios::run();
    }
}

fn print_totals(file: &str) {
    let text = std::fs::read_to_string(file).expect("the file can be read");
    let inputs = Inputs::parse(&text).expect("the file has all inputs");
    println!("{}", table(&Size::DESIGN, &inputs));
}

/// Prints the points of a cost and returns the fit.
pub(crate) fn line(name: &str, points: &[Point]) -> LinearCost {
    print!("{name:<16}");
    for (n, cost) in points {
        print!("  {n:>6}: {cost:.4e}");
    }
    println!();
    LinearCost::fit(points)
}
