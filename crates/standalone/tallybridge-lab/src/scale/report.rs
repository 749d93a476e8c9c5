//! The figures as tables, with how they grow.

use super::{
    fit::{Fit, Point, fit_line, fit_log_linear},
    summary::{FleetFigures, ScaleSummary, Spread},
};

/// Prints everything that was measured, and the fitted slopes.
pub fn print_table(summary: &ScaleSummary) {
    if !summary.fleets.is_empty() {
        println!("{}", fleet_heading());
        for fleet in &summary.fleets {
            println!("{}", fleet_row(fleet));
        }
        print_slopes(&summary.fleets);
    }
    print_calls(summary);
    print_decisions(summary);
}

fn fleet_heading() -> String {
    format!(
        "{:>5} {:>6} | {:>7} {:>6} {:>7} {:>7} {:>6} | {:>7} {:>7} {:>7} {:>7} {:>7} {:>3} | {:>7} {:>7} {:>5} {:>7} {:>5} | \
         {:>13} | {:>13} | {:>13} | {:>5}",
        "nodes",
        "cold s",
        "UDP B/s",
        "dgr/s",
        "TCP B/s",
        "max B/s",
        "cpu us",
        "chg UDP",
        "chg TCP",
        "wr/s",
        "max B/s",
        "cpu us",
        "chg",
        "KiB",
        "KiB chg",
        "links",
        "KiB idl",
        "links",
        "rev. p50 max",
        "leave p50 max",
        "death p50 max",
        "wrong",
    )
}

/// One fleet as a line of the table.
pub fn fleet_row(fleet: &FleetFigures) -> String {
    let (rest, changing) = (&fleet.rest, &fleet.changing);
    format!(
        "{:>5} {:>6} | {:>7.0} {:>6.1} {:>7.0} {:>7.0} {:>6.0} | {:>7.0} {:>7.0} {:>7.1} {:>7.0} {:>7.0} {:>3} | \
         {:>7.0} {:>7.0} {:>5.1} {:>7} {:>5} | {} | {} | {} | {:>5}",
        fleet.nodes,
        seconds(fleet.cold_start),
        rest.udp_bytes,
        rest.udp_messages,
        rest.tcp_bytes,
        rest.max_bytes,
        rest.cpu_micros,
        changing.udp_bytes,
        changing.tcp_bytes,
        changing.tcp_messages,
        changing.max_bytes,
        changing.cpu_micros,
        fleet.changes,
        fleet.memory_kib,
        fleet.memory_after_changes_kib,
        fleet.links_after_changes,
        rounded(fleet.memory_after_idle_kib, 0),
        rounded(fleet.links_after_idle, 1),
        spread(&fleet.revision),
        spread(&fleet.leave),
        spread(&fleet.death),
        fleet.wrongly_dead,
    )
}

fn seconds(value: Option<f64>) -> String {
    value.map_or("-".to_owned(), |seconds| format!("{seconds:.2}"))
}

fn rounded(value: Option<f64>, digits: usize) -> String {
    value.map_or("-".to_owned(), |value| format!("{value:.digits$}"))
}

fn spread(spread: &Spread) -> String {
    format!("{:>6} {:>6}", seconds(spread.p50), seconds(spread.max))
}

/// A figure of a fleet; `None` when it was not had in time.
type Figure = fn(&FleetFigures) -> Option<f64>;

const FIGURES: [(&str, Figure); 9] = [
    ("UDP B/s at rest", |fleet| Some(fleet.rest.udp_bytes)),
    ("datagrams/s", |fleet| Some(fleet.rest.udp_messages)),
    ("cpu us/s at rest", |fleet| Some(fleet.rest.cpu_micros)),
    ("cpu us/s, changes", |fleet| Some(fleet.changing.cpu_micros)),
    ("memory KiB", |fleet| Some(fleet.memory_kib)),
    ("memory KiB, changes", |fleet| {
        Some(fleet.memory_after_changes_kib)
    }),
    ("revision max s", |fleet| fleet.revision.max),
    ("leave max s", |fleet| fleet.leave.max),
    ("death max s", |fleet| fleet.death.max),
];

fn print_slopes(fleets: &[FleetFigures]) {
    println!(
        "\n{:<20} {:>32} | {:>32}",
        "least squares", "base + slope n, r²", "base + slope n log2 n, r²"
    );
    for (name, figure) in FIGURES {
        let points: Vec<Point> = fleets
            .iter()
            .filter_map(|fleet| {
                let figure = figure(fleet)?;
                let size = fleet.nodes as f64;
                Some(Point { size, figure })
            })
            .collect();
        let line = fit_text(fit_line(&points));
        let log = fit_text(fit_log_linear(&points));
        println!("{name:<20} {line:>32} | {log:>32}");
    }
}

fn fit_text(fit: Option<Fit>) -> String {
    fit.map_or("-".to_owned(), |fit| {
        format!("{:.2} + {:.6}, {:.3}", fit.base, fit.slope, fit.r_squared)
    })
}

fn print_calls(summary: &ScaleSummary) {
    if summary.calls.is_empty() {
        return;
    }
    println!(
        "\n{:>8} {:>7} {:>14} {:>17} {:>13} {:>12}",
        "calls/s", "failed", "entry us/call", "executor us/call", "link B there", "link B back"
    );
    for calls in &summary.calls {
        println!(
            "{:>8.0} {:>7} {:>14.1} {:>17.1} {:>13.1} {:>12.1}",
            calls.rate,
            calls.failed,
            calls.entry_micros,
            calls.executor_micros,
            calls.link_request_bytes,
            calls.link_answer_bytes,
        );
    }
    if let Some(bytes) = summary.call_memory_bytes {
        println!("memory of a call in flight: {bytes:.0} B");
    }
}

fn print_decisions(summary: &ScaleSummary) {
    for decision in &summary.decisions {
        println!(
            "{:<24} {:<44} {:>10.0} ns",
            decision.name, decision.tables, decision.nanos
        );
    }
}
