//! Parsing of JSON documents with comments, with the position of every problem.

use std::collections::HashSet;

use jsonc_parser::ast::{self, ObjectPropName};
use jsonc_parser::common::Ranged;
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};
use serde::de::DeserializeOwned;
use serde_json::Value;
use serde_path_to_error::Segment;

use super::edit::{join_pointer, pointer_segments};
use super::problem::{Position, Problem, Problems};

/// Comments and trailing commas are the only extensions of JSON that are accepted.
const OPTIONS: ParseOptions = ParseOptions {
    allow_comments: true,
    allow_loose_object_property_names: false,
    allow_trailing_commas: true,
    allow_missing_commas: false,
    allow_single_quoted_strings: false,
    allow_hexadecimal_numbers: false,
    allow_unary_plus_numbers: false,
    allow_bare_decimal_point_numbers: false,
    allow_non_finite_numbers: false,
    allow_extended_string_escapes: false,
};

/// Start of serde's message for a field that the type doesn't have.
const UNKNOWN_FIELD: &str = "unknown field";

/// A parsed text that keeps the position of each of its parts.
#[derive(Debug)]
pub struct Document<'t> {
    text: &'t str,
    root: ast::Value<'t>,
}

impl<'t> Document<'t> {
    /// Parses a text.
    ///
    /// # Errors
    ///
    /// Returns the first syntax error or, in a text without any, all duplicate names.
    pub fn parse(text: &'t str) -> Result<Self, Problems> {
        let parsed = parse_to_ast(text, &CollectOptions::default(), &OPTIONS);
        let root = match parsed {
            Ok(parsed) => parsed.value,
            Err(error) => {
                let position = Position::of_offset(text, error.range().start);
                let problem =
                    Problem::new("", error.kind().to_string()).with_position(position);
                return Err(single_problem(problem));
            }
        };
        let Some(root) = root else {
            let start = Position { line: 1, column: 1 };
            return Err(single_problem(
                Problem::new("", "expected an object, found nothing")
                    .with_position(start),
            ));
        };
        let document = Document { text, root };
        let mut problems = Vec::new();
        document.find_duplicate_names("", &document.root, &mut problems);
        Problems::into_result(problems)?;
        Ok(document)
    }

    /// Deserializes the document and collects all errors.
    ///
    /// Serde stops at its first error, so the invalid part is removed and the rest is
    /// deserialized again until no further error is found.
    pub fn read<T: DeserializeOwned>(&self) -> Result<T, Problems> {
        let mut json = Value::from(self.root.clone());
        let mut problems: Vec<Problem> = Vec::new();
        let mut removed: Vec<String> = Vec::new();
        loop {
            let error = match serde_path_to_error::deserialize(&json) {
                Ok(value) => return Problems::into_result(problems).map(|()| value),
                Err(error) => error,
            };
            let path = existing_pointer(error.path(), &json);
            let inside = format!("{path}/");
            // After an invalid field was removed, the part around it fails because that
            // field is missing, which isn't a problem of its own.
            if !removed.iter().any(|part| part.starts_with(&inside)) {
                problems.push(self.locate_problem(Problem::new(
                    &path,
                    describe_error(error.inner(), &path),
                )));
            }
            if !remove_part(&mut json, &path) {
                return Err(Problems::into_result(problems)
                    .expect_err("the problem was recorded"));
            }
            removed.push(path);
        }
    }

    /// Adds positions in the text to problems that were found in the deserialized value;
    /// `Ok` when there is none.
    pub fn locate_problems(&self, problems: Vec<Problem>) -> Result<(), Problems> {
        Problems::into_result(
            problems
                .into_iter()
                .map(|problem| self.locate_problem(problem))
                .collect(),
        )
    }

    fn locate_problem(&self, problem: Problem) -> Problem {
        let at_name = problem.message().starts_with(UNKNOWN_FIELD);
        let offset = self.offset_of(problem.path(), at_name);
        problem.with_position(Position::of_offset(self.text, offset))
    }

