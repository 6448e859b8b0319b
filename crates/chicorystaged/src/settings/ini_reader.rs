use std::collections::BTreeSet;
use std::str::FromStr;
use std::sync::Arc;

use chicorystage_api::finding::Finding;
use ini::Ini;

/// Reader of an INI file that collects findings instead of stopping at the first problem.
///
/// Every key that is read, present or not, counts as known.
/// [`finish`](Self::finish) reports the keys of the file that were never read.
#[derive(Debug)]
pub struct IniReader {
    file: Arc<str>,
    text: String,
    ini: Ini,
    known_keys: BTreeSet<(String, String)>,
    ignored_sections: BTreeSet<String>,
    findings: Vec<Finding>,
}

impl IniReader {
    /// Parses the text of the file named `file`; a syntax error becomes a finding.
    #[must_use]
    pub fn new(file: &str, text: &str) -> Self {
        let mut findings = Vec::new();
        let file: Arc<str> = Arc::from(file);
        let ini = Ini::load_from_str_noescape(text).unwrap_or_else(|error| {
            findings.push(Finding {
                file: Arc::clone(&file),
                line: u32::try_from(error.line).unwrap_or(u32::MAX),
                section: Arc::default(),
                key: Arc::default(),
                given: Arc::from(error.msg.to_string()),
                allowed: Arc::from("INI: [section], key = value, ; comment"),
            });
            Ini::new()
        });
        Self {
            file,
            text: text.to_owned(),
            ini,
            known_keys: BTreeSet::new(),
            ignored_sections: BTreeSet::new(),
            findings,
        }
    }

    /// Reads a key that must be present.
    ///
    /// Returns `None` and adds a finding if the key is absent or malformed;
    /// `allowed` describes valid values.
    pub fn required<T: FromStr>(&mut self, section: &str, key: &str, allowed: &str) -> Option<T> {
        if self.raw_value(section, key).is_none() {
            self.mark_known(section, key);
            self.add_finding(section, key, "", &format!("required: {allowed}"));
            return None;
        }
        self.optional(section, key, allowed)
    }

    /// Reads a key that may be absent.
    ///
    /// Returns `None` if the key is absent. A malformed value also adds a finding.
    pub fn optional<T: FromStr>(&mut self, section: &str, key: &str, allowed: &str) -> Option<T> {
        self.mark_known(section, key);
        let given = self.raw_value(section, key)?.to_owned();
        let Ok(value) = given.parse() else {
            self.add_finding(section, key, &given, allowed);
            return None;
        };
        Some(value)
    }

    /// Reads a whole number from `min` to `max`; returns the default if the key is absent.
    ///
    /// An invalid number adds a finding and also returns the default.
    pub fn number(&mut self, section: &str, key: &str, default: u64, min: u64, max: u64) -> u64 {
        let allowed = format!("a whole number from {min} to {max}");
        let Some(value) = self.optional::<u64>(section, key, &allowed) else {
            return default;
        };
        if (min..=max).contains(&value) {
            return value;
        }
        self.add_finding(section, key, &value.to_string(), &allowed);
        default
    }

    /// Returns the distinct names of the sections, in the order of the file.
    #[must_use]
    pub fn sections(&self) -> Vec<String> {
        let names = self.ini.sections().flatten();
        let mut seen = BTreeSet::new();
        names
            .filter(|name| seen.insert(*name))
            .map(str::to_owned)
            .collect()
    }

    /// Excludes a section's keys from the report of unknown keys.
    pub fn ignore_section(&mut self, section: &str) {
        self.ignored_sections.insert(section.to_owned());
    }

    /// Adds a finding on a key; an empty key stands for the section itself.
    pub fn add_finding(&mut self, section: &str, key: &str, given: &str, allowed: &str) {
        let finding = Finding {
            file: Arc::clone(&self.file),
            line: line_number(&self.text, section, key),
            section: Arc::from(section),
            key: Arc::from(key),
            given: Arc::from(given),
            allowed: Arc::from(allowed),
        };
        self.findings.push(finding);
    }

