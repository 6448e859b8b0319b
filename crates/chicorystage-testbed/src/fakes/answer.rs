/// Returns the tokens that a fake engine generates for a prompt: its words, repeated.
///
/// There are `max_tokens` tokens of one word each, in the order of the prompt, or
/// none if the prompt has no words. A caller can thus check that the response is
/// complete and belongs to its own request.
#[must_use]
pub fn answer_words(prompt: &str, max_tokens: u32) -> Vec<String> {
    let words = prompt.split_whitespace().cycle();
    let count = usize::try_from(max_tokens).unwrap_or(usize::MAX);
    words.take(count).map(|word| format!("{word} ")).collect()
}
