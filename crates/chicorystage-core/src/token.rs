//! SHA-256 digests of bearer tokens and of request contents.

use chicorystage_api::name::Digest;
use sha2::{Digest as _, Sha256};

/// Returns the SHA-256 digest of `bytes` in lowercase hexadecimal.
#[must_use]
pub fn sha256(bytes: &[u8]) -> Digest {
    sha256_of_parts(&[bytes])
}

/// Returns the SHA-256 digest of several byte strings, each preceded by its length.
///
/// The lengths give `["ab", "c"]` and `["a", "bc"]` different digests. A single
/// part is hashed without its length, so that the result equals [`sha256`] of it.
#[must_use]
pub fn sha256_of_parts(parts: &[&[u8]]) -> Digest {
    let mut hasher = Sha256::new();
    for part in parts {
        if parts.len() > 1 {
            hasher.update((part.len() as u64).to_be_bytes());
        }
        hasher.update(part);
    }
    let mut hex = String::new();
    for byte in hasher.finalize() {
        hex.push(hex_digit(byte >> 4));
        hex.push(hex_digit(byte & 0xf));
    }
    Digest::from(hex)
}

fn hex_digit(nibble: u8) -> char {
    char::from_digit(u32::from(nibble), 16).unwrap_or('0')
}
