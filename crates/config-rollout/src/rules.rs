//! The rules that versions set, and which of two values of a rule is the stricter: one table for rules of the whole
//! fleet and one for rules of each content type.
//!
//! [`RuleSet::from_settings`] reads the rules from the platform's settings, [`RuleSet::parse`] changes them as a
//! document says, and [`RuleSet::apply`] writes them into settings. Durations are in seconds and shares are fractions.
//!
//! A dispatcher contradicts a set of rules if it does what one of the fields forbids; being stricter contradicts
//! nothing. Settings whose violation by one dispatcher is not visible from outside are no rules (docs/agreement.md
//! lists them): locations of clients and nodes, memory, descriptors, connections, seeds, log levels, latency targets,
//! benefits.

use copperroute_routing::interface::{Nanos, Readiness, RetrySafety, Settings};
use serde_json::{Map, Value, json};
use std::fmt;

/// Whether the lower or the higher of two values allows less.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StricterValue {
    Lower,
    Higher,
}

/// A rule of the whole fleet.
struct FleetRule {
    name: &'static str,
    stricter: StricterValue,
    get: fn(&Settings) -> f64,
    set: fn(&mut Settings, f64),
    form: ValueForm,
}

/// How a value is written in JSON. In memory every value is an `f64`; a flag is 0 or 1, a repeat is an index into
/// [`REPEAT_NAMES`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ValueForm {
    Whole,
    Number,
    Flag,
    Repeat,
}

macro_rules! rows {
    ($($name:literal $stricter:ident $form:ident $field:ident$(.$inner:ident)? $kind:ident;)*) => {
        [$(FleetRule {
            name: $name,
            stricter: StricterValue::$stricter,
            get: |s| rows!(@get $kind, s.$field$(.$inner)?),
            set: |s, value| s.$field$(.$inner)? = rows!(@set $kind, value),
            form: ValueForm::$form,
        }),*]
    };
    (@get span, $value:expr) => { $value.secs() };
    (@get number, $value:expr) => { $value };
    (@get count, $value:expr) => { f64::from($value) };
    (@get flag, $value:expr) => { f64::from(u8::from($value)) };
    (@set span, $value:expr) => { Nanos::from_secs($value) };
    (@set number, $value:expr) => { $value };
    (@set count, $value:expr) => { $value as u32 };
    (@set flag, $value:expr) => { $value > 0.5 };
}

/// The rules of the whole fleet: name, which value is the stricter, the form, the field of [`Settings`], and the
/// conversion to `f64`.
const FLEET_RULES: [FleetRule; 11] = rows! {
    "max_pulls" Lower Whole max_attempts count;
    "cold_share" Lower Number cache_cold.share number;
    "cold_s" Higher Number cache_cold.warm_after span;
    "cold_falls_at" Lower Number cache_cold.overload_multiple number;
    "parent_cold_share" Lower Number parent_cold.share number;
    "parent_cold_s" Higher Number parent_cold.warm_after span;
    "parent_falls_at" Lower Number parent_cold.overload_multiple number;
    "past_caches" Lower Flag direct_to_parents flag;
    "from_other_locations" Lower Flag fill_from_other_locations flag;
    "purge_done_s" Higher Number purge_done span;
    "purge_notice_s" Higher Number purge_notice span;
};

/// The rules of a content type: name and form. For each of them the lower value is the stricter.
const CONTENT_TYPE_RULES: [(&str, ValueForm); 3] =
    [("repeat", ValueForm::Repeat), ("expiry_s", ValueForm::Number), ("fresh_for_s", ValueForm::Number)];
// Indices into `CONTENT_TYPE_RULES`.
const REPEAT: usize = 0;
const EXPIRY: usize = 1;
const FRESH: usize = 2;

/// Whether a request may be repeated, from the strictest value on.
const REPEAT_NAMES: [&str; 3] = ["non-retriable", "deduped", "retriable"];

/// A field of the rules.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Field {
    /// A rule of the whole fleet: its index in the table.
    Fleet(usize),
    /// A rule of a content type: the index of the type, and the index of the rule in the table.
    ContentType(usize, usize),
}

impl Field {
    /// The field's path as documents write it; `types` holds the names of the content types.
    pub fn path(self, types: &[String]) -> String {
        match self {
            Field::Fleet(at) => FLEET_RULES[at].name.to_string(),
            Field::ContentType(of, at) => {
                format!("types.{}.{}", types.get(of).map_or("?", String::as_str), CONTENT_TYPE_RULES[at].0)
            }
        }
    }

    fn stricter(self) -> StricterValue {
        match self {
            Field::Fleet(at) => FLEET_RULES[at].stricter,
            Field::ContentType(..) => StricterValue::Lower,
        }
    }

