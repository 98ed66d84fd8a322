//! Tests that identifiers, sizes and rates are parsed exactly and invalid text is refused.

use std::time;

use usher_types::{NodeName, ParseRateError, PieceCount, TokenCount, TokenRate, WorkClass};

fn check_pieces(tokens: u64, pieces: u64) {
    assert_eq!(TokenCount::new(tokens).pieces(), PieceCount::new(pieces));
}

usher_types::cases! { check_pieces:
    no_tokens_need_no_piece(0, 0);
    one_token_needs_a_piece(1, 1);
    full_piece_needs_one(1_024, 1);
    one_more_token_needs_another(1_025, 2);
}

fn check_name(text: &str, valid: bool) {
    assert_eq!(text.parse::<NodeName>().is_ok(), valid);
}

usher_types::cases! { check_name:
    plain_name_is_valid("entry-1", true);
    empty_name_is_refused("", false);
    name_with_space_is_refused("entry 1", false);
    name_with_line_break_is_refused("entry\n1", false);
}

fn check_rate(text: &str, expected: Option<f64>) {
    let rate: Result<TokenRate, ParseRateError> = text.parse();
    assert_eq!(rate.ok().map(TokenRate::get), expected);
}

usher_types::cases! { check_rate:
    rate_with_unit("12.5/s", Some(12.5));
    rate_without_unit("3", Some(3.0));
    negative_rate_is_refused("-1", None);
    infinite_rate_is_refused("inf", None);
}

fn check_class(prompt: u64, output: u64, expected: WorkClass) {
    let class = WorkClass::of(TokenCount::new(prompt), TokenCount::new(output));
    assert_eq!(class, expected);
}

usher_types::cases! { check_class:
    question_is_short(1_024, 256, WorkClass::Short);
    long_prompt_is_long(1_025, 1, WorkClass::Long);
    long_answer_is_long(1, 257, WorkClass::Long);
}

/// Guards against a division by zero when the rate of a stopped engine is used.
#[test]
fn rate_of_zero_takes_forever() {
    assert_eq!(
        TokenRate::per_second(0.0).time_for(1.0),
        time::Duration::MAX
    );
}

/// Guards against a violated invariant that isn't counted.
#[test]
fn violated_invariant_is_counted() {
    let before = usher_types::violation_count();
    assert!(!usher_types::invariant!("test.always", 1 > 2, "deliberate"));
    assert_eq!(usher_types::violation_count(), before + 1);
}
