//! Form of a log line, whatever texts of others it contains.

/// Maximum length of a line, in bytes. Lines of the program itself are far shorter.
pub const MAX_LINE_BYTES: usize = 4096;

fn must_escape(c: char) -> bool {
    // Some readers of logs also end lines at the separators of Unicode.
    c.is_control() || matches!(c, '\u{2028}' | '\u{2029}')
}

/// Returns `text` as a single line: control characters are escaped, and what exceeds [`MAX_LINE_BYTES`] is cut.
pub fn single_line(text: &str) -> String {
    let kept = &text[..text.floor_char_boundary(MAX_LINE_BYTES)];
    let mut line = String::with_capacity(kept.len());
    for c in kept.chars() {
        if must_escape(c) {
            line.extend(c.escape_default());
        } else {
            line.push(c);
        }
    }
    line.truncate(line.floor_char_boundary(MAX_LINE_BYTES));
    if kept.len() < text.len() || line.len() == MAX_LINE_BYTES {
        line.push_str(&format!(" cut_from_bytes={}", text.len()));
    }
    line
}
