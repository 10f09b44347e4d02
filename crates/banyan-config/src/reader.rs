//! Reads fields from a parsed file and notes every error with its place: [`FieldReader`].

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

use jsonc_parser::CollectOptions;
use jsonc_parser::ParseOptions;
use jsonc_parser::ast::Object;
use jsonc_parser::ast::ObjectProp;
use jsonc_parser::ast::Value;
use jsonc_parser::common::Ranged;
use jsonc_parser::parse_to_ast;
use smol_str::SmolStr;
use smol_str::format_smolstr;

use crate::error::DeclarationError;
use crate::error::DeclarationErrorKind;
use crate::error::TextPosition;
use banyan_core::ids::IdError;

/// The most errors that are reported at once.
const ERROR_LIMIT: usize = 100;

/// The greatest length at which a refused text is shown in full, in characters.
const SHOWN_TEXT_LIMIT: usize = 80;

/// A place in one of the files, cheap to keep; [`ErrorList`] turns it into a [`TextPosition`].
#[derive(Clone, Copy, Debug)]
pub(crate) struct TextPlace {
    /// The file's index in the list.
    pub(crate) file: usize,
    /// The byte in the text.
    pub(crate) offset: usize,
}

/// The errors found so far, and the texts that they stand in.
#[derive(Debug, Default)]
pub(crate) struct ErrorList<'t> {
    texts: Vec<(SmolStr, &'t str)>,
    errors: Vec<DeclarationError>,
    hidden: usize,
}

impl<'t> ErrorList<'t> {
    /// Takes in a text and gives its index.
    pub(crate) fn add_text(&mut self, name: &str, text: &'t str) -> usize {
        self.texts.push((SmolStr::new(name), text));
        self.texts.len() - 1
    }

    /// Notes an error.
    pub(crate) fn add(
        &mut self,
        place: TextPlace,
        field: impl fmt::Display,
        kind: DeclarationErrorKind,
    ) {
        if self.errors.len() == ERROR_LIMIT {
            self.hidden += 1;
            return;
        }
        let position = self.position(place);
        self.errors.push(DeclarationError { position, field: format_smolstr!("{field}"), kind });
    }

    /// The place as editors show it.
    pub(crate) fn position(&self, place: TextPlace) -> TextPosition {
        let (file, text) = &self.texts[place.file];
        let before = &text[..floor_boundary(text, place.offset)];
        let line_start = before.rfind('\n').map_or(0, |at| at + 1);
        TextPosition {
            file: file.clone(),
            line: before.matches('\n').count() + 1,
            column: before[line_start..].chars().count() + 1,
        }
    }

    /// Whether nothing is wrong so far.
    pub(crate) fn is_empty(&self) -> bool {
        self.errors.is_empty()
    }

    /// Whether a text could not be parsed at all.
    pub(crate) fn has_syntax_error(&self) -> bool {
        let is_syntax =
            |error: &DeclarationError| matches!(error.kind, DeclarationErrorKind::Syntax { .. });
        self.errors.iter().any(is_syntax)
    }

    /// The errors in the order of files and lines.
    pub(crate) fn into_errors(mut self) -> Vec<DeclarationError> {
        self.errors.sort_by(|a, b| a.position.cmp(&b.position));
        if let (Some(last), count @ 1..) = (self.errors.last(), self.hidden) {
            let kind = DeclarationErrorKind::More { count };
            let more = DeclarationError {
                position: last.position.clone(),
                field: SmolStr::new_static("file"),
                kind,
            };
            self.errors.push(more);
        }
        self.errors
    }
}

/// The greatest character boundary that is not behind `offset`.
fn floor_boundary(text: &str, offset: usize) -> usize {
    let mut offset = offset.min(text.len());
    while !text.is_char_boundary(offset) {
        offset -= 1;
    }
    offset
}

/// The path from the file's root to a field, kept on the stack.
#[derive(Clone, Copy, Debug)]
pub(crate) enum FieldPath<'p> {
    /// The file as a whole.
    Root,
    /// A field of an object.
    Field(&'p FieldPath<'p>, &'p str),
    /// An element of a list.
    Element(&'p FieldPath<'p>, usize),
}

