use derive_more::Display;
use serde::{Deserialize, Serialize};

macro_rules! codes {
    ($($(#[$doc:meta])* $name:ident = $text:literal, $status:literal;)+) => {
        /// Stable machine-readable reason of a refusal.
        #[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        pub enum RefusalCode {
            $(
                $(#[$doc])*
                #[display($text)]
                #[serde(rename = $text)]
                $name,
            )+
        }

        impl RefusalCode {
            /// All codes, in the order of their declaration.
            pub const ALL: &'static [Self] = &[$(Self::$name),+];

            /// Returns the HTTP status with which this code is sent to a caller.
            #[must_use]
            pub fn http_status(self) -> u16 {
                match self {
                    $(Self::$name => $status,)+
                }
            }
        }
    };
}

codes! {
    /// The request line, a header or the body is malformed.
    BadRequest = "bad_request", 400;
    /// The body is not the JSON that the path expects.
    BadJson = "bad_json", 400;
    /// `X-Request-Timeout-Ms` is not a whole number in the allowed range.
    BadTimeout = "bad_timeout", 400;
    /// `X-Request-Class` names an unknown class or one above the caller's.
    BadClass = "bad_class", 400;
    /// The bearer token is missing or unknown.
    Unauthenticated = "unauthenticated", 401;
    /// The caller may not use this model or application.
    Forbidden = "forbidden", 403;
    /// The path is not part of the API.
    UnknownPath = "unknown_path", 404;
    /// The model, version or adapter is not in the inventory.
    UnknownModel = "unknown_model", 404;
    /// The application is not in the inventory.
    UnknownApplication = "unknown_application", 404;
    /// The method is not allowed on this path.
    BadMethod = "bad_method", 405;
    /// The body is larger than the caller's limit.
    BodyTooLarge = "body_too_large", 413;
    /// The headers are larger than the router's limit.
    HeaderTooLarge = "header_too_large", 431;
    /// The call is not idempotent and carries no `Idempotency-Key`.
    KeyRequired = "idempotency_key_required", 400;
    /// `Idempotency-Key` is malformed.
    BadKey = "bad_idempotency_key", 400;
    /// The key was used before with another body.
    KeyReused = "idempotency_key_reused", 422;
    /// A call with this key is still running, and the request could not attach to it.
    KeyInProgress = "idempotency_key_in_progress", 409;
    /// The caller's request rate is above its limit.
    RateLimited = "rate_limited", 429;
    /// The caller has too many requests in progress.
    ConcurrencyLimited = "concurrency_limited", 429;
    /// The request is shed because its class or tenant exceeds its share of the capacity.
    Overloaded = "overloaded", 503;
    /// The estimated wait is longer than the time the request has left.
    DeadlineUnreachable = "deadline_unreachable", 503;
    /// The deadline passed before an answer was complete.
    DeadlineExceeded = "deadline_exceeded", 504;
    /// No endpoint can take the request now.
    NoEndpoint = "no_endpoint", 503;
    /// The model has no slot, and the planner could not assign one.
    NoPlacement = "no_placement", 503;
    /// The platform's table could not record the claim.
    ClaimUnavailable = "claim_unavailable", 503;
    /// The VM chosen to run the call is draining.
    Leaving = "leaving", 503;
    /// The router cannot confirm that its rules are still in force.
    StaleRules = "stale_rules", 503;
    /// The request has crashed endpoints and is quarantined.
    Quarantined = "quarantined", 422;
    /// The endpoint failed after part of the answer was delivered.
    EndpointLost = "endpoint_lost", 502;
    /// The call was sent to an endpoint, and its result is unknown.
    ResultUnknown = "result_unknown", 502;
    /// The claim names another agent or incarnation than the one that received it.
    WrongIncarnation = "wrong_incarnation", 409;
    /// The key has a newer claim epoch, or its epoch is tombstoned.
    StaleClaim = "stale_claim", 409;
    /// The agent holds no slot for the model.
    NotPlaced = "not_placed", 409;
    /// The model does not fit into the endpoint's free memory at present.
    MemoryFull = "memory_full", 503;
    /// The engine failed to load the model or adapter.
    LoadFailed = "load_failed", 502;
    /// The caller disconnected before the answer was complete.
    Cancelled = "cancelled", 499;
    /// The process failed because of an internal error.
    Internal = "internal", 500;
}
