//! Not a case: how long a request stays refused after three back ends crashed under it, once back ends no
//! longer crash.

use std::{
    path::Path,
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use crate::{
    CHILDREN, Stage,
    backend::Backend,
    http::call_once,
    node::{Node, Place, end},
    store::Store,
};

const SERVICE: &str = "catalogo";
/// How long the request is sent after the third crash.
const WATCHED: Duration = Duration::from_secs(85);

/// Runs one back end in this process. One of the first release ends when it runs the request.
pub fn run_back_end(arguments: &[String]) -> Option<()> {
    let [name, release, address, report] = arguments else {
        return None;
    };
    let work = Duration::from_millis(100);
    let (address, report) = (address.parse().ok()?, report.parse().ok()?);
    let backend = Backend::new(name, SERVICE, "sala-norte", address, report, work, None);
    backend.up();
    loop {
        thread::sleep(Duration::from_millis(2));
        if release == "first" && !backend.runs.lock().unwrap().is_empty() {
            std::process::exit(1);
        }
    }
}

fn start(program: &Path, node: &Node, release: &str, number: usize) -> Result<Child, String> {
    let child = Command::new(program)
        .args([
            "crashing-back-end",
            &format!("{}-{number}", node.name),
            release,
        ])
        .args([node.app().to_string(), node.control().to_string()])
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .spawn();
    let child = child.map_err(|error| error.to_string())?;
    CHILDREN.lock().unwrap().push(child.id());
    Ok(child)
}

pub fn play(stage: &Stage) -> Result<Option<String>, String> {
    let store = Store::start();
    let document = r#"{"version":"00000002","routes":{"columns":["name","host","path_prefix","kind","timeout_ms","target_latency_ms","priority","traffic_split","max_attempts","public","service"],"rows":[["r-price","price.example","/price/","idempotent",null,1500,2,null,2,false,"catalogo"]]},"services":{"columns":["name","health_check_path","max_connections"],"rows":[["catalogo","/healthz",952]]},"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;
    store.put("op/config", document.as_bytes());
    let program = std::env::current_exe().map_err(|error| error.to_string())?;
    let mut nodes = Vec::new();
    let mut back_ends = Vec::new();
    for (index, zone) in ["sala-norte", "sala-centro", "sala-sul"].iter().enumerate() {
        let place = Place {
            index,
            zone,
            service: SERVICE,
            store: store.address,
            has_tenants: false,
        };
        let mut node = Node::prepare(&stage.root, &stage.scratch, &place)?;
        back_ends.push(start(&program, &node, "first", 0)?);
        node.start(&stage.root)?;
        nodes.push(node);
    }
    let until = Instant::now() + Duration::from_secs(15);
    while !nodes.iter().all(Node::is_ready) && Instant::now() < until {
        thread::sleep(Duration::from_millis(200));
    }
    thread::sleep(Duration::from_secs(5));
    let mut crashes = 0;
    let mut number = 0;
    let mut healed_at: Option<Instant> = None;
    let mut answered_at = None;
    while healed_at.is_none_or(|at| at.elapsed() < WATCHED) && answered_at.is_none() {
        number += 1;
        let head = format!(
            "GET /price/list HTTP/1.1\r\nHost: price.example\r\nX-Attempt-Id: {number:016x}\r\nX-Deadline-Ms: 5000\r\nConnection: close\r\n\r\n"
        );
        let answer = call_once(
            nodes[number % 3].outbound(),
            &head,
            b"",
            Duration::from_secs(5),
        );
        let answer = answer.unwrap_or_default();
        let reason = answer.header("tallybridge-error").unwrap_or("-").to_owned();
        let wait = answer.header("retry-after").unwrap_or("-").to_owned();
        stage.note(format!(
            "answer {} {reason}, retry after {wait}",
            answer.status()
        ));
        if answer.status() == 200 {
            answered_at = healed_at.map(|at| at.elapsed());
        }
        thread::sleep(Duration::from_millis(1000));
        for index in 0..3 {
            if matches!(back_ends[index].try_wait(), Ok(Some(_))) {
                crashes += 1;
                stage.note(format!("crash {crashes}, at {}", nodes[index].name));
                let release = if crashes >= 3 { "second" } else { "first" };
                back_ends[index] = start(&program, &nodes[index], release, crashes)?;
            }
        }
        if crashes >= 3 && healed_at.is_none() {
            healed_at = Some(Instant::now());
            // The release that no longer crashes is on all machines.
            for index in 0..3 {
                end(&mut back_ends[index]);
                back_ends[index] = start(&program, &nodes[index], "second", 100 + index)?;
            }
            stage.note("the second release, which does not crash, runs on all machines");
        }
    }
    for back_end in &mut back_ends {
        end(back_end);
    }
    let text = match answered_at {
        Some(after) => format!(
            "answered {:.1} s after the second release began",
            after.as_secs_f64()
        ),
        None => format!(
            "still refused {:.0} s after the second release began",
            WATCHED.as_secs_f64()
        ),
    };
    stage.note(&text);
    Ok(answered_at.is_none().then_some(text))
}
