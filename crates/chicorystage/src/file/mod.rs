//! Inventory files: parsing, validation and formatting.
//!
//! A file is INI with one section per item: `[model NAME]`,
//! `[adapter MODEL:NAME]`, `[application NAME]`, `[caller NAME]`,
//! `[operator NAME]`, `[rule MODEL]` and `[policy]`. Applying a file changes
//! only items of the kinds that have a section in it, so a file of rules
//! changes rules only.
//!
//! A size in bytes may have the suffix `KiB`, `MiB` or `GiB`.

mod inventory_file;
mod item_fields;
mod item_reader;
mod size;

pub use inventory_file::InventoryFile;
pub use item_fields::{item_fields, section_name};
pub use item_reader::read_item;
