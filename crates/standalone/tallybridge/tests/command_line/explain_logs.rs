//! `explain --logs`: the three ways of a failed request, each with the log files alone. The files
//! are lines of real runs.

use std::path::{Path, PathBuf};

use super::support::{Files, Run, tallybridge};

/// The log files of a case.
fn logs(case: &str) -> Vec<PathBuf> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/command_line/logs")
        .join(case);
    let entries = std::fs::read_dir(folder).expect("the case has a folder");
    entries.map(|entry| entry.unwrap().path()).collect()
}

async fn explain(attempt: &str, options: &[&str], files: &[PathBuf]) -> Run {
    let mut arguments = vec!["explain", attempt];
    arguments.extend(options);
    arguments.push("--logs");
    arguments.extend(files.iter().map(|file| file.to_str().unwrap()));
    tallybridge(&arguments).await
}

fn row<'a>(table: &'a str, words: &[&str]) -> &'a str {
    let mut rows = table.lines();
    let found = rows.find(|row| words.iter().all(|word| row.contains(word)));
    found.unwrap_or_else(|| panic!("no row with {words:?} in\n{table}"))
}

#[tokio::test]
async fn a_request_refused_under_overload_shows_each_executor_that_refused_it() {
    let table = explain("1209dfbd061b6980", &[], &logs("overloaded"))
        .await
        .output();
    let leaving = row(
        &table,
        &["atl-a-5", "call refused at its executor", "leaving"],
    );
    let full = row(
        &table,
        &["atl-a-7", "call refused at its executor", "overloaded"],
    );
    assert!(
        full.contains("limit=20") && full.contains("queued=31"),
        "{full}"
    );
    let entry = row(&table, &["atl-c-3", "request refused at its entry"]);
    assert!(
        entry.contains("tried=3") && entry.contains("outcome=\"not-run\""),
        "{entry}"
    );
    assert!(leaving < full && full < entry, "in the order of time");
    row(
        &table,
        &[
            "ended by overloaded of 1209dfbd061b6980 at",
            "atl-b-4",
            "add back ends",
        ],
    );
}

#[tokio::test]
async fn an_unknown_end_after_a_cut_shows_the_links_that_fell_silent() {
    let table = explain("cd571b042e500160", &[], &logs("lost"))
        .await
        .output();
    let suspect = row(&table, &["atl-a-2", "link suspect", "calls=13"]);
    let entry = row(
        &table,
        &["atl-a-2", "request refused at its entry", "peer-lost"],
    );
    assert!(entry.contains("outcome=\"unknown\""), "{entry}");
    assert!(suspect < entry);
    let of_others = table.lines().filter(|row| row.contains("refused")).count();
    assert_eq!(of_others, 1, "lines of other requests are left out");
    let writers = table
        .lines()
        .filter_map(|row| row.split_whitespace().nth(1));
    let silent = writers.filter(|node| *node == "sidecar-atl-b-2").count();
    assert_eq!(silent, 0, "and nodes that say nothing of it");
    row(
        &table,
        &["ended by peer-lost of cd571b042e500160 at", "atl-a-2"],
    );
}

#[tokio::test]
async fn a_time_out_deep_in_a_chain_is_told_of_the_deepest_hop() {
    let table = explain("24898dceffc883dd", &[], &logs("deep"))
        .await
        .output();
    row(&table, &["atl-a-2", "24898dceffc883dd ", "held_ms=800"]);
    let deepest = "24898dceffc883dd.1d9d8ed6d4751c26.bacd2e7f64a80b89";
    row(&table, &["atl-a-4", deepest, "held_ms=657"]);
    let end = format!("ended by backend-timeout of {deepest} at");
    row(&table, &[&end, "atl-a-4"]);
    let json = explain("24898dceffc883dd", &["--json"], &logs("deep"))
        .await
        .output();
    for line in json.lines() {
        let line: serde_json::Value = serde_json::from_str(line).expect("it is JSON");
        assert!(
            line["time"].is_string() && line["node"].is_string(),
            "{line}"
        );
    }
    assert_eq!(json.lines().count(), table.lines().count() - 3);
}

#[tokio::test]
async fn lines_of_a_collector_and_damaged_ones_are_read_as_far_as_they_go() {
    let files = Files::new();
    let line = |attempt: &str, left_out: u32| {
        format!(
            "{{\"timestamp\":\"2026-08-08T21:02:20.650680Z\",\"level\":\"INFO\",\"fields\":{{\"message\":\
             \"request refused at its entry\",\"attempt\":\"{attempt}\",\"reason\":\"overloaded\",\
             \"left_out\":{left_out}}},\"target\":\"t\"}}"
        )
    };
    let text = format!(
        "4.65 node-1 {}\n{}\nnode-2 {}\nnode-2 {{\"timestamp\":\"2026\n\nno line at all\n",
        line("aa", 7),
        line("aa.bb", 0),
        line("aabb", 5),
    );
    let file = files.write("collected.log", &text);
    let table = explain("aa", &[], std::slice::from_ref(&file))
        .await
        .output();
    row(&table, &["node-1", "aa ", "overloaded"]);
    row(&table, &["collected", "aa.bb", "overloaded"]);
    assert!(
        !table.contains("aabb"),
        "another request's name begins alike"
    );
    row(
        &table,
        &["7 lines of these kinds were left out before these"],
    );
    row(&table, &["2 lines of the files are no log lines"]);

    let report = explain("cc", &[], &[file]).await.refusal(64);
    assert!(
        report.contains("none of 3 lines in 1 files speaks of cc"),
        "{report}"
    );
    let missing = [PathBuf::from("no/such.log")];
    let report = explain("cc", &[], &missing).await.refusal(84);
    assert!(report.contains("no/such.log can't be read"), "{report}");
    let both = ["--admin", "127.0.0.1:1"];
    let report = explain("cc", &both, &missing).await.refusal(64);
    assert!(report.contains("cannot be used with"), "{report}");
}

#[tokio::test]
async fn a_request_held_back_for_crashes_shows_those_of_other_nodes_and_times() {
    let table = explain("c4x334", &[], &logs("crashed")).await.output();
    let digest = "0d6c92893e58bf87994c6e1e726e24f1";
    let crash = row(
        &table,
        &[
            "node-4",
            "back end crashed while running calls",
            digest,
            "calls=1",
        ],
    );
    let held = row(
        &table,
        &["node-2", "request quarantined", digest, "crashes=4"],
    );
    let refused = row(
        &table,
        &["c4x334", "request refused at its entry", "quarantined"],
    );
    assert!(crash < held && held < refused, "in the order of time");
    assert!(refused.contains("outcome=\"not-run\""), "{refused}");
    assert!(
        !table.contains("c11x70"),
        "another attempt of the same request"
    );
    row(
        &table,
        &["ended by quarantined of c4x334 at", "node-0", "its digest"],
    );
}
