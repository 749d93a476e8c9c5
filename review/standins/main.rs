//! Stand-ins and scripts of the review. `review-standins CASE FOLDER` plays one case and writes
//! `FOLDER/record.txt`. Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.

mod backend;
mod client;
mod http;
mod json;
mod lost;
mod machine;
mod memory;
mod quota;
mod record;
mod route;
mod store;

use std::{path::Path, process::ExitCode};

use record::Record;

/// What a case found.
pub enum Verdict {
    Held,
    Broken,
    CouldNotRun(String),
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &arguments[..] else {
        eprintln!("usage: review-standins lost|memory|quota|route FOLDER");
        return ExitCode::from(2);
    };
    // The disruption of the case; without it the rule must hold.
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match Record::create(&Path::new(folder).join("record.txt")) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("cannot write the record: {error}");
            return ExitCode::from(2);
        }
    };
    record.line(&format!("case {case}, disruption: {has_trouble}"));
    machine::guard();
    let played = std::panic::catch_unwind(|| match case.as_str() {
        "lost" => lost::play(&record, has_trouble),
        "memory" => memory::play(&record, has_trouble),
        "quota" => quota::play(&record, has_trouble),
        "route" => route::play(&record, has_trouble),
        other => Verdict::CouldNotRun(format!("unknown case {other}")),
    });
    machine::end_left();
    let verdict = played.unwrap_or_else(|_| Verdict::CouldNotRun("a stand-in failed".to_owned()));
    let (text, code) = match verdict {
        Verdict::Held => ("the rule held".to_owned(), 0),
        Verdict::Broken => ("the rule was broken".to_owned(), 1),
        Verdict::CouldNotRun(reason) => (format!("the case could not run: {reason}"), 2),
    };
    record.line(&text);
    println!("{case}: {text}");
    ExitCode::from(code)
}
