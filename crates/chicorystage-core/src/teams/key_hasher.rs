use std::fmt;

use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

/// Length of a hasher's secret: one block of the hash function, in bytes.
const SECRET_BYTES: usize = 64;

/// Computes digests of API keys with a secret of the process.
///
/// The secret is drawn at the start of the process, so that a digest tells nothing of its key, and the
/// time that a look-up takes tells nothing of the keys that exist.
#[derive(Clone)]
pub struct KeyHasher {
    keyed: Hmac<Sha256>,
}

/// Digest of an API key; comparable only with those of the same hasher.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyDigest([u8; 32]);

impl KeyHasher {
    /// Creates a hasher with the given secret, which must be random in production.
    #[must_use]
    pub fn new(secret: [u8; SECRET_BYTES]) -> Self {
        Self {
            keyed: Hmac::new(&secret.into()),
        }
    }

    /// Returns the digest of a key.
    #[must_use]
    pub fn digest(&self, key: &[u8]) -> KeyDigest {
        let mut mac = self.keyed.clone();
        mac.update(key);
        KeyDigest(mac.finalize().into_bytes().into())
    }
}

impl fmt::Debug for KeyHasher {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("KeyHasher").finish_non_exhaustive()
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("KeyDigest").finish_non_exhaustive()
    }
}
