//! Fills in the template of the settings, as the platform does.

use serde_json::Value;

/// Fills in the placeholders and sections of a template.
pub fn render(template: &str, fields: &Value) -> String {
    let mut text = String::new();
    let mut rest = template;
    while let Some(at) = rest.find("{{") {
        text.push_str(&rest[..at]);
        let Some(end) = rest[at..].find("}}") else {
            break;
        };
        let name = &rest[at + 2..at + end];
        rest = &rest[at + end + 2..];
        let Some(kind) = name.chars().next().filter(|kind| "#^".contains(*kind)) else {
            text.push_str(&plain(lookup(fields, name)));
            continue;
        };
        let name = &name[1..];
        let close = format!("{{{{/{name}}}}}");
        let Some(length) = rest.find(&close) else {
            break;
        };
        let is_present = !matches!(lookup(fields, name), Value::Null | Value::Bool(false));
        if is_present == (kind == '#') {
            text.push_str(&render(&rest[..length], fields));
        }
        rest = &rest[length + close.len()..];
    }
    text.push_str(rest);
    text
}

fn lookup<'a>(fields: &'a Value, name: &str) -> &'a Value {
    name.split('.')
        .fold(fields, |value, part| match part.parse::<usize>() {
            Ok(index) => &value[index],
            Err(_) => &value[part],
        })
}

fn plain(value: &Value) -> String {
    match value {
        Value::Null => String::new(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}
