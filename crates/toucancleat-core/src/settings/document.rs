//! Documents of JSON with comments, read with the place of every problem.

use std::collections::HashSet;

use jsonc_parser::ast::{self, ObjectPropName};
use jsonc_parser::common::Ranged;
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};
use serde::de::DeserializeOwned;
use serde_json::Value;
use serde_path_to_error::Segment;

use super::edit::{join_pointer, pointer_segments};
use super::problem::{Position, Problem, Problems};

/// Comments and trailing commas are all that goes beyond JSON.
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

/// Marks serde's message for a field that the type doesn't have.
const UNKNOWN_FIELD: &str = "unknown field";

/// A parsed text that still knows where everything stands.
#[derive(Debug)]
pub struct Document<'t> {
    text: &'t str,
    root: ast::Value<'t>,
}

impl<'t> Document<'t> {
    /// Parses a text; fails on its first error of syntax or on names given twice.
    pub fn parse(text: &'t str) -> Result<Self, Problems> {
        let parsed = parse_to_ast(text, &CollectOptions::default(), &OPTIONS);
        let root = match parsed {
            Ok(parsed) => parsed.value,
            Err(error) => {
                let position = Position::of_offset(text, error.range().start);
                let problem = Problem::new("", error.kind().to_string()).at(position);
                return Err(single(problem));
            }
        };
        let Some(root) = root else {
            let start = Position { line: 1, column: 1 };
            return Err(single(
                Problem::new("", "expected an object, found nothing").at(start),
            ));
        };
        let document = Document { text, root };
        let mut problems = Vec::new();
        document.find_repeated_names("", &document.root, &mut problems);
        Problems::of(problems)?;
        Ok(document)
    }

    /// Reads the document as a type and collects all that doesn't fit.
    ///
    /// Serde stops at its first error, so the part at fault is left out and the rest
    /// is read again until nothing new is found.
    pub fn read<T: DeserializeOwned>(&self) -> Result<T, Problems> {
        let mut json = Value::from(self.root.clone());
        let mut problems: Vec<Problem> = Vec::new();
        let mut left_out: Vec<String> = Vec::new();
        loop {
            let error = match serde_path_to_error::deserialize(&json) {
                Ok(value) => return Problems::of(problems).map(|()| value),
                Err(error) => error,
            };
            let path = pointer_of(error.path(), &json);
            let inside = format!("{path}/");
            // A part with something left out fails again for want of it.
            if !left_out.iter().any(|part| part.starts_with(&inside)) {
                problems
                    .push(self.place(Problem::new(&path, message(error.inner(), &path))));
            }
            if !remove(&mut json, &path) {
                return Err(Problems::of(problems).expect_err("the fault was noted"));
            }
            left_out.push(path);
        }
    }

    /// Adds the places in the text to problems found in what was read from it.
    pub fn place_all(&self, problems: Vec<Problem>) -> Result<(), Problems> {
        Problems::of(
            problems
                .into_iter()
                .map(|problem| self.place(problem))
                .collect(),
        )
    }

    fn place(&self, problem: Problem) -> Problem {
        let at_name = problem.message().starts_with(UNKNOWN_FIELD);
        let offset = self.locate(problem.path(), at_name);
        problem.at(Position::of_offset(self.text, offset))
    }

    /// Returns the offset of what is at a path, or of the nearest part around it.
    fn locate(&self, path: &str, at_name: bool) -> usize {
        let mut value = &self.root;
        let mut offset = value.start();
        for segment in pointer_segments(path).unwrap_or_default() {
            let Some((name_offset, child)) = child(value, &segment) else {
                break;
            };
            value = child;
            offset = if at_name { name_offset } else { child.start() };
        }
        offset
    }

    fn find_repeated_names(
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
                        found.push(Problem::new(&path, "given twice").at(position));
                    }
                    self.find_repeated_names(&path, &property.value, found);
                }
            }
            ast::Value::Array(array) => {
                for (index, element) in array.elements.iter().enumerate() {
                    let path = join_pointer(path, &index.to_string());
                    self.find_repeated_names(&path, element, found);
                }
            }
            _ => {}
        }
    }
}

/// Reads a text as a type; every problem carries its line and column.
pub fn read<T: DeserializeOwned>(text: &str) -> Result<T, Problems> {
    Document::parse(text)?.read()
}

fn single(problem: Problem) -> Problems {
    let one = Problems::of(vec![problem]);
    one.expect_err("one problem is a problem")
}

fn child<'v, 't>(
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

/// Turns serde's path into a pointer to a part that exists.
fn pointer_of(path: &serde_path_to_error::Path, json: &Value) -> String {
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

/// Leaves a part out; false for the root. A list goes as a whole, so that the places of
/// its other elements stay right.
fn remove(json: &mut Value, path: &str) -> bool {
    let Some((parent, _)) = path.rsplit_once('/') else {
        return false;
    };
    let name = pointer_segments(path).and_then(|mut segments| segments.pop());
    match (json.pointer_mut(parent), name) {
        (Some(Value::Object(object)), Some(name)) => object.remove(&name).is_some(),
        _ => remove(json, parent),
    }
}

/// Returns serde's message, with the likely name in place of all names.
fn message(error: &serde_json::Error, path: &str) -> String {
    let message = error.to_string();
    let name = path.rsplit('/').next().unwrap_or_default();
    if !message.starts_with(UNKNOWN_FIELD) {
        return message;
    }
    let known = message.split('`').skip(3).step_by(2);
    match known.into_iter().find(|known| stem(known) == stem(name)) {
        Some(known) => format!("{UNKNOWN_FIELD} `{name}`, expected `{known}`"),
        None => message,
    }
}

/// Returns a field's name without its unit.
fn stem(name: &str) -> &str {
    name.rsplit_once('_').map_or(name, |(stem, _)| stem)
}