impl fmt::Display for FieldPath<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FieldPath::Root => f.write_str("file"),
            FieldPath::Field(FieldPath::Root, name) => f.write_str(&shown_text(name)),
            FieldPath::Field(parent, name) => write!(f, "{parent}.{}", shown_text(name)),
            FieldPath::Element(parent, index) => write!(f, "{parent}[{index}]"),
        }
    }
}

/// Parses a text and hands its root object to `read`; what is wrong goes into `errors`.
pub(crate) fn read_text<'t>(
    errors: &mut ErrorList<'t>,
    name: &str,
    text: &'t str,
    read: impl FnOnce(&FieldReader<'_, '_>, &mut ErrorList<'t>),
) {
    let file = errors.add_text(name, text);
    let parsed = match parse_to_ast(text, &CollectOptions::default(), &strict_options()) {
        Ok(parsed) => parsed,
        Err(error) => {
            let place = TextPlace { file, offset: error.range().start };
            let reason = format_smolstr!("{}", error.kind());
            errors.add(place, FieldPath::Root, DeclarationErrorKind::Syntax { reason });
            return;
        }
    };
    match parsed.value {
        Some(Value::Object(object)) => {
            read(&FieldReader { file, object: &object, path: FieldPath::Root }, errors);
        }
        other => {
            let place = TextPlace { file, offset: other.as_ref().map_or(0, Ranged::start) };
            let found = other.as_ref().map_or("nothing", value_name);
            let expected = SmolStr::new_static("one object in braces");
            let kind = DeclarationErrorKind::WrongType { expected, found };
            errors.add(place, FieldPath::Root, kind);
        }
    }
}

/// JSON with comments and trailing commas, and nothing looser.
fn strict_options() -> ParseOptions {
    ParseOptions {
        allow_comments: true,
        allow_trailing_commas: true,
        allow_loose_object_property_names: false,
        allow_missing_commas: false,
        allow_single_quoted_strings: false,
        allow_hexadecimal_numbers: false,
        allow_unary_plus_numbers: false,
        allow_bare_decimal_point_numbers: false,
        allow_non_finite_numbers: false,
        allow_extended_string_escapes: false,
    }
}

/// A value read, with the place it stands at.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Placed<T> {
    /// The value.
    pub(crate) value: T,
    /// Where it stands.
    pub(crate) place: TextPlace,
}

/// Reads the fields of one object.
///
/// Every method notes what is wrong and gives `None` then, so that reading goes on and all errors
/// of a file are found at once.
pub(crate) struct FieldReader<'a, 'p> {
    file: usize,
    object: &'a Object<'a>,
    path: FieldPath<'p>,
}

