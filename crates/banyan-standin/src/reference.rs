//! The modelled computation of the engines: [`run_layers`] and the whole right answer.
//!
//! Each layer keeps a digest of all inputs that it has seen in a lineage, as a KV cache would, and
//! mixes it into its output. So an answer is right only if every layer ran exactly once for every
//! token, in order, on the right cache.

use smol_str::SmolStr;
use smol_str::format_smolstr;

use banyan_wire::engine::StageActivations;
use banyan_wire::engine::mix_digests;

/// The part of a digest that a token's text shows.
const TOKEN_MASK: u64 = 0xff_ffff;

/// Runs layers from `first_layer` on, one for each digest in `state`, and gives the output digest.
///
/// `state` holds one history digest a layer, all zero before the prompt.
pub fn run_layers(first_layer: u32, state: &mut [u64], input: u64) -> u64 {
    let mut digest = input;
    for (layer, history) in (first_layer..).zip(state) {
        let output = mix_digests(mix_digests(digest, u64::from(layer)), *history);
        *history = mix_digests(*history, digest);
        digest = output;
    }
    digest
}

/// The text of the token that the last layer's output stands for.
pub fn token_text(digest: u64) -> SmolStr {
    format_smolstr!("{:06x} ", digest & TOKEN_MASK)
}

/// The whole right answer of a model with `model_layers` layers.
pub fn expected_answer(model_layers: u32, prompt: &str, max_tokens: u64) -> Vec<SmolStr> {
    let mut state = vec![0; model_layers as usize];
    let mut input = StageActivations::from_prompt(prompt, 0);
    let mut answer = Vec::new();
    for index in 0..max_tokens {
        let text = token_text(run_layers(0, &mut state, input.digest));
        input = StageActivations::from_token(&text, index, 0);
        answer.push(text);
    }
    answer
}
