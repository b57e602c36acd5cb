//! Prints responses of nodes as tables or JSON and maps them to exit statuses.

use serde_json::Value;
use tabled::builder::Builder;
use tabled::settings::Style;

use crate::exit::Exit;
use crate::options::Format;

/// Prints the response to a command.
pub(crate) fn print(value: &Value, format: Format) {
    if format == Format::Json {
        println!("{value}");
        return;
    }
    if let Some(error) = value["error"].as_str() {
        eprintln!("{error}");
    }
    if value["columns"].is_array() {
        print_rows(value);
    } else if let Some(declaration) = value["declaration"].as_str() {
        println!("# version {}\n{declaration}", value["version"]);
    } else if let Some(result) = value["result"].as_str() {
        print_result(result, value);
    }
}

fn print_rows(value: &Value) {
    let mut builder = Builder::default();
    builder.push_record(to_strings(&value["columns"]));
    for row in value["rows"].as_array().into_iter().flatten() {
        builder.push_record(to_strings(row));
    }
    println!("{}", builder.build().with(Style::psql()));
    for note in to_strings(&value["notes"]) {
        eprintln!("note: {note}");
    }
}

fn print_result(result: &str, value: &Value) {
    match result {
        "accepted" => println!("accepted as version {}", value["version"]),
        "conflict" => println!("conflict: {}", describe_winner(&value["winner"])),
        other => println!("{other}"),
    }
    let in_force = &value["in_force"];
    if in_force.is_object() {
        let (count, of) = (&in_force["in_force"], &in_force["instances"]);
        println!(
            "in force on {count} of {of} instances after {} ms",
            in_force["after_ms"]
        );
        for name in to_strings(&in_force["missing"]) {
            println!("not seen on {name}");
        }
    }
}

/// Says which change was accepted before the one that conflicts with it.
fn describe_winner(winner: &Value) -> String {
    match winner["operator"].as_str() {
        Some(operator) => {
            let what = winner["summary"].as_str().or(winner["verdict"].as_str());
            format!("{operator} was first with: {}", what.unwrap_or("a change"))
        }
        None => "another change was first".to_owned(),
    }
}

fn to_strings(value: &Value) -> Vec<String> {
    let items = value.as_array().into_iter().flatten();
    let texts = items.map(|item| {
        item.as_str()
            .map_or_else(|| item.to_string(), str::to_owned)
    });
    texts.collect()
}

/// Returns the exit status for a response.
pub(crate) fn exit(status: u16, value: &Value) -> Exit {
    match (status, value["result"].as_str()) {
        (400, _) => Exit::Usage,
        (_, Some("conflict")) => Exit::Conflict,
        (_, Some("unknown")) => Exit::Unknown,
        (_, Some("refused")) => Exit::Unreachable,
        (_, Some("accepted")) if is_partial(value) => Exit::Partial,
        (200..300, _) => Exit::Success,
        _ => Exit::Failure,
    }
}

/// Returns true if some instances have not confirmed that the change is in force.
fn is_partial(value: &Value) -> bool {
    let missing = value["in_force"]["missing"].as_array();
    missing.is_some_and(|missing| !missing.is_empty())
}
