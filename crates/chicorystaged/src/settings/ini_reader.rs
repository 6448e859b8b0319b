use std::collections::BTreeSet;
use std::str::FromStr;
use std::sync::Arc;

use chicorystage_api::finding::Finding;
use ini::Ini;

/// Reads keys of an INI file and collects findings.
///
/// Every key that is asked for counts as known; [`finish`](Self::finish)
/// reports those that were given and never asked for.
#[derive(Debug)]
pub struct IniReader {
    file: Arc<str>,
    text: String,
    ini: Ini,
    known: BTreeSet<(String, String)>,
    ignored: BTreeSet<String>,
    findings: Vec<Finding>,
}

impl IniReader {
    /// Parses the text of a file.
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
            known: BTreeSet::new(),
            ignored: BTreeSet::new(),
            findings,
        }
    }

    /// Reads a key that must be given.
    pub fn required<T: FromStr>(&mut self, section: &str, key: &str, allowed: &str) -> Option<T> {
        if self.raw(section, key).is_none() {
            self.known(section, key);
            self.find(section, key, "", &format!("required: {allowed}"));
            return None;
        }
        self.optional(section, key, allowed)
    }

    /// Reads a key that may be absent.
    pub fn optional<T: FromStr>(&mut self, section: &str, key: &str, allowed: &str) -> Option<T> {
        self.known(section, key);
        let given = self.raw(section, key)?.to_owned();
        let Ok(value) = given.parse() else {
            self.find(section, key, &given, allowed);
            return None;
        };
        Some(value)
    }

    /// Reads a whole number within bounds, or takes the default.
    pub fn number(&mut self, section: &str, key: &str, default: u64, min: u64, max: u64) -> u64 {
        let allowed = format!("a whole number from {min} to {max}");
        let Some(value) = self.optional::<u64>(section, key, &allowed) else {
            return default;
        };
        if (min..=max).contains(&value) {
            return value;
        }
        self.find(section, key, &value.to_string(), &allowed);
        default
    }

    /// Returns the names of the sections, in the order of the file.
    #[must_use]
    pub fn sections(&self) -> Vec<String> {
        let names = self.ini.sections().flatten();
        let mut seen = BTreeSet::new();
        names
            .filter(|name| seen.insert(*name))
            .map(str::to_owned)
            .collect()
    }

    /// Leaves a section's keys out of the report of unknown keys.
    pub fn ignore(&mut self, section: &str) {
        self.ignored.insert(section.to_owned());
    }

    /// Adds a finding at a key.
    pub fn find(&mut self, section: &str, key: &str, given: &str, allowed: &str) {
        let finding = Finding {
            file: Arc::clone(&self.file),
            line: line_of(&self.text, section, key),
            section: Arc::from(section),
            key: Arc::from(key),
            given: Arc::from(given),
            allowed: Arc::from(allowed),
        };
        self.findings.push(finding);
    }

    /// Reports unknown sections and keys and returns all findings, by line.
    #[must_use]
    pub fn finish(mut self) -> Vec<Finding> {
        let sections: BTreeSet<String> = self
            .known
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
            let known = self.known.contains(&(section.clone(), key.clone()));
            if known || self.ignored.contains(&section) {
                continue;
            }
            let allowed = if sections.contains(&section) {
                let keys = self.known.iter().filter(|(known, _)| *known == section);
                let keys: Vec<&str> = keys.map(|(_, key)| key.as_str()).collect();
                format!("one of {}", keys.join(", "))
            } else {
                let sections: Vec<&str> = sections.iter().map(String::as_str).collect();
                format!("a key of one of the sections {}", sections.join(", "))
            };
            self.find(&section, &key, &key, &allowed);
        }
        self.find_repeats();
        self.findings.sort_by_key(|finding| finding.line);
        self.findings
    }

    /// Reports sections and keys that are given twice: only the first would count.
    fn find_repeats(&mut self) {
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

    fn raw(&self, section: &str, key: &str) -> Option<&str> {
        let section = (!section.is_empty()).then_some(section);
        self.ini.get_from(section, key)
    }

    fn known(&mut self, section: &str, key: &str) {
        self.known.insert((section.to_owned(), key.to_owned()));
    }
}

/// A section heading or a key of the file.
#[derive(Clone, Copy, Debug)]
struct Line<'a> {
    number: u32,
    section: &'a str,
    /// Key, empty for a heading.
    key: &'a str,
}

/// Lists headings and keys; comments and empty lines are left out.
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

/// Finds the line of a key, or of its section where the key is absent; 0 for neither.
#[must_use]
pub fn line_of(text: &str, section: &str, key: &str) -> u32 {
    let mut in_section = lines(text).filter(|line| line.section == section);
    let heading = in_section.next().map_or(0, |line| line.number);
    let mut keys = lines(text).filter(|line| line.section == section && line.key == key);
    keys.next().map_or(heading, |line| line.number)
}
