//! What membership costs and how fast it is, against the number of nodes, in virtual time.
//!
//! `cargo run --release -p tallybridge-membership --example scale -- --nodes 50,100,200,400,920`

#[path = "scale/allocator.rs"]
mod allocator;
#[path = "scale/figures.rs"]
mod figures;
#[path = "scale/measure.rs"]
mod measure;
#[path = "../tests/support/mod.rs"]
mod support;

use clap::Parser;
use figures::Figures;

#[global_allocator]
static ALLOCATOR: allocator::CountingAllocator = allocator::CountingAllocator;

/// What to measure.
#[derive(Debug, Parser)]
struct Arguments {
    /// Numbers of nodes.
    #[arg(long, value_delimiter = ',', default_value = "50,100,200,400,920")]
    nodes: Vec<usize>,
    /// Shares of datagrams that are lost, in percent.
    #[arg(long, value_delimiter = ',', default_value = "0,5")]
    loss: Vec<u8>,
    /// Seed of the network.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Deaths, leaves and revisions that are timed.
    #[arg(long, default_value_t = 5)]
    events: usize,
}

fn main() {
    let arguments = Arguments::parse();
    for loss in &arguments.loss {
        println!("loss {loss} %");
        println!("{}", Figures::heading());
        let rows: Vec<Figures> = arguments
            .nodes
            .iter()
            .map(|nodes| {
                let row = measure::measure(*nodes, *loss, arguments.seed, arguments.events);
                println!("{row}");
                row
            })
            .collect();
        figures::print_slopes(&rows);
        println!();
    }
}
