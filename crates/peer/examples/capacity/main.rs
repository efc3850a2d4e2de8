//! Measures the slopes of `docs/CAPACITY.md` and prints them with the totals.
//!
//! `cargo run --release -p eelgrassmill-peer --example capacity`
//!
//! Counts (bytes, calls) come out the same each time; times are of this machine and of
//! its other work. `--days` plays the bad days as well, in virtual time. `--inputs FILE`
//! measures nothing and works the totals out from the inputs in the file, such as the page.

mod counting;
mod days;
mod policy;
mod rows;
mod spread;
#[path = "../../tests/support/mod.rs"]
mod support;
mod transport;

use eelgrassmill_peer::capacity::{Inputs, LinearCost, Size, table};

/// One measurement at one size.
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
    println!("\ninputs: the cost at 0, and what each adds\n\n{inputs}");
    // The totals are those of the inputs as printed, so that they can be worked out anew.
    let inputs = Inputs::parse(&inputs.to_string()).expect("inputs as they were printed");
    println!(
        "totals for each node at the aim\n\n{}",
        table(&Size::DESIGN, &inputs)
    );
    if std::env::args().any(|arg| arg == "--days") {
        days::play();
    }
}

fn print_totals(file: &str) {
    let text = std::fs::read_to_string(file).expect("the file can be read");
    let inputs = Inputs::parse(&text).expect("the file has all inputs");
    println!("{}", table(&Size::DESIGN, &inputs));
}

/// Prints the points of a slope and gives its line.
pub(crate) fn line(name: &str, points: &[Point]) -> LinearCost {
    print!("{name:<16}");
    for (n, cost) in points {
        print!("  {n:>6}: {cost:.4e}");
    }
    println!();
    LinearCost::fit(points)
}
