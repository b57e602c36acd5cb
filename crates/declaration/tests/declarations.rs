//! Declarations are validated, and written back as the text that they were parsed from.

use std::path::Path;

use sailtrack_declaration::Declaration;

const VALID: &str = "\
[service desk]
limit = auto

[service ledger]
limit = 20

[kind lookup]
service = desk
route = GET /records
repeat = retry
allowance = 2
importance = low
timeout = 2s
objective = 0.9

[kind entry]
service = ledger
route = POST /entries
repeat = never
allowance = 0
importance = critical
timeout = 3s
objective = 0.999

[event salary-day]
start = 2026-12-31T03:30:00.000Z
window = 45m
prepare = 1m
services = desk, ledger

[drained]
nodes = ledger-2
";

fn problems(text: &str) -> String {
    match Declaration::parse("d.ini", text) {
        Ok(_) => String::new(),
        Err(problems) => problems.to_string(),
    }
}

fn problems_after(from: &str, to: &str) -> String {
    assert!(VALID.contains(from));
    problems(&VALID.replace(from, to))
}

#[test]
fn written_back() {
    let declaration = Declaration::parse("d.ini", VALID).expect("the declaration is valid");
    assert_eq!(declaration.to_string().trim(), VALID.trim());
    let again = Declaration::parse("d.ini", &declaration.to_string());
    assert_eq!(again.as_ref(), Ok(&declaration));
}

#[test]
fn retry_and_never() {
    let found = problems_after(
        "repeat = never\nallowance = 0",
        "repeat = never\nallowance = 2",
    );
    assert!(
        found.starts_with("d.ini:20: [kind entry] allowance:"),
        "{found}"
    );
}

#[test]
fn window_ends_early() {
    let found = problems_after("window = 45m", "end = 2026-12-31T03:00:00Z");
    assert!(
        found.starts_with("d.ini:27: [event salary-day] end:"),
        "{found}"
    );
    assert!(found.contains("ends before it starts"), "{found}");
}

#[test]
fn unknown_service() {
    let found = problems_after("service = ledger", "service = leger");
    assert!(
        found.starts_with("d.ini:17: [kind entry] service: \"leger\""),
        "{found}"
    );
    assert!(found.ends_with("allowed: desk, ledger"), "{found}");
    let found = problems_after("services = desk, ledger", "services = desk, leger");
    assert!(
        found.starts_with("d.ini:29: [event salary-day] services:"),
        "{found}"
    );
}

#[test]
fn shared_route() {
    let found = problems_after("route = POST /entries", "route = GET /records");
    assert!(found.contains("d.ini:18: [kind entry] route: kind lookup has this route already"));
}

#[test]
fn wrong_words() {
    let cases = [
        (
            "importance = low",
            "importance = urgent",
            "low, normal, high, critical",
        ),
        (
            "repeat = retry",
            "repeat = sometimes",
            "retry, once or never",
        ),
        ("limit = 20", "limit = 0", "auto or a whole number"),
        (
            "route = GET /records",
            "route = records",
            "a method and a path",
        ),
        ("timeout = 2s", "timeout = 2", "a period such as"),
        ("objective = 0.9\n", "objective = 90\n", "from 0 to 1"),
        ("[kind entry]", "[kind Entry]", "a name of a-z"),
    ];
    for (from, to, allowed) in cases {
        let found = problems_after(from, to);
        assert!(
            found.contains("d.ini:") && found.contains(allowed),
            "{to}: {found}"
        );
    }
}

#[test]
fn deployed_files_sound() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deployments");
    for name in ["hooghly", "calendario"] {
        let file = root.join(name).join("declaration.ini");
        let read = Declaration::load(&file);
        assert!(read.is_ok(), "{}", read.map(|_| ()).unwrap_err());
    }
}