impl<'a> FieldReader<'a, '_> {
    /// Where the object begins.
    pub(crate) fn place(&self) -> TextPlace {
        TextPlace { file: self.file, offset: self.object.start() }
    }

    /// The path of the object.
    pub(crate) fn path(&self) -> &FieldPath<'_> {
        &self.path
    }

    /// Notes every field that is not `allowed` and every one that stands twice.
    pub(crate) fn check_names(&self, allowed: &[&str], errors: &mut ErrorList<'_>) {
        // One bit for each allowed name: an object may have very many fields.
        let mut seen = 0u32;
        for prop in &self.object.properties {
            let name = prop.name.as_str();
            let path = FieldPath::Field(&self.path, name);
            let place = TextPlace { file: self.file, offset: prop.range.start };
            let Some(index) = allowed.iter().position(|other| *other == name) else {
                let allowed = SmolStr::from(allowed.join(", "));
                errors.add(place, path, DeclarationErrorKind::UnknownField { allowed });
                continue;
            };
            if seen & (1 << index) != 0 {
                errors.add(place, path, DeclarationErrorKind::RepeatedField);
            }
            seen |= 1 << index;
        }
    }

    /// Whether the field stands there.
    pub(crate) fn has(&self, name: &str) -> bool {
        self.prop(name).is_some()
    }

    /// The place of the field's value, or of the object where the field is missing.
    pub(crate) fn place_of(&self, name: &str) -> TextPlace {
        self.prop(name).map_or(self.place(), |prop| self.at(&prop.value))
    }

    /// Notes that a field is missing.
    pub(crate) fn note_missing(&self, name: &str, expected: &str, errors: &mut ErrorList<'_>) {
        let kind = DeclarationErrorKind::MissingField {
            name: SmolStr::new(name),
            expected: SmolStr::new(expected),
        };
        errors.add(self.place(), self.path, kind);
    }

    /// A text that `T` accepts.
    pub(crate) fn name<T: FromStr<Err = IdError>>(
        &self,
        name: &str,
        errors: &mut ErrorList<'_>,
    ) -> Option<Placed<T>> {
        let text = self.text(name, errors)?;
        let path = FieldPath::Field(&self.path, name);
        parse_name(text, path, errors)
    }

    /// A text.
    pub(crate) fn text(&self, name: &str, errors: &mut ErrorList<'_>) -> Option<Placed<&'a str>> {
        let prop = self.prop(name)?;
        let path = FieldPath::Field(&self.path, name);
        self.text_value(&prop.value, path, errors)
    }

    /// A whole number from `least` to `most`.
    pub(crate) fn number(
        &self,
        name: &str,
        least: u64,
        most: u64,
        errors: &mut ErrorList<'_>,
    ) -> Option<u64> {
        let prop = self.prop(name)?;
        let path = FieldPath::Field(&self.path, name);
        let place = self.at(&prop.value);
        let Value::NumberLit(number) = &prop.value else {
            let expected = format_smolstr!("a whole number from {least} to {most}");
            note_type(&prop.value, place, path, expected, errors);
            return None;
        };
        match number.value.parse::<u64>() {
            Ok(value) if (least..=most).contains(&value) => Some(value),
            _ => {
                let value = shown_text(number.value);
                let kind = DeclarationErrorKind::OutOfRange { value, least, most };
                errors.add(place, path, kind);
                None
            }
        }
    }

    /// `true` or `false`.
    pub(crate) fn flag(&self, name: &str, errors: &mut ErrorList<'_>) -> Option<bool> {
        let prop = self.prop(name)?;
        let Value::BooleanLit(flag) = &prop.value else {
            let path = FieldPath::Field(&self.path, name);
            let expected = SmolStr::new_static("true or false");
            note_type(&prop.value, self.at(&prop.value), path, expected, errors);
            return None;
        };
        Some(flag.value)
    }

    /// An IP number and port.
    pub(crate) fn address(
        &self,
        name: &str,
        errors: &mut ErrorList<'_>,
    ) -> Option<Placed<SocketAddr>> {
        let text = self.text(name, errors)?;
        let path = FieldPath::Field(&self.path, name);
        parse_address(text, path, errors)
    }

    /// The objects of a list.
    pub(crate) fn each_object(
        &self,
        name: &str,
        errors: &mut ErrorList<'_>,
        mut read: impl FnMut(usize, &FieldReader<'_, '_>, &mut ErrorList<'_>),
    ) {
        let list = FieldPath::Field(&self.path, name);
        for (index, value) in self.elements(name, "a list of objects", errors).iter().enumerate() {
            let path = FieldPath::Element(&list, index);
            let Value::Object(object) = value else {
                let expected = SmolStr::new_static("an object in braces");
                note_type(value, self.at(value), path, expected, errors);
                continue;
            };
            read(index, &FieldReader { file: self.file, object, path }, errors);
        }
    }

    /// The texts of a list, each with its path.
    pub(crate) fn each_text(
        &self,
        name: &str,
        errors: &mut ErrorList<'_>,
        mut read: impl FnMut(Placed<&str>, FieldPath<'_>, &mut ErrorList<'_>),
    ) {
        let list = FieldPath::Field(&self.path, name);
        for (index, value) in self.elements(name, "a list of texts", errors).iter().enumerate() {
            let path = FieldPath::Element(&list, index);
            if let Some(text) = self.text_value(value, path, errors) {
                read(text, path, errors);
            }
        }
    }

    /// The object under a field.
    pub(crate) fn object<R>(
        &self,
        name: &str,
        errors: &mut ErrorList<'_>,
        read: impl FnOnce(&FieldReader<'_, '_>, &mut ErrorList<'_>) -> R,
    ) -> Option<R> {
        let prop = self.prop(name)?;
        let path = FieldPath::Field(&self.path, name);
        let Value::Object(object) = &prop.value else {
            let expected = SmolStr::new_static("an object in braces");
            note_type(&prop.value, self.at(&prop.value), path, expected, errors);
            return None;
        };
        Some(read(&FieldReader { file: self.file, object, path }, errors))
    }

    fn elements(
        &self,
        name: &str,
        expected: &'static str,
        errors: &mut ErrorList<'_>,
    ) -> &'a [Value<'a>] {
        let Some(prop) = self.prop(name) else { return &[] };
        let Value::Array(list) = &prop.value else {
            let path = FieldPath::Field(&self.path, name);
            let expected = SmolStr::new_static(expected);
            note_type(&prop.value, self.at(&prop.value), path, expected, errors);
            return &[];
        };
        &list.elements
    }

    fn text_value(
        &self,
        value: &'a Value<'a>,
        path: FieldPath<'_>,
        errors: &mut ErrorList<'_>,
    ) -> Option<Placed<&'a str>> {
        let place = self.at(value);
        let Value::StringLit(text) = value else {
            note_type(value, place, path, SmolStr::new_static("a text in quotes"), errors);
            return None;
        };
        Some(Placed { value: text.value.as_ref(), place })
    }

    fn prop(&self, name: &str) -> Option<&'a ObjectProp<'a>> {
        self.object.properties.iter().find(|prop| prop.name.as_str() == name)
    }

    fn at(&self, value: &Value<'_>) -> TextPlace {
        TextPlace { file: self.file, offset: value.start() }
    }
}

