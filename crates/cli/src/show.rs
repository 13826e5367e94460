//! How results are written for people.

use crate::options::Format;
use serde_json::Value;

/// Writes a value as JSON if that is wanted; returns whether it was.
fn as_json(value: &Value, format: Format) -> bool {
    if format == Format::Json {
        println!("{value}");
    }
    format == Format::Json
}

fn text(value: &Value) -> String {
    match value {
        Value::String(s) => s.clone(),
        Value::Null => "-".to_owned(),
        other => other.to_string(),
    }
}

fn rows(value: &Value) -> &[Value] {
    value.as_array().map_or(&[], Vec::as_slice)
}

/// Writes a table with columns as wide as they need to be.
fn table(head: &[&str], lines: &[Vec<String>]) {
    let width = |i: usize| {
        let cells = lines.iter().map(|line| line[i].chars().count());
        cells.chain([head[i].len()]).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..head.len()).map(width).collect();
    let head: Vec<String> = head.iter().map(|s| s.to_string()).collect();
    for line in std::iter::once(&head).chain(lines) {
        let cells: Vec<String> = line
            .iter()
            .zip(&widths)
            .map(|(cell, width)| format!("{cell:width$}"))
            .collect();
        println!("{}", cells.join("  ").trim_end());
    }
}

/// Writes what is held back.
pub fn held(answer: &Value, format: Format) {
    if as_json(answer, format) {
        return;
    }
    let fields = ["fingerprint", "left_ms", "before", "grounds"];
    let line = |held: &Value| fields.map(|field| text(&held[field])).to_vec();
    let lines: Vec<Vec<String>> = rows(&answer["held"]).iter().map(line).collect();
    table(&fields, &lines);
}

/// Writes what was lifted.
pub fn lifted(answer: &Value, format: Format) {
    if !as_json(answer, format) {
        println!("{} is sent again", text(&answer["lifted"]));
    }
}

/// Writes what became of a change.
pub fn change(answer: &Value, dry_run: bool, format: Format) {
    if as_json(answer, format) {
        return;
    }
    for edit in rows(&answer["edits"]) {
        let mark = match (edit["old"].is_null(), edit["new"].is_null()) {
            (true, _) => '+',
            (false, true) => '-',
            (false, false) => '~',
        };
        println!("{mark} {}", text(&edit["key"]));
        if !edit["old"].is_null() {
            println!("    - {}", edit["old"]);
        }
        if !edit["new"].is_null() {
            println!("    + {}", edit["new"]);
        }
    }
    let edits = rows(&answer["edits"]).len();
    match dry_run {
        true => println!(
            "{edits} edits, valid on revision {}; nothing was changed",
            answer["revision"]
        ),
        false => println!("{edits} edits, accepted as revision {}", answer["revision"]),
    }
}

/// Writes the entries of a tree.
pub fn tree(answer: &Value, format: Format) {
    if as_json(answer, format) {
        return;
    }
    println!("revision {}", answer["revision"]);
    if let Some(entries) = answer["entries"].as_object() {
        for (key, value) in entries {
            println!("{key}  {value}");
        }
    }
}

/// Writes one entry.
pub fn entry(answer: &Value, format: Format) {
    if as_json(answer, format) {
        return;
    }
    println!(
        "{}  (revision {})",
        text(&answer["key"]),
        answer["revision"]
    );
    if let Some(fields) = answer["value"].as_object() {
        for (field, value) in fields {
            println!("  {field} = {value}");
        }
    }
}

/// Writes the settings in force at a node.
pub fn effective(answer: &Value, format: Format) {
    if as_json(answer, format) {
        return;
    }
    println!(
        "{}  (revision {})",
        text(&answer["node"]),
        answer["revision"]
    );
    let line = |setting: &Value| {
        let origin = match &setting["node"] {
            Value::Null => "default".to_owned(),
            node => text(node),
        };
        vec![text(&setting["field"]), text(&setting["value"]), origin]
    };
    let lines: Vec<_> = rows(&answer["settings"]).iter().map(line).collect();
    table(&["SETTING", "VALUE", "WRITTEN AT"], &lines);
}