    fn form(self) -> ValueForm {
        match self {
            Field::Fleet(at) => FLEET_RULES[at].form,
            Field::ContentType(_, at) => CONTENT_TYPE_RULES[at].1,
        }
    }
}

/// A value for every field; none is NaN.
#[derive(Debug, Clone, PartialEq)]
pub struct RuleSet {
    fleet: [f64; FLEET_RULES.len()],
    types: Vec<[f64; CONTENT_TYPE_RULES.len()]>,
}

impl Eq for RuleSet {}

impl std::hash::Hash for RuleSet {
    fn hash<H: std::hash::Hasher>(&self, state: &mut H) {
        self.fleet.iter().chain(self.types.iter().flatten()).for_each(|value| value.to_bits().hash(state));
    }
}

impl RuleSet {
    /// The rules of the platform's settings; `expiries` holds the request expiry of each content type.
    pub fn from_settings(s: &Settings, expiries: &[Nanos]) -> RuleSet {
        let rules_of = |(content_type, expiry): (&copperroute_routing::interface::ContentType, &Nanos)| {
            let repeat = match content_type.retry_safety {
                RetrySafety::NonRetriable => 0.0,
                RetrySafety::Deduped { .. } => 1.0,
                RetrySafety::Retriable => 2.0,
            };
            [repeat, expiry.secs(), content_type.fresh_for.map_or(f64::INFINITY, Nanos::secs)]
        };
        RuleSet {
            fleet: std::array::from_fn(|at| (FLEET_RULES[at].get)(s)),
            types: s.content_types.iter().zip(expiries).map(rules_of).collect(),
        }
    }

    /// The settings and expiries with these rules applied. The rules must be no looser than those of `base`.
    pub fn apply(&self, base: &Settings, expiries: &[Nanos]) -> (Settings, Vec<Nanos>) {
        let (mut s, mut expiries) = (base.clone(), expiries.to_vec());
        FLEET_RULES.iter().zip(self.fleet).for_each(|(row, value)| (row.set)(&mut s, value));
        for ((content_type, expiry), rules) in s.content_types.iter_mut().zip(&mut expiries).zip(&self.types)
        {
            if rules[REPEAT] == 0.0 {
                content_type.retry_safety = RetrySafety::NonRetriable;
            }
            *expiry = Nanos::from_secs(rules[EXPIRY]).min(*expiry);
            content_type.fresh_for = rules[FRESH].is_finite().then(|| Nanos::from_secs(rules[FRESH]));
        }
        (s, expiries)
    }

    /// All fields, in the order of the tables.
    pub fn fields(&self) -> impl Iterator<Item = Field> + use<> {
        let types = self.types.len();
        let of_types =
            (0..types).flat_map(|of| (0..CONTENT_TYPE_RULES.len()).map(move |at| Field::ContentType(of, at)));
        (0..FLEET_RULES.len()).map(Field::Fleet).chain(of_types)
    }

    /// The value of a field.
    pub fn get(&self, field: Field) -> f64 {
        match field {
            Field::Fleet(at) => self.fleet[at],
            Field::ContentType(of, at) => self.types[of][at],
        }
    }

    fn set(&mut self, field: Field, value: f64) {
        match field {
            Field::Fleet(at) => self.fleet[at] = value,
            Field::ContentType(of, at) => self.types[of][at] = value,
        }
    }

    /// Whether one value of a field allows more than another.
    pub fn is_looser(field: Field, value: f64, than: f64) -> bool {
        match field.stricter() {
            StricterValue::Lower => value > than,
            StricterValue::Higher => value < than,
        }
    }

    /// The first field in which these rules allow what `other` forbids.
    pub fn first_looser_field(&self, other: &RuleSet) -> Option<Field> {
        self.fields().find(|field| Self::is_looser(*field, self.get(*field), other.get(*field)))
    }

    /// The first field in which the two sets differ, so that one of them forbids what the other allows.
    pub fn first_difference(&self, other: &RuleSet) -> Option<Field> {
        self.fields().find(|field| self.get(*field) != other.get(*field))
    }

    /// The stricter value of both sets in each field.
    pub fn stricter(&self, other: &RuleSet) -> RuleSet {
        let mut both = self.clone();
        for field in self.fields() {
            if Self::is_looser(field, both.get(field), other.get(field)) {
                both.set(field, other.get(field));
            }
        }
        both
    }

