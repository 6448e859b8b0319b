/// Returns the words that a fake engine answers a prompt with.
///
/// The words of the prompt are repeated in their order, one a token, so that a
/// caller can tell whether it got the whole answer to its own request.
#[must_use]
pub fn answer_words(prompt: &str, max_tokens: u32) -> Vec<String> {
    let words = prompt.split_whitespace().cycle();
    let count = usize::try_from(max_tokens).unwrap_or(usize::MAX);
    words.take(count).map(|word| format!("{word} ")).collect()
}
