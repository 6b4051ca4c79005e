//! Syntax of the document's texts: regular expressions, each with a description for messages.

use schemars::JsonSchema;

/// Regular expression of an identifier.
pub(crate) const ID_PATTERN: &str = "^[a-z0-9][a-z0-9._-]{0,63}$";
/// Description of [`ID_PATTERN`].
pub(crate) const ID_ALLOWED: &str =
    "1 to 64 of a-z, 0-9, '.', '_' and '-', beginning with a letter or digit";

/// Regular expression of a model name or a weights version.
pub(crate) const MODEL_PATTERN: &str = "^[A-Za-z0-9][A-Za-z0-9._:/@+-]{0,127}$";
/// Description of [`MODEL_PATTERN`].
pub(crate) const MODEL_ALLOWED: &str =
    "1 to 128 of A-Z, a-z, 0-9 and '._:/@+-', beginning with a letter or digit";

/// Regular expression of a path prefix.
pub(crate) const PATH_PREFIX_PATTERN: &str = "^/([A-Za-z0-9_~-][A-Za-z0-9._~-]*/)+$";
/// Description of [`PATH_PREFIX_PATTERN`].
pub(crate) const PATH_PREFIX_ALLOWED: &str =
    "a path that begins and ends with '/', with segments of A-Z, a-z, 0-9 and '._~-' between";

/// Schema of a model's name and of a version of weights.
#[derive(JsonSchema)]
#[schemars(extend("pattern" = MODEL_PATTERN, "x-allowed" = MODEL_ALLOWED))]
pub(crate) struct ModelName(#[expect(dead_code, reason = "only its schema is used")] String);

/// Regular expression of a SHA-256 digest in hexadecimal.
pub(crate) const SHA256_PATTERN: &str = "^[0-9a-fA-F]{64}$";
/// Description of [`SHA256_PATTERN`].
pub(crate) const SHA256_ALLOWED: &str = "64 hexadecimal digits";
