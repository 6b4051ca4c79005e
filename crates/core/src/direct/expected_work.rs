//! The work that one request is expected to cause at a backend server.
//!
//! Prompts and outputs of one service differ by a factor of fifty, so the number of open requests
//! says little about the load of a backend server. Callers may state the length of the prompt and
//! an estimate of the length of the output.

use super::{EngineFigures, WorkEstimator};

/// Work of a usual request of a service, in units of itself.
pub const USUAL_WORK_UNITS: f64 = 1.0;

/// Least work that a request counts: it occupies a slot, however short it is.
const MIN_UNITS: f64 = 0.25;

/// Most work that a request counts. A wrong estimate, or a caller that states whatever it likes,
/// must not keep a backend server without work.
const MAX_UNITS: f64 = 8.0;

/// Share of its work that an open stream counts at least: its output may be longer than expected.
const MIN_LEFT_SHARE: f64 = 0.1;

/// Most tokens that a caller may state. No engine holds as many for one request.
const MAX_STATED_TOKENS: f64 = 1e7;

/// What a caller states about the tokens of its request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct StatedTokens {
    /// Tokens of the prompt.
    pub prompt: Option<f64>,
    /// Most tokens of the output.
    pub max_output: Option<f64>,
    /// The caller's estimate of the tokens of the output.
    pub output_estimate: Option<f64>,
}

/// Error of [`StatedTokens::parse`]: a field is malformed or was given twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the field is not a list of token counts, or was given twice")]
pub struct UnreadableTokens;

impl StatedTokens {
    /// Parses the values of the field `PROMPT,MAX_OUTPUT` and of the field with the estimate.
    ///
    /// # Errors
    ///
    /// When a field was given more than once or does not hold token counts. Then nothing is known
    /// of the request.
    pub fn parse<'a>(
        usage: impl IntoIterator<Item = &'a str>,
        estimate: impl IntoIterator<Item = &'a str>,
    ) -> Result<Self, UnreadableTokens> {
        let mut stated = Self::default();
        if let Some(usage) = single(usage)? {
            let (prompt, max_output) = usage.split_once(',').ok_or(UnreadableTokens)?;
            stated.prompt = Some(parse_tokens(prompt)?);
            stated.max_output = Some(parse_tokens(max_output)?);
        }
        if let Some(estimate) = single(estimate)? {
            stated.output_estimate = Some(parse_tokens(estimate)?);
        }
        Ok(stated)
    }

    /// Returns whether nothing is stated that shows the work of the request.
    const fn is_empty(&self) -> bool {
        self.prompt.is_none() && self.output_estimate.is_none()
    }
}

/// Returns the only value, or nothing if there is none.
fn single<'a>(
    values: impl IntoIterator<Item = &'a str>,
) -> Result<Option<&'a str>, UnreadableTokens> {
    let mut values = values.into_iter();
    let first = values.next();
    if values.next().is_some() { Err(UnreadableTokens) } else { Ok(first) }
}

fn parse_tokens(text: &str) -> Result<f64, UnreadableTokens> {
    let tokens = text.trim().parse::<f64>().map_err(|_| UnreadableTokens)?;
    if (0.0..=MAX_STATED_TOKENS).contains(&tokens) { Ok(tokens) } else { Err(UnreadableTokens) }
}

/// The work that one request is expected to cause, in tokens and in units of a usual request of its
/// service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExpectedWork {
    /// Tokens of the prompt: as stated, or else the usual ones.
    prompt_tokens: f64,
    /// Whether the caller stated the tokens of the prompt.
    is_prompt_stated: bool,
    /// Expected tokens of the output; `None` for a usual request, whose progress is not followed.
    output_tokens: Option<f64>,
    reading_units: f64,
    writing_units: f64,
}

impl Default for ExpectedWork {
    fn default() -> Self {
        Self::USUAL
    }
}

impl ExpectedWork {
    /// A usual request of a service of which nothing is known.
    pub const USUAL: Self = Self {
        prompt_tokens: 0.0,
        is_prompt_stated: false,
        output_tokens: None,
        reading_units: 0.0,
        writing_units: USUAL_WORK_UNITS,
    };

    /// Returns the work of a request of `route` whose caller stated `stated`.
    ///
    /// A request counts as a usual one if nothing is stated, or if the figures do not tell what a
    /// usual one is.
    #[must_use]
    pub fn new(
        stated: &StatedTokens,
        figures: &EngineFigures,
        estimator: &WorkEstimator,
        route: &str,
    ) -> Self {
        let figures = figures.usable();
        let usual_prompt = figures.usual_prompt_tokens;
        let usual = Self {
            prompt_tokens: stated.prompt.or(usual_prompt).unwrap_or(0.0),
            is_prompt_stated: stated.prompt.is_some(),
            ..Self::USUAL
        };
        let (Some(usual_prompt), Some(usual_output)) = (usual_prompt, figures.usual_output_tokens)
        else {
            return usual;
        };
        let usual_ms = figures.reading_ms(usual_prompt) + figures.writing_ms(usual_output);
        if stated.is_empty() || usual_ms <= 0.0 {
            return usual;
        }
        let estimate = stated.output_estimate;
        let output_tokens = estimate
            .map_or(usual_output, |estimate| estimator.expected(route, estimate, usual_output))
            .min(stated.max_output.unwrap_or(f64::INFINITY))
            .max(1.0);
        let reading_units = figures.reading_ms(usual.prompt_tokens) / usual_ms;
        let writing_units = figures.writing_ms(output_tokens) / usual_ms;
        let units = reading_units + writing_units;
        let scale = if units > 0.0 { units.clamp(MIN_UNITS, MAX_UNITS) / units } else { 0.0 };
        if scale == 0.0 {
            return Self { writing_units: MIN_UNITS, output_tokens: Some(output_tokens), ..usual };
        }
        Self {
            output_tokens: Some(output_tokens),
            reading_units: reading_units * scale,
            writing_units: writing_units * scale,
            ..usual
        }
    }

    /// Returns the whole work in units of a usual request.
    #[must_use]
    pub fn units(&self) -> f64 {
        self.reading_units + self.writing_units
    }

    /// Returns the work that is left after `events` events of the answer, in units of a usual
    /// request. The work of a usual request is left until its end.
    #[must_use]
    pub fn units_left(&self, events: u64) -> f64 {
        let Some(output_tokens) = self.output_tokens.filter(|_| events > 0) else {
            return self.units();
        };
        let left_share = (1.0 - events as f64 / output_tokens).max(0.0);
        (self.writing_units * left_share).max(self.units() * MIN_LEFT_SHARE)
    }

    /// Returns the tokens of the prompt: as stated, or else the usual ones; 0 if neither is known.
    #[must_use]
    pub const fn prompt_tokens(&self) -> f64 {
        self.prompt_tokens
    }

    /// Returns whether the caller stated the tokens of the prompt.
    #[must_use]
    pub const fn is_prompt_stated(&self) -> bool {
        self.is_prompt_stated
    }

    /// Returns the expected tokens of the output; `None` for a usual request.
    #[must_use]
    pub const fn output_tokens(&self) -> Option<f64> {
        self.output_tokens
    }
}