/// The text as a `T`.
pub(crate) fn parse_name<T: FromStr<Err = IdError>>(
    text: Placed<&str>,
    path: FieldPath<'_>,
    errors: &mut ErrorList<'_>,
) -> Option<Placed<T>> {
    match text.value.parse() {
        Ok(value) => Some(Placed { value, place: text.place }),
        Err(error) => {
            errors.add(text.place, path, DeclarationErrorKind::BadName(error));
            None
        }
    }
}

/// The text as an address.
pub(crate) fn parse_address(
    text: Placed<&str>,
    path: FieldPath<'_>,
    errors: &mut ErrorList<'_>,
) -> Option<Placed<SocketAddr>> {
    match text.value.parse() {
        Ok(value) => Some(Placed { value, place: text.place }),
        Err(_) => {
            let kind = DeclarationErrorKind::BadAddress {
                text: shown_text(text.value),
                expected: "IP:PORT with an IP number, such as 10.0.0.7:8400",
            };
            errors.add(text.place, path, kind);
            None
        }
    }
}

/// A text from a file as an error shows it: cut where it is long.
pub(crate) fn shown_text(text: &str) -> SmolStr {
    if text.chars().count() <= SHOWN_TEXT_LIMIT {
        return SmolStr::new(text);
    }
    text.chars().take(SHOWN_TEXT_LIMIT).chain("...".chars()).collect()
}

fn note_type(
    value: &Value<'_>,
    place: TextPlace,
    path: FieldPath<'_>,
    expected: SmolStr,
    errors: &mut ErrorList<'_>,
) {
    let found = value_name(value);
    errors.add(place, path, DeclarationErrorKind::WrongType { expected, found });
}

fn value_name(value: &Value<'_>) -> &'static str {
    match value {
        Value::StringLit(_) => "a text",
        Value::NumberLit(_) => "a number",
        Value::BooleanLit(_) => "a truth value",
        Value::Object(_) => "an object",
        Value::Array(_) => "a list",
        Value::NullKeyword(_) => "null",
    }
}
