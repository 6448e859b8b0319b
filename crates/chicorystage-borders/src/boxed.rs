use std::pin::Pin;

/// Boxed future that a trait method returns, so that the trait can be a trait object.
pub type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;