    /// Adds findings for unknown and duplicate keys and returns all findings, sorted by line.
    #[must_use]
    pub fn finish(mut self) -> Vec<Finding> {
        let sections: BTreeSet<String> = self
            .known_keys
            .iter()
            .map(|(section, _)| section.clone())
            .collect();
        let given: Vec<(String, String)> = self
            .ini
            .iter()
            .flat_map(|(section, keys)| {
                let section = section.unwrap_or_default().to_owned();
                keys.iter()
                    .map(move |(key, _)| (section.clone(), key.to_owned()))
            })
            .collect();
        for (section, key) in given {
            let known = self.known_keys.contains(&(section.clone(), key.clone()));
            if known || self.ignored_sections.contains(&section) {
                continue;
            }
            let allowed = if sections.contains(&section) {
                let keys = self
                    .known_keys
                    .iter()
                    .filter(|(known, _)| *known == section);
                let keys: Vec<&str> = keys.map(|(_, key)| key.as_str()).collect();
                format!("one of {}", keys.join(", "))
            } else {
                let sections: Vec<&str> = sections.iter().map(String::as_str).collect();
                format!("a key of one of the sections {}", sections.join(", "))
            };
            self.add_finding(&section, &key, &key, &allowed);
        }
        self.add_duplicate_findings();
        self.findings.sort_by_key(|finding| finding.line);
        self.findings
    }

    /// Adds a finding for each section or key that repeats, as only the first would take effect.
    fn add_duplicate_findings(&mut self) {
        let mut seen = BTreeSet::new();
        for line in lines(&self.text) {
            if seen.insert((line.section, line.key)) {
                continue;
            }
            let (given, allowed) = match line.key {
                "" => (line.section, "each section once"),
                key => (key, "each key once in its section"),
            };
            self.findings.push(Finding {
                file: Arc::clone(&self.file),
                line: line.number,
                section: Arc::from(line.section),
                key: Arc::from(line.key),
                given: Arc::from(given),
                allowed: Arc::from(allowed),
            });
        }
    }

    fn raw_value(&self, section: &str, key: &str) -> Option<&str> {
        let section = (!section.is_empty()).then_some(section);
        self.ini.get_from(section, key)
    }

    fn mark_known(&mut self, section: &str, key: &str) {
        self.known_keys.insert((section.to_owned(), key.to_owned()));
    }
}

/// Line of the file that holds a section heading or a key.
#[derive(Clone, Copy, Debug)]
struct Line<'a> {
    number: u32,
    section: &'a str,
    /// Key; empty for a section heading.
    key: &'a str,
}

/// Returns the lines with headings and keys, without comments and empty lines.
fn lines(text: &str) -> impl Iterator<Item = Line<'_>> {
    let mut section = "";
    text.lines().enumerate().filter_map(move |(i, line)| {
        let line = line.trim();
        let number = u32::try_from(i + 1).unwrap_or(u32::MAX);
        if line.is_empty() || line.starts_with([';', '#']) {
            return None;
        }
        let heading = line.strip_prefix('[');
        if let Some(name) = heading.and_then(|rest| rest.strip_suffix(']')) {
            section = name.trim();
            return Some(Line {
                number,
                section,
                key: "",
            });
        }
        let key = line.split(['=', ':']).next().unwrap_or_default().trim();
        Some(Line {
            number,
            section,
            key,
        })
    })
}

/// Returns the line number of a key, or of its section if the key is absent, or 0 without both.
#[must_use]
pub fn line_number(text: &str, section: &str, key: &str) -> u32 {
    let mut in_section = lines(text).filter(|line| line.section == section);
    let heading = in_section.next().map_or(0, |line| line.number);
    let mut keys = lines(text).filter(|line| line.section == section && line.key == key);
    keys.next().map_or(heading, |line| line.number)
}
