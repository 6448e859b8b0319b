use chicorystage_api::name::SoftwareVersion;

/// Where a stream that is taken up again may go on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ResumeTarget {
    /// At any endpoint, since the endpoints of the service state no version.
    Any,
    /// At an endpoint of this version.
    Version(SoftwareVersion),
    /// Nowhere: one of several versions began it, and no process knows which.
    Unknown,
}
