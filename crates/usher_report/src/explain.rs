//! Renders explanations of decisions as text for terminals. Not for: recording decisions.

use serde_json::Value;

/// Nesting depth from which values are shown as JSON.
const MAX_DEPTH: usize = 4;

/// Renders the JSON of an explanation as indented lines; lists of records become tables.
///
/// The daemons decide which fields an explanation has; all fields are shown.
///
/// ```
/// let record = serde_json::json!({"id": "r-1", "target": "engine-3"});
/// assert_eq!(usher_report::explain_text(&record), "id: r-1\ntarget: engine-3\n");
/// ```
pub fn explain_text(record: &Value) -> String {
    let mut text = String::new();
    push_value(&mut text, record, 0);
    text
}

fn push_value(text: &mut String, value: &Value, depth: usize) {
    match value {
        Value::Object(fields) => {
            for (name, field) in fields {
                push_field(text, name, field, depth);
            }
        }
        Value::Array(items) if is_table(items) => push_table(text, items, depth),
        Value::Array(items) => {
            for item in items {
                push_indent(text, depth);
                text.push_str(&format!("- {}\n", short_text(item)));
            }
        }
        single => {
            push_indent(text, depth);
            text.push_str(&short_text(single));
            text.push('\n');
        }
    }
}

fn push_field(text: &mut String, name: &str, field: &Value, depth: usize) {
    push_indent(text, depth);
    let is_nested = match field {
        Value::Object(fields) => !fields.is_empty(),
        Value::Array(items) => !items.is_empty(),
        _ => false,
    };
    if is_nested && depth < MAX_DEPTH {
        text.push_str(&format!("{name}:\n"));
        push_value(text, field, depth + 1);
    } else {
        text.push_str(&format!("{name}: {}\n", short_text(field)));
    }
}

fn push_indent(text: &mut String, depth: usize) {
    text.push_str(&"  ".repeat(depth));
}

fn short_text(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::String(string) => string.clone(),
        Value::Array(items) if items.is_empty() => "none".to_owned(),
        other => other.to_string(),
    }
}

fn is_table(items: &[Value]) -> bool {
    let flat = |item: &Value| match item {
        Value::Object(fields) => fields.values().all(|field| !field.is_object()),
        _ => false,
    };
    !items.is_empty() && items.iter().all(flat)
}

fn push_table(text: &mut String, items: &[Value], depth: usize) {
    let mut columns: Vec<&str> = Vec::new();
    for fields in items.iter().filter_map(Value::as_object) {
        for name in fields.keys() {
            if !columns.contains(&name.as_str()) {
                columns.push(name);
            }
        }
    }
    let mut table = comfy_table::Table::new();
    table.load_preset(comfy_table::presets::ASCII_MARKDOWN);
    table.set_header(&columns);
    for item in items {
        let cell = |name: &&str| item.get(*name).map_or_else(String::new, short_text);
        table.add_row(columns.iter().map(cell));
    }
    for line in table.lines() {
        push_indent(text, depth);
        text.push_str(&line);
        text.push('\n');
    }
}
