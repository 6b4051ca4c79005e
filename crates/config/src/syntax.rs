//! Syntax of the document's texts: a pattern for programs and its wording for people.

use schemars::JsonSchema;

/// Pattern of an identifier.
pub(crate) const ID_PATTERN: &str = "^[a-z0-9][a-z0-9._-]{0,63}$";
/// Wording of [`ID_PATTERN`].
pub(crate) const ID_ALLOWED: &str =
    "1 to 64 of a-z, 0-9, '.', '_' and '-', beginning with a letter or digit";

/// Pattern of a model's name or of a version of weights.
pub(crate) const MODEL_PATTERN: &str = "^[A-Za-z0-9][A-Za-z0-9._:/@+-]{0,127}$";
/// Wording of [`MODEL_PATTERN`].
pub(crate) const MODEL_ALLOWED: &str =
    "1 to 128 of A-Z, a-z, 0-9 and '._:/@+-', beginning with a letter or digit";

/// Pattern of a path prefix.
pub(crate) const PATH_PREFIX_PATTERN: &str = "^/([A-Za-z0-9_~-][A-Za-z0-9._~-]*/)+$";
/// Wording of [`PATH_PREFIX_PATTERN`].
pub(crate) const PATH_PREFIX_ALLOWED: &str =
    "a path that begins and ends with '/', with segments of A-Z, a-z, 0-9 and '._~-' between";

/// Schema of a model's name and of a version of weights.
#[derive(JsonSchema)]
#[schemars(extend("pattern" = MODEL_PATTERN, "x-allowed" = MODEL_ALLOWED))]
pub(crate) struct ModelName(#[expect(dead_code, reason = "only its schema is used")] String);

/// Pattern of a SHA-256 in hexadecimal.
pub(crate) const SHA256_PATTERN: &str = "^[0-9a-fA-F]{64}$";
/// Wording of [`SHA256_PATTERN`].
pub(crate) const SHA256_ALLOWED: &str = "64 hexadecimal digits";
