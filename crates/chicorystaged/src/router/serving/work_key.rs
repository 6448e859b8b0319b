//! Derives from work the digest and the prefix key by which equal work is recognised.

use chicorystage_api::name::Digest;
use chicorystage_api::work::WorkSpec;
use chicorystage_core::choice::prefix_key;
use chicorystage_core::token;

/// Returns whether repeating the work has no further effect.
pub(crate) fn is_idempotent(work: &WorkSpec) -> bool {
    match work {
        WorkSpec::Completion(_) => true,
        WorkSpec::Service(call) => call.idempotent,
    }
}

/// Returns the digest of work.
///
/// Covers the resolved model or the called service and the caller's content;
/// leaves out sizes and flags that the inventory adds.
pub(crate) fn digest(work: &WorkSpec) -> Digest {
    match work {
        WorkSpec::Completion(completion) => {
            let adapter = completion
                .adapter
                .as_ref()
                .map_or("", |adapter| adapter.as_str());
            token::sha256_of_parts(&[
                completion.model.as_str().as_bytes(),
                completion.version.as_str().as_bytes(),
                adapter.as_bytes(),
                completion.prompt.as_bytes(),
                &completion.max_tokens.to_be_bytes(),
            ])
        }
        WorkSpec::Service(call) => token::sha256_of_parts(&[
            call.application.as_str().as_bytes(),
            call.method.as_bytes(),
            call.path.as_bytes(),
            call.body_base64.as_bytes(),
        ]),
    }
}

/// Returns the key of a prompt's prefix; `None` for a service or a short prompt.
pub(crate) fn prefix(work: &WorkSpec) -> Option<u64> {
    match work {
        WorkSpec::Completion(completion) => {
            prefix_key(completion.model.as_str(), &completion.prompt)
        }
        WorkSpec::Service(_) => None,
    }
}
