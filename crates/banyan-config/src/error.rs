//! What can be wrong with a file: [`DeclarationError`], with its place and the remedy.

use std::fmt;
use std::net::SocketAddr;

use smol_str::SmolStr;
use thiserror::Error;

use banyan_core::ids::IdError;
use banyan_core::ids::LayerRange;

/// A place in a file, as editors show it.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct TextPosition {
    /// The file's name.
    pub file: SmolStr,
    /// The line, from one.
    pub line: usize,
    /// The character in the line, from one.
    pub column: usize,
}

impl fmt::Display for TextPosition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}:{}", self.file, self.line, self.column)
    }
}

/// One thing that is wrong with a declaration or settings file.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("{position}: {field}: {kind}")]
pub struct DeclarationError {
    /// Where it is.
    pub position: TextPosition,
    /// The path of the field, such as `targets[3].engine.layers`; `file` for the file as a whole.
    pub field: SmolStr,
    /// What is wrong.
    pub kind: DeclarationErrorKind,
}

/// What is wrong with a field, what is allowed there, and the remedy.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum DeclarationErrorKind {
    /// The text is not JSON with comments.
    #[error(
        "this is not JSON with comments ({reason}); allowed are JSON, comments and trailing \
         commas; mend the text here"
    )]
    Syntax {
        /// What the parser said.
        reason: SmolStr,
    },
    /// The field is not known.
    #[error("there is no field of this name; allowed: {allowed}; rename or remove it")]
    UnknownField {
        /// The fields that may stand here.
        allowed: SmolStr,
    },
    /// The field stands twice in one object.
    #[error("the field stands twice; allowed once; remove one of the two")]
    RepeatedField,
    /// A field that must be there is not.
    #[error("the field '{name}' is missing; expected is {expected}; add it")]
    MissingField {
        /// The missing field's name.
        name: SmolStr,
        /// What should stand there.
        expected: SmolStr,
    },
    /// The value has another type.
    #[error("{found} stands here; allowed is {expected}; replace it")]
    WrongType {
        /// What should stand here.
        expected: SmolStr,
        /// What does.
        found: &'static str,
    },
    /// The number is too small or too great.
    #[error(
        "{value} is out of range; allowed: whole numbers from {least} to {most}; choose one of them"
    )]
    OutOfRange {
        /// The value as written.
        value: SmolStr,
        /// The least number allowed.
        least: u64,
        /// The greatest number allowed.
        most: u64,
    },
    /// The name or range is malformed.
    #[error("{0}")]
    BadName(#[from] IdError),
    /// The address is malformed or cannot be reached by others.
    #[error("'{text}' is no address; allowed: {expected}; write it so")]
    BadAddress {
        /// The address as written.
        text: SmolStr,
        /// The form that is expected.
        expected: &'static str,
    },
    /// Two rows have the same address.
    #[error("{address} is already used at {first}; an address may stand once; change one of them")]
    AddressInUse {
        /// The address.
        address: SocketAddr,
        /// Where it stands first.
        first: TextPosition,
    },
    /// The token digest is malformed.
    #[error(
        "'{text}' is no token digest; allowed: the SHA-256 digest of the token as 64 lower-case \
         hexadecimal digits; make it with: printf %s TOKEN | sha256sum"
    )]
    BadDigest {
        /// The digest as written, or its beginning.
        text: SmolStr,
    },
    /// Two workspaces, or one twice, have the same token.
    #[error(
        "the digest is already used at {first}; a token stands for one workspace; give each \
         workspace a token of its own"
    )]
    DigestInUse {
        /// Where it stands first.
        first: TextPosition,
    },
    /// Two rows share an id.
    #[error(
        "the {kind} '{name}' is already declared at {first}; an id may stand once over all files; \
         rename or remove one of them"
    )]
    DuplicateId {
        /// What kind of row it is.
        kind: &'static str,
        /// The id.
        name: SmolStr,
        /// Where it stands first.
        first: TextPosition,
    },
    /// A second file sets the policy.
    #[error("a policy already stands at {first}; allowed once over all files; keep one of them")]
    PolicyTwice {
        /// Where it stands first.
        first: TextPosition,
    },
    /// The availability zone is not declared.
    #[error(
        "the availability zone '{name}' is not declared; allowed: {known}; declare it under \
         'zones' or correct the name"
    )]
    UnknownZone {
        /// The zone as written.
        name: SmolStr,
        /// The declared zones.
        known: SmolStr,
    },
    /// The model is not declared.
    #[error(
        "the model '{name}' is not declared; allowed: {known}; declare it under 'models' or \
         correct the name"
    )]
    UnknownModel {
        /// The model as written.
        name: SmolStr,
        /// The declared models.
        known: SmolStr,
    },
    /// The service is not declared.
    #[error(
        "the service '{name}' is not declared; allowed: {known}; declare it under 'services' or \
         correct the name"
    )]
    UnknownService {
        /// The service as written.
        name: SmolStr,
        /// The declared services.
        known: SmolStr,
    },
    /// The service has no such call.
    #[error(
        "the service '{service}' has no call '{name}'; allowed: {known}; declare the call there or \
         correct the name"
    )]
    UnknownCall {
        /// The service.
        service: SmolStr,
        /// The call as written.
        name: SmolStr,
        /// The calls of the service.
        known: SmolStr,
    },
    /// A replica leaves out a call of its service.
    #[error(
        "the call '{name}' of the service '{service}' is missing; each replica answers every call \
         of its service; add it, or leave 'calls' out"
    )]
    MissingCall {
        /// The service.
        service: SmolStr,
        /// The call that is left out.
        name: SmolStr,
    },
    /// The target has no role or two.
    #[error(
        "a target has either 'engine' or 'service', and 'calls' only beside 'service'; keep one \
         role"
    )]
    BadRole,
    /// The range reaches past the model's last layer.
    #[error(
        "the layers {layers} reach past the end of the model '{model}'; allowed: 0-{last}; shorten \
         the range or correct the model's layer count"
    )]
    LayersPastEnd {
        /// The model.
        model: SmolStr,
        /// The range as declared.
        layers: LayerRange,
        /// The model's last layer.
        last: u32,
    },
    /// No chain that holds this range covers the whole model: some layers are on no target.
    #[error(
        "the layers {layers} lie on no complete chain of the model '{model}': there is a gap at \
         layers {gap}; allowed are ranges that cover layers 0-{last} end to end; declare a target \
         that holds layers {gap}"
    )]
    LayerGap {
        /// The model.
        model: SmolStr,
        /// The range as declared.
        layers: LayerRange,
        /// The layers that are missing.
        gap: LayerRange,
        /// The model's last layer.
        last: u32,
    },
    /// No chain that holds this range covers the whole model: its neighbour holds layers too.
    #[error(
        "the layers {layers} lie on no complete chain of the model '{model}': they overlap with \
         the range {other} at layers {overlap}; allowed are ranges that cover layers 0-{last} end \
         to end; let one range begin where the other ends"
    )]
    LayerOverlap {
        /// The model.
        model: SmolStr,
        /// The range as declared.
        layers: LayerRange,
        /// The range it overlaps with.
        other: LayerRange,
        /// The layers in both.
        overlap: LayerRange,
        /// The model's last layer.
        last: u32,
    },
    /// No target holds layers of the model.
    #[error(
        "no target holds layers of the model '{model}'; expected are targets that cover its layers \
         0-{last}; declare them in the same file, or remove the model"
    )]
    ModelWithoutTargets {
        /// The model.
        model: SmolStr,
        /// The model's last layer.
        last: u32,
    },
    /// More is wrong than is reported.
    #[error("{count} further errors are not shown; mend the ones above and check again")]
    More {
        /// How many.
        count: usize,
    },
}
