//! The HTML page.

use std::fmt::Write;

use plotters::style::RGBColor;
use tallybridge_core::Criticality;

use super::{
    FaultSpan, RoundSeries, Window,
    chart::{COLOURS, Chart, DrawError, Line},
    series::WINDOW_SECONDS,
};
use crate::{
    measure::{PolicySummary, Summary},
    scenario::Scenario,
};

const STYLE: &str = "body{font-family:sans-serif;margin:2em;max-width:1400px}\
    table{border-collapse:collapse}td,th{border:1px solid #ccc;padding:.3em .6em;text-align:right}\
    td:first-child,th:first-child{text-align:left}.row{display:flex;flex-wrap:wrap;gap:8px}";

/// A value of a window that is drawn over time.
struct Measure {
    title: &'static str,
    unit: &'static str,
    value: fn(&Window) -> f64,
}

const MEASURES: [Measure; 5] = [
    Measure {
        title: "answered whole",
        unit: "requests/s",
        value: |window| window.answered as f64 / WINDOW_SECONDS,
    },
    Measure {
        title: "answered whole, share of offered",
        unit: "share",
        value: |window| ratio(window.answered, window.offered),
    },
    Measure {
        title: "latency, 99th percentile",
        unit: "ms",
        value: |window| window.p99_ms,
    },
    Measure {
        title: "sends for each request",
        unit: "sends",
        value: |window| ratio(window.sends, window.offered),
    },
    Measure {
        title: "work done for each request",
        unit: "executions",
        value: |window| ratio(window.executions, window.offered),
    },
];

fn ratio(part: u64, whole: u64) -> f64 {
    if whole == 0 {
        0.0
    } else {
        part as f64 / whole as f64
    }
}

/// Renders the page.
pub fn render(
    scenario: &Scenario,
    summary: &Summary,
    rounds: &[RoundSeries],
) -> Result<String, DrawError> {
    let spans = FaultSpan::of(scenario);
    let mut page = String::new();
    write!(
        page,
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>{name}</title>\
         <style>{STYLE}</style><h1>{name}</h1><p>{description}</p>\
         <p>Seed {seed}, {nodes} node processes. Shaded: strains and faults.</p>",
        name = escape(&summary.scenario),
        description = escape(&scenario.description),
        seed = summary.seed,
        nodes = summary.node_processes,
    )?;
    write_table(&mut page, summary)?;
    write_legend(&mut page)?;
    for measure in &MEASURES {
        write_measure(&mut page, measure, rounds, &spans)?;
    }
    write_spans(&mut page, &spans)?;
    page.push_str("</html>\n");
    Ok(page)
}

fn write_table(page: &mut String, summary: &Summary) -> std::fmt::Result {
    page.push_str(
        "<table><tr><th>policy<th>offered<th>answered whole<th>to ideal<th>critical to ideal\
         <th>recovery<th>added p50 / p99 / p99.9 ms<th>attempts (bound)<th>violations</tr>",
    );
    for policy in &summary.policies {
        write_table_row(page, policy)?;
    }
    page.push_str("</table>");
    Ok(())
}

fn write_table_row(page: &mut String, policy: &PolicySummary) -> std::fmt::Result {
    let recovery = policy
        .recovery_seconds
        .map_or("not recovered".to_owned(), |seconds| {
            format!("{seconds:.1} s")
        });
    let latency = &policy.added_latency_ms;
    let added = [latency.p50, latency.p99, latency.p999]
        .map(|value| value.map_or("-".to_owned(), |value| format!("{value:.2}")))
        .join(" / ");
    write!(
        page,
        "<tr><td>{}<td>{}<td>{}<td>{:.3}<td>{:.3}<td>{recovery}<td>{added}<td>{} ({})<td>{}</tr>",
        policy.name,
        policy.offered,
        policy.answered_whole,
        policy.goodput_ratio_to_ideal,
        policy.critical_goodput_ratio,
        policy.attempts_max,
        policy.attempts_bound,
        policy.violations.total(),
    )
}

/// Charts of one measure: one for each round, side by side, on the same scale.
fn write_measure(
    page: &mut String,
    measure: &Measure,
    rounds: &[RoundSeries],
    spans: &[FaultSpan],
) -> Result<(), DrawError> {
    let top = rounds
        .iter()
        .flat_map(|round| &round.classes)
        .flat_map(|class| &class.windows)
        .map(measure.value)
        .fold(0.0, f64::max);
    write!(page, "<h2>{}</h2><div class=\"row\">", measure.title)?;
    for round in rounds {
        let title = format!("{}, round {}", round.policy, round.round + 1);
        let chart = Chart {
            title: &title,
            unit: measure.unit,
            lines: Criticality::ALL
                .iter()
                .map(|criticality| line(round, *criticality, measure))
                .collect(),
            spans,
            window_seconds: WINDOW_SECONDS,
            top,
        };
        page.push_str(&chart.draw()?);
    }
    page.push_str("</div>");
    Ok(())
}

/// The line of a class; empty when the round has no requests of it.
fn line(round: &RoundSeries, criticality: Criticality, measure: &Measure) -> Line {
    let class = round
        .classes
        .iter()
        .find(|class| class.criticality == criticality);
    let windows = class.map_or(&[][..], |class| &class.windows);
    Line {
        values: windows.iter().map(measure.value).collect(),
    }
}

/// Which colour stands for which class.
fn write_legend(page: &mut String) -> std::fmt::Result {
    page.push_str("<p>Classes:");
    for (criticality, RGBColor(red, green, blue)) in Criticality::ALL.iter().zip(COLOURS) {
        write!(
            page,
            " <span style=\"color:rgb({red},{green},{blue})\">&#9632;</span> {criticality}"
        )?;
    }
    page.push_str("</p>");
    Ok(())
}

fn write_spans(page: &mut String, spans: &[FaultSpan]) -> std::fmt::Result {
    page.push_str("<h2>Strains and faults</h2><table><tr><th>what<th>from s<th>to s</tr>");
    for span in spans {
        write!(
            page,
            "<tr><td>{}<td>{:.1}<td>{:.1}</tr>",
            escape(&span.label),
            span.from,
            span.to
        )?;
    }
    page.push_str("</table>");
    Ok(())
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
        .replace('"', "&quot;")
}
