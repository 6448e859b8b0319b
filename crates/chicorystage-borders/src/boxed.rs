use std::pin::Pin;

/// Future of a trait object's method.
pub type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;