/// Writes the status of an entry.
pub fn status(answer: &Value, format: Format) {
    if as_json(answer, format) {
        return;
    }
    let (revision, in_flight) = (&answer["revision"], &answer["in_flight"]);
    println!("revision {revision}, {in_flight} requests under way");
    if let Some(unbilled) = answer["unbilled"].as_u64() {
        println!("{unbilled} bill records not yet stored");
    }
    issues(&answer["issues"]);
    let cells = |row: &Value, names: &[&str]| names.iter().map(|n| text(&row[n])).collect();
    let columns = ["name", "role", "hall", "address", "leaving"];
    let lines: Vec<Vec<String>> = rows(&answer["instances"])
        .iter()
        .map(|row| cells(row, &columns))
        .collect();
    println!();
    table(&["INSTANCE", "ROLE", "HALL", "ADDRESS", "LEAVING"], &lines);
    let columns = [
        "upstream", "pool", "hall", "running", "slots", "queued", "work",
    ];
    let lines: Vec<Vec<String>> = rows(&answer["upstreams"])
        .iter()
        .map(|row| cells(row, &columns))
        .collect();
    println!();
    let titles = [
        "UPSTREAM", "POOL", "HALL", "RUNNING", "SLOTS", "QUEUED", "WORK",
    ];
    table(&titles, &lines);
    let columns = ["rollout", "to", "intent"];
    let lines: Vec<Vec<String>> = rows(&answer["rollouts"])
        .iter()
        .map(|row| {
            let mut line: Vec<String> = cells(row, &columns);
            line.push(text(&row["record"]["stage"]));
            line.push(text(&row["record"]["phase"]));
            line.push(text(&row["held_back_here"]));
            line
        })
        .collect();
    println!();
    table(
        &[
            "ROLL-OUT",
            "TO",
            "INTENT",
            "STAGE",
            "PHASE",
            "HELD BACK HERE",
        ],
        &lines,
    );
}

/// Writes what an entry does not understand of the platform's store, if it uses one.
fn issues(issues: &Value) {
    if issues.is_null() {
        return;
    }
    let configuration = &issues["configuration"];
    let count = &configuration["not_understood"];
    println!("{count} parts of the configuration are not understood and have no effect");
    for issue in rows(&configuration["first"]) {
        println!("  {}: {}", text(&issue["place"]), text(&issue["message"]));
    }
    for row in rows(&issues["rows"]) {
        let (table, key) = (text(&row["table"]), text(&row["key"]));
        let (message, ago) = (text(&row["message"]), &row["ago_ms"]);
        println!("row {key:?} of {table}, {ago} ms ago: {message}");
    }
}

/// Writes what emptying a data hall moves, and the change that does it.
pub fn evacuation(answer: &Value, dry_run: bool, format: Format) {
    if as_json(answer, format) {
        return;
    }
    let names = ["pool", "upstreams", "moves", "rest", "free", "borne"];
    let line = |row: &Value| names.iter().map(|n| text(&row[n])).collect();
    let lines: Vec<Vec<String>> = rows(&answer["relief"]).iter().map(line).collect();
    let titles = ["POOL", "UPSTREAMS", "MOVES", "REST", "FREE THERE", "BORNE"];
    table(&titles, &lines);
    println!();
    change(answer, dry_run, format);
}

/// Writes a bill.
pub fn bill(answer: &Value, format: Format) {
    if as_json(answer, format) {
        return;
    }
    let line = |row: &Value| {
        let cost = sorreldeck::Cost(row["cost"].as_u64().unwrap_or(0));
        vec![
            text(&row["account"]),
            text(&row["version"]),
            text(&row["day"]),
            text(&row["requests"]),
            text(&row["prompt"]),
            text(&row["generated"]),
            cost.to_string(),
        ]
    };
    let lines: Vec<_> = rows(&answer["lines"]).iter().map(line).collect();
    table(
        &[
            "ACCOUNT",
            "VERSION",
            "DAY",
            "RUNS",
            "PROMPT",
            "GENERATED",
            "COST",
        ],
        &lines,
    );
}

/// Writes what was decided about a request.
pub fn decision(answer: &Value, format: Format) {
    if as_json(answer, format) {
        return;
    }
    println!("request   {}", text(&answer["request"]));
    println!("asked     {}", text(&answer["asked"]));
    println!("revision  {}", answer["revision"]);
    println!("node      {}", text(&answer["node"]));
    println!("account   {}", text(&answer["account"]));
    println!("class     {}", text(&answer["class"]));
    for attempt in rows(&answer["tries"]) {
        println!(
            "step {}    version {}, because: {}; upstream {}; {}",
            attempt["step"],
            text(&attempt["version"]),
            text(&attempt["why"]),
            text(&attempt["upstream"]),
            text(&attempt["outcome"])
        );
    }
    if !answer["failure"].is_null() {
        let failure = &answer["failure"];
        println!(
            "failure   {} ({}): {}",
            text(&failure["reason"]),
            text(&failure["verdict"]),
            text(&failure["message"])
        );
    }
}
