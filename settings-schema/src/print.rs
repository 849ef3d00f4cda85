//! Writes checked settings as text, with every default filled in. The text parses to the same settings.

use std::fmt::Write;

use crate::checked::Checked;

/// Returns settings as the text of an equivalent file.
pub fn print(checked: &Checked) -> String {
    let mut text = String::new();
    write_section(checked, 0, &mut text);
    text
}

fn write_section(checked: &Checked, depth: usize, text: &mut String) {
    let indent = "    ".repeat(depth);
    for entry in &checked.entries {
        text.push_str(&indent);
        text.push_str(entry.directive.name);
        for value in &entry.values {
            text.push(' ');
            text.push_str(&quote(&value.to_string()));
        }
        if entry.line.is_none() {
            text.push_str("  # default");
        }
        text.push('\n');
    }
    for inner in &checked.sections {
        let _ = writeln!(text, "{indent}{} {{", inner.section.name);
        write_section(inner, depth + 1, text);
        let _ = writeln!(text, "{indent}}}");
    }
}

/// Quotes a token if it would otherwise be read differently.
fn quote(token: &str) -> String {
    let special = |c: char| c.is_whitespace() || c.is_control() || matches!(c, '\'' | '"' | '\\');
    let bare = !token.is_empty() && !token.contains(special) && !token.starts_with('#');
    match shlex::try_quote(token) {
        _ if bare && token != "{" && token != "}" => token.to_string(),
        Ok(quoted) if quoted != token => quoted.into_owned(),
        // A lone brace, or a token that `shlex` does not quote: within single quotes only a single quote is special.
        _ => format!("'{}'", token.replace('\'', "'\\''")),
    }
}
