//! Shared immutable names.
//!
//! A name is created once, when a row or a request is decoded, and is cloned
//! from there on by reference count. Each kind of name is a type of its own so
//! that a model cannot be passed where an endpoint's VM is expected.

use std::borrow::Borrow;
use std::sync::Arc;

use derive_more::Display;
use serde::{Deserialize, Serialize};

macro_rules! names {
    ($($(#[$doc:meta])* $name:ident)+) => {$(
        $(#[$doc])*
        #[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(Arc::from(text))
            }
        }

        impl From<String> for $name {
            fn from(text: String) -> Self {
                Self(Arc::from(text))
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }
    )+};
}

names! {
    /// Identity of a VM in the platform's list; never reused.
    VmId
    /// Name of an availability zone.
    ZoneName
    /// Name of a group of VMs of one purpose, such as one model engine fleet.
    GroupName
    /// Identity under which an endpoint registers; an endpoint that starts anew may keep it.
    EndpointId
    /// Name of a service: the endpoints that answer the same routes.
    ServiceName
    /// Name of a calling application.
    CallerName
    /// Name of an organisational unit that owns inventory items.
    OwnerName
    /// Name of an operator who changes the inventory.
    OperatorName
    /// Name of a base model.
    ModelName
    /// Name of an adapter of a base model.
    AdapterName
    /// Name of one version of a model.
    VersionName
    /// Name of a plain service.
    ApplicationName
    /// Identity of a caller's request, made by the router that accepted it.
    RequestId
    /// Identity of an inventory change, chosen by whoever submits it.
    ChangeId
    /// Idempotency key chosen by a caller.
    IdempotencyKey
    /// Lowercase hexadecimal SHA-256 digest.
    Digest
}
