//! Inventory files.
//!
//! A file is INI, one section an item: `[model NAME]`, `[adapter MODEL:NAME]`,
//! `[application NAME]`, `[caller NAME]`, `[operator NAME]`, `[rule MODEL]` and
//! `[policy]`. A kind of which the file has no section is left alone when the
//! file is applied, so a file of rules touches nothing else.
//!
//! Sizes in bytes take the suffixes `KiB`, `MiB` and `GiB`.

mod inventory_file;
mod item_fields;
mod item_reader;
mod size;

pub use inventory_file::InventoryFile;
pub use item_fields::{item_fields, section_name};
pub use item_reader::read_item;
