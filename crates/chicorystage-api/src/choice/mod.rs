//! Questions to a gateway about where a request would go now, and the answers.

mod choice_answer;
mod choice_question;
mod endpoint_answer;
mod service_answer;
mod team_answer;

pub use choice_answer::ChoiceAnswer;
pub use choice_question::ChoiceQuestion;
pub use endpoint_answer::EndpointAnswer;
pub use service_answer::ServiceAnswer;
pub use team_answer::TeamAnswer;

/// Path at a gateway's metrics address to which questions are posted.
pub const CHOICE_PATH: &str = "/choice";
