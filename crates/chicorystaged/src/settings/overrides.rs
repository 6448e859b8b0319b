//! Settings given on the command line.

use std::fmt::Write;

/// Returns the text of a settings file with `SECTION.KEY=VALUE` settings added.
///
/// A setting without a value is left out. The file must not have the keys, which would be reported as
/// duplicates.
///
/// # Errors
///
/// Returns the first setting that has another form.
pub fn with_overrides(text: &str, overrides: &[String]) -> Result<String, String> {
    let mut text = text.to_owned();
    for given in overrides {
        let parts = given
            .split_once('=')
            .and_then(|(name, value)| Some((name.split_once('.')?, value)));
        let Some(((section, key), value)) = parts else {
            return Err(given.clone());
        };
        if value.is_empty() {
            continue;
        }
        let heading = format!("[{section}]");
        let line = format!("{key} = {value}");
        let found = text.lines().position(|known| known.trim() == heading);
        let Some(heading_line) = found else {
            // Writing to a string cannot fail.
            let _written = write!(text, "\n{heading}\n{line}\n");
            continue;
        };
        let mut lines: Vec<&str> = text.lines().collect();
        lines.insert(heading_line + 1, &line);
        text = lines.join("\n") + "\n";
    }
    Ok(text)
}
