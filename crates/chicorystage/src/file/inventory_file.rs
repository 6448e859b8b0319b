use std::collections::BTreeSet;
use std::path::Path;
use std::sync::Arc;

use chicorystage_api::admin::ItemFinding;
use chicorystage_api::finding::Finding;
use chicorystage_api::inventory::{Change, Item, ItemChange, ItemKey, ItemKind, ItemRow, Snapshot};
use chicorystage_core::inventory::{InventoryState, check_change, diff};
use chicorystaged::settings::{IniReader, line_number};

use crate::ToolError;
use crate::file::{read_item, section_name};

/// Id of the change with which a file is validated; that change is never submitted.
const CHECK_CHANGE_ID: &str = "check";
const SECTIONS: &str = "[model NAME], [adapter MODEL:NAME], [application NAME], [caller NAME], \
                        [operator NAME], [rule MODEL] or [policy]";

/// Inventory file that was parsed and validated as a whole.
#[derive(Clone, Debug)]
pub struct InventoryFile {
    name: String,
    text: String,
    items: Vec<Item>,
}

impl InventoryFile {
    /// Reads and validates a file.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be read, or with all findings in it.
    pub fn open(path: &Path) -> Result<Self, ToolError> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .map_err(|error| ToolError::Usage(format!("{name}: {error}")))?;
        Self::parse(&name, &text).map_err(ToolError::File)
    }

    /// Parses and validates the text of the file named `name`.
    ///
    /// References to items of a kind that has no section in the file are not
    /// checked here but by [`check_against`](Self::check_against).
    ///
    /// # Errors
    ///
    /// Returns all findings, sorted by line.
    pub fn parse(name: &str, text: &str) -> Result<Self, Vec<Finding>> {
        let mut reader = IniReader::new(name, text);
        let mut items = Vec::new();
        for section in reader.sections() {
            let Some(key) = parse_section_name(&section) else {
                reader.add_finding(&section, "", &section, SECTIONS);
                reader.ignore_section(&section);
                continue;
            };
            items.extend(read_item(&mut reader, &key));
        }
        let findings = reader.finish();
        let file = Self {
            name: name.to_owned(),
            text: text.to_owned(),
            items,
        };
        let findings = file.check(&InventoryState::default(), findings, true);
        if findings.is_empty() {
            return Ok(file);
        }
        Err(findings)
    }

    /// Returns the items of the file, in its order.
    #[must_use]
    pub fn items(&self) -> &[Item] {
        &self.items
    }

    /// Validates the change that would apply the file to an inventory with the given rows.
    ///
    /// # Errors
    ///
    /// Returns all findings, sorted by line.
    pub fn check_against(&self, rows: &[ItemRow]) -> Result<(), Vec<Finding>> {
        let mut state = InventoryState::default();
        state.replace(Snapshot {
            revision: 1,
            rows: rows.to_vec(),
        });
        let findings = self.check(&state, Vec::new(), false);
        if findings.is_empty() {
            return Ok(());
        }
        Err(findings)
    }

    fn check(
        &self,
        state: &InventoryState,
        mut findings: Vec<Finding>,
        standalone: bool,
    ) -> Vec<Finding> {
        let kinds: BTreeSet<ItemKind> = self.items.iter().map(|item| item.key().kind).collect();
        let rows: Vec<ItemRow> = state.rows().cloned().collect();
        let items = diff(&rows, &self.items).into_iter().map(|diff| diff.change);
        let change = Change {
            change_id: CHECK_CHANGE_ID.into(),
            items: items.collect::<Vec<ItemChange>>(),
            reason: String::new(),
        };
        for problem in check_change(state, &change) {
            let is_outside_file = problem
                .cause
                .is_some_and(|cause| standalone && !kinds.contains(&cause.kind));
            if !is_outside_file {
                findings.push(self.locate(&problem.finding));
            }
        }
        findings.sort_by_key(|finding| finding.line);
        findings
    }

    /// Converts a finding on an item into one with its file, line, section and key.
    fn locate(&self, finding: &ItemFinding) -> Finding {
        let key = finding.field.split('.').next().unwrap_or_default();
        let section = section_name(&finding.key);
        Finding {
            file: self.name.as_str().into(),
            line: line_number(&self.text, &section, key),
            section: section.into(),
            key: key.into(),
            given: Arc::clone(&finding.given),
            allowed: Arc::clone(&finding.allowed),
        }
    }
}

fn parse_section_name(section: &str) -> Option<ItemKey> {
    if section == "policy" {
        return Some(ItemKey::new(ItemKind::Policy, "deployment"));
    }
    let (kind, name) = section.split_once(char::is_whitespace)?;
    let key = ItemKey::parse(&format!("{kind}/{}", name.trim()))?;
    (key.kind != ItemKind::Policy && section_name(&key) == section).then_some(key)
}
