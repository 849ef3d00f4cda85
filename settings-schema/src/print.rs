//! A checked file written back, every default filled in; what is printed reads back to the same.

use std::fmt::Write;

use crate::checked::Checked;

/// The text of a file that means the same.
pub fn print(checked: &Checked) -> String {
    let mut text = String::new();
    section(checked, 0, &mut text);
    text
}

fn section(checked: &Checked, depth: usize, text: &mut String) {
    let indent = "    ".repeat(depth);
    for entry in &checked.entries {
        text.push_str(&indent);
        text.push_str(entry.directive.name);
        for value in &entry.values {
            text.push(' ');
            text.push_str(&quoted(&value.to_string()));
        }
        if entry.line.is_none() {
            text.push_str("  # default");
        }
        text.push('\n');
    }
    for inner in &checked.sections {
        let _ = writeln!(text, "{indent}{} {{", inner.section.name);
        section(inner, depth + 1, text);
        let _ = writeln!(text, "{indent}}}");
    }
}

/// Quoted where the word would else be read as something different.
fn quoted(word: &str) -> String {
    let special = |c: char| c.is_whitespace() || c.is_control() || matches!(c, '\'' | '"' | '\\');
    let bare = !word.is_empty() && !word.contains(special) && !word.starts_with('#');
    match shlex::try_quote(word) {
        _ if bare && word != "{" && word != "}" => word.to_string(),
        Ok(quoted) if quoted != word => quoted.into_owned(),
        // A brace alone, and what `shlex` cannot quote: single quotes keep everything but themselves.
        _ => format!("'{}'", word.replace('\'', "'\\''")),
    }
}
