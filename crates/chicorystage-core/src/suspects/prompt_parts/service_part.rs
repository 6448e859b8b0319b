use chicorystage_api::name::{Digest, PromptPartId, ServiceName};
use derive_more::Display;

use crate::token::sha256_of_parts;

/// A part of prompts that the endpoints of one service answer.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[display("prompt part {part} at service {service}")]
pub struct ServicePart {
    /// Service of the endpoints.
    pub service: ServiceName,
    /// The part.
    pub part: PromptPartId,
}

impl ServicePart {
    /// Names a part of prompts that the endpoints of a service answer.
    #[must_use]
    pub fn new(service: &ServiceName, part: &PromptPartId) -> Self {
        Self {
            service: service.clone(),
            part: part.clone(),
        }
    }

    /// Returns the digest under which the part is quarantined.
    #[must_use]
    pub fn digest(&self) -> Digest {
        sha256_of_parts(&[
            b"prompt part",
            self.service.as_str().as_bytes(),
            self.part.as_str().as_bytes(),
        ])
    }
}
