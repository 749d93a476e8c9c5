//! Stand-ins and cases of the second review. `rig CASE FOLDER` plays a case and writes `record.txt` into
//! the folder. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod backend;
mod http;
mod json;
mod node;
mod quarantine;
mod silent;
mod split;
mod stop;
mod store;
mod unframed;

use std::{
    fs,
    path::{Path, PathBuf},
    process::ExitCode,
    sync::Mutex,
    thread,
    time::{Duration, Instant},
};

/// What a case is given, and where it writes.
pub struct Stage {
    /// Root of the repository.
    pub root: PathBuf,
    /// Temporary folder for settings and logs of nodes.
    pub scratch: PathBuf,
    /// Whether the disruption takes place.
    pub has_trouble: bool,
    pub began: Instant,
    record: Mutex<String>,
}

impl Stage {
    pub fn note(&self, text: impl AsRef<str>) {
        let line = format!(
            "{:9.3} {}\n",
            self.began.elapsed().as_secs_f64(),
            text.as_ref()
        );
        self.record.lock().unwrap().push_str(&line);
    }

    /// Notes what happened at an earlier time.
    pub fn note_at(&self, at: Instant, text: impl AsRef<str>) {
        let time = at.saturating_duration_since(self.began).as_secs_f64();
        let line = format!("{time:9.3} {}\n", text.as_ref());
        self.record.lock().unwrap().push_str(&line);
    }
}

/// Ids of the processes that this one started and that have not been reaped.
pub static CHILDREN: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Longest time that a case may take.
const TIME_LIMIT: Duration = Duration::from_secs(112);

/// Ends all processes that this one started, and this one, if a case takes too long.
fn watch_time() {
    thread::spawn(|| {
        thread::sleep(TIME_LIMIT);
        eprintln!("the case takes too long");
        for child in CHILDREN.lock().unwrap().iter() {
            node::send_signal(*child, node::SIGKILL);
        }
        std::process::exit(2);
    });
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    if arguments.first().is_some_and(|first| first == "back-end") {
        let _ = unframed::run_back_end(&arguments[1..]);
        return ExitCode::from(2);
    }
    if arguments
        .first()
        .is_some_and(|first| first == "crashing-back-end")
    {
        let _ = quarantine::run_back_end(&arguments[1..]);
        return ExitCode::from(2);
    }
    let [case, folder] = &arguments[..] else {
        eprintln!("usage: rig CASE FOLDER");
        return ExitCode::from(2);
    };
    let folder = Path::new(folder);
    watch_time();
    let root = folder.join("../..");
    let Ok(root) = root.canonicalize() else {
        return ExitCode::from(2);
    };
    let scratch = std::env::temp_dir().join(format!("rig-{}", std::process::id()));
    if fs::create_dir_all(&scratch).is_err() {
        return ExitCode::from(2);
    }
    let stage = Stage {
        root,
        scratch: scratch.clone(),
        has_trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
        began: Instant::now(),
        record: Mutex::default(),
    };
    stage.note(format!("case {case}, trouble: {}", stage.has_trouble));
    let result = match case.as_str() {
        "quarantine" => quarantine::play(&stage),
        "stop" => stop::play(&stage, stop::Trouble::Stop),
        "idle" => stop::play(&stage, stop::Trouble::Idle),
        "unframed" => unframed::play(&stage),
        "split" => split::play(&stage),
        "silent" => silent::play(&stage),
        other => Err(format!("no case {other}")),
    };
    let code = match &result {
        Ok(None) => {
            stage.note("RESULT held");
            0
        }
        Ok(Some(broken)) => {
            stage.note(format!("RESULT broken: {broken}"));
            1
        }
        Err(reason) => {
            stage.note(format!("RESULT not run: {reason}"));
            2
        }
    };
    println!("{case}: {result:?}");
    let mut lines: Vec<String> = {
        let record = stage.record.lock().unwrap();
        record.lines().map(str::to_owned).collect()
    };
    // Runs are noted at the end, with the time at which they began.
    lines.sort_by(|a, b| {
        a[..9]
            .trim()
            .parse::<f64>()
            .unwrap_or(0.0)
            .total_cmp(&b[..9].trim().parse().unwrap_or(0.0))
    });
    let _ = fs::write(folder.join("record.txt"), lines.join("\n") + "\n");
    if std::env::var("RIG_KEEP").is_err() {
        let _ = fs::remove_dir_all(&scratch);
    } else {
        println!("{}", scratch.display());
    }
    ExitCode::from(code)
}