    /// Returns the byte offset of the value at a path, or of the innermost part that
    /// exists around it; `at_name` selects the offset of the property's name.
    fn offset_of(&self, path: &str, at_name: bool) -> usize {
        let mut value = &self.root;
        let mut offset = value.start();
        for segment in pointer_segments(path).unwrap_or_default() {
            let Some((name_offset, child)) = child_of(value, &segment) else {
                break;
            };
            value = child;
            offset = if at_name { name_offset } else { child.start() };
        }
        offset
    }

    fn find_duplicate_names(
        &self,
        path: &str,
        value: &ast::Value<'_>,
        found: &mut Vec<Problem>,
    ) {
        match value {
            ast::Value::Object(object) => {
                let mut names = HashSet::new();
                for property in &object.properties {
                    let name = property_name(&property.name);
                    let path = join_pointer(path, name);
                    if !names.insert(name) {
                        let position =
                            Position::of_offset(self.text, property.range.start);
                        found.push(
                            Problem::new(
                                &path,
                                format!("expected each name once, found `{name}` again"),
                            )
                            .with_position(position),
                        );
                    }
                    self.find_duplicate_names(&path, &property.value, found);
                }
            }
            ast::Value::Array(array) => {
                for (index, element) in array.elements.iter().enumerate() {
                    let path = join_pointer(path, &index.to_string());
                    self.find_duplicate_names(&path, element, found);
                }
            }
            _ => {}
        }
    }
}

/// Parses and deserializes a text; every problem carries its line and column.
pub fn read<T: DeserializeOwned>(text: &str) -> Result<T, Problems> {
    Document::parse(text)?.read()
}

fn single_problem(problem: Problem) -> Problems {
    let result = Problems::into_result(vec![problem]);
    result.expect_err("the list of problems is not empty")
}

fn child_of<'v, 't>(
    value: &'v ast::Value<'t>,
    name: &str,
) -> Option<(usize, &'v ast::Value<'t>)> {
    match value {
        ast::Value::Object(object) => {
            let mut properties = object.properties.iter();
            let found =
                properties.find(|property| property_name(&property.name) == name)?;
            Some((found.range.start, &found.value))
        }
        ast::Value::Array(array) => {
            let element = array.elements.get(name.parse::<usize>().ok()?)?;
            Some((element.start(), element))
        }
        _ => None,
    }
}

fn property_name<'n>(name: &'n ObjectPropName<'_>) -> &'n str {
    match name {
        ObjectPropName::String(literal) => &literal.value,
        ObjectPropName::Word(word) => word.value,
    }
}

/// Converts serde's path into a JSON pointer to the innermost part on it that exists.
fn existing_pointer(path: &serde_path_to_error::Path, json: &Value) -> String {
    let mut pointer = String::new();
    for segment in path {
        let next = match segment {
            Segment::Map { key } => join_pointer(&pointer, key),
            Segment::Seq { index } => join_pointer(&pointer, &index.to_string()),
            Segment::Enum { .. } | Segment::Unknown => continue,
        };
        if json.pointer(&next).is_none() {
            break;
        }
        pointer = next;
    }
    pointer
}

/// Removes a part; returns false for the root. For an element, the whole list is
/// removed, so that the paths of its other elements stay valid.
fn remove_part(json: &mut Value, path: &str) -> bool {
    let Some((parent, _)) = path.rsplit_once('/') else {
        return false;
    };
    let name = pointer_segments(path).and_then(|mut segments| segments.pop());
    match (json.pointer_mut(parent), name) {
        (Some(Value::Object(object)), Some(name)) => object.remove(&name).is_some(),
        _ => remove_part(json, parent),
    }
}

/// Returns serde's message. For an unknown field that differs from a known one only in
/// its unit, it names that one instead of all known names.
fn describe_error(error: &serde_json::Error, path: &str) -> String {
    let message = error.to_string();
    let name = path.rsplit('/').next().unwrap_or_default();
    if !message.starts_with(UNKNOWN_FIELD) {
        return message;
    }
    let known = message.split('`').skip(3).step_by(2);
    match known
        .into_iter()
        .find(|known| without_unit(known) == without_unit(name))
    {
        Some(known) => format!("{UNKNOWN_FIELD} `{name}`, expected `{known}`"),
        None => message,
    }
}

/// Returns a field's name without its last part, the unit.
fn without_unit(name: &str) -> &str {
    name.rsplit_once('_').map_or(name, |(rest, _)| rest)
}