    /// Reads the fields that a document names; the other fields keep the value of `base`. `types` holds the names of
    /// the content types, `path` the document's own path, with which errors begin.
    pub fn parse(
        base: &RuleSet,
        types: &[String],
        path: &str,
        document: &Map<String, Value>,
    ) -> Result<RuleSet, String> {
        let mut rules = base.clone();
        for (name, value) in document {
            if name == "types" {
                let by_type = value.as_object().ok_or_else(|| format!("{path}.types: expected an object"))?;
                for (content_type, fields) in by_type {
                    let path = format!("{path}.types.{content_type}");
                    let at = types.iter().position(|known| known == content_type);
                    let at = at.ok_or_else(|| {
                        format!("{path}: unknown content type; expected one of {}", types.join(", "))
                    })?;
                    let fields = fields.as_object().ok_or_else(|| format!("{path}: expected an object"))?;
                    for (name, value) in fields {
                        let known = CONTENT_TYPE_RULES.iter().position(|row| row.0 == name);
                        let field = known.map(|row| Field::ContentType(at, row));
                        rules.parse_field(
                            field,
                            &format!("{path}.{name}"),
                            CONTENT_TYPE_RULES.map(|row| row.0).join(", "),
                            value,
                        )?;
                    }
                }
                continue;
            }
            let known = FLEET_RULES.iter().position(|row| row.name == name).map(Field::Fleet);
            let names = FLEET_RULES.each_ref().map(|row| row.name).join(", ");
            rules.parse_field(known, &format!("{path}.{name}"), format!("{names}, types"), value)?;
        }
        Ok(rules)
    }

    fn parse_field(
        &mut self,
        field: Option<Field>,
        path: &str,
        known: String,
        value: &Value,
    ) -> Result<(), String> {
        let field = field.ok_or_else(|| format!("{path}: unknown rule; expected one of {known}"))?;
        let number = value.as_f64().filter(|number| *number >= 0.0);
        let read = match field.form() {
            ValueForm::Whole => number.filter(|number| number.fract() == 0.0 && *number >= 1.0),
            ValueForm::Number => number,
            ValueForm::Flag => value.as_bool().map(|flag| f64::from(u8::from(flag))),
            ValueForm::Repeat => value
                .as_str()
                .and_then(|name| REPEAT_NAMES.iter().position(|known| *known == name))
                .map(|at| at as f64),
        };
        let expected = match field.form() {
            ValueForm::Whole => "a whole number, 1 or more",
            ValueForm::Number => "a number, 0 or more",
            ValueForm::Flag => "true or false",
            ValueForm::Repeat => "non-retriable, deduped or retriable",
        };
        let read = read.ok_or_else(|| format!("{path}: {value}; expected {expected}"))?;
        // Only the platform knows whether a type's requests may be repeated; a version may only forbid it.
        if field.form() == ValueForm::Repeat && read != 0.0 && read != self.get(field) {
            let is = REPEAT_NAMES[self.get(field) as usize];
            return Err(format!("{path}: {value}; the platform says {is}, expected that or non-retriable"));
        }
        self.set(field, read);
        Ok(())
    }

    /// A field's value as documents write it.
    pub fn to_json(field: Field, value: f64) -> Value {
        match field.form() {
            ValueForm::Whole => json!(value as u64),
            ValueForm::Number if value.is_infinite() => Value::Null,
            ValueForm::Number => json!(value),
            ValueForm::Flag => json!(value > 0.5),
            ValueForm::Repeat => json!(REPEAT_NAMES[(value as usize).min(2)]),
        }
    }
}

/// A field in which two sets of rules differ.
#[derive(Debug, Clone, PartialEq)]
pub struct Difference {
    /// The field.
    pub field: Field,
    /// Its path.
    pub path: String,
    /// The values in the first and in the second set.
    pub values: [f64; 2],
    /// Whether the second set allows less.
    pub stricter: bool,
}

impl fmt::Display for Difference {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        let [a, b] = self.values.map(|value| RuleSet::to_json(self.field, value));
        write!(to, "{}: {a} to {b}, {}", self.path, if self.stricter { "stricter" } else { "looser" })
    }
}

/// All fields in which two sets of rules differ.
pub fn differences(from: &RuleSet, to: &RuleSet, types: &[String]) -> Vec<Difference> {
    let differ = from.fields().filter(|field| from.get(*field) != to.get(*field));
    let difference = |field: Field| Difference {
        field,
        path: field.path(types),
        values: [from.get(field), to.get(field)],
        stricter: RuleSet::is_looser(field, from.get(field), to.get(field)),
    };
    differ.map(difference).collect()
}

/// The state that allows less: a node that is gone gets no requests, one that drains gets no new ones.
pub fn stricter_state(a: Readiness, b: Readiness) -> Readiness {
    let strictness = |state: Readiness| match state {
        Readiness::Ready => 0,
        Readiness::Draining => 1,
        Readiness::Gone => 2,
    };
    if strictness(b) > strictness(a) { b } else { a }
}
