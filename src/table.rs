//! Formats JSON values as aligned text tables.

use serde_json::Value;

/// Heading of a column and the dot-separated path of its value in a row.
pub type TableColumn = (&'static str, &'static str);

fn cell(row: &Value, path: &str) -> String {
    let value = path.split('.').fold(row, |value, part| &value[part]);
    match value {
        Value::Null => "-".to_owned(),
        Value::String(text) if text.is_empty() => "-".to_owned(),
        Value::String(text) => text.clone(),
        Value::Array(items) => items
            .iter()
            .map(|item| match item {
                // Group members are pairs of a VM and its state.
                Value::Array(pair) => pair
                    .iter()
                    .map(|part| part.as_str().unwrap_or_default())
                    .collect::<Vec<_>>()
                    .join("="),
                other => other
                    .as_str()
                    .map_or_else(|| other.to_string(), str::to_owned),
            })
            .collect::<Vec<_>>()
            .join(","),
        other => other.to_string(),
    }
}

/// Prints a heading line and one line per row. Columns are padded to the width of their widest cell.
pub fn print_table(columns: &[TableColumn], rows: &[Value]) {
    let cells: Vec<Vec<String>> = rows
        .iter()
        .map(|row| columns.iter().map(|(_, path)| cell(row, path)).collect())
        .collect();
    let widths: Vec<usize> = columns
        .iter()
        .enumerate()
        .map(|(index, (heading, _))| {
            cells
                .iter()
                .map(|row| row[index].len())
                .fold(heading.len(), usize::max)
        })
        .collect();
    let headings: Vec<String> = columns
        .iter()
        .map(|(heading, _)| (*heading).to_owned())
        .collect();
    for row in std::iter::once(&headings).chain(&cells) {
        let line: Vec<String> = row
            .iter()
            .zip(&widths)
            .map(|(text, width)| format!("{text:<width$}"))
            .collect();
        println!("{}", line.join("  ").trim_end());
    }
}
