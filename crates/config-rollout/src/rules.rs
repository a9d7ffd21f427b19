//! What a rule is, and which of two values is the stricter: one table for the fleet, one by content type.
//!
//! A dispatcher contradicts a set of rules if it does what one of its fields forbids. Being stricter contradicts
//! nothing. Settings that no stand-in could see another dispatcher break are no rules (docs/agreement.md lists them):
//! where clients and nodes are, memory, descriptors, connections, seeds, log levels, target times, benefits.

use copperroute_routing::interface::{Nanos, Readiness, RetrySafety, Settings};
use serde_json::{Map, Value, json};
use std::fmt;

/// Which of two values allows less.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stricter {
    Lower,
    Higher,
}

/// A rule of the fleet.
struct Row {
    name: &'static str,
    stricter: Stricter,
    get: fn(&Settings) -> f64,
    set: fn(&mut Settings, f64),
    form: Form,
}

/// How a value is written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Form {
    Whole,
    Number,
    Flag,
    Repeat,
}

macro_rules! rows {
    ($($name:literal $stricter:ident $form:ident $field:ident$(.$inner:ident)? $kind:ident;)*) => {
        [$(Row {
            name: $name,
            stricter: Stricter::$stricter,
            get: |s| rows!(@get $kind, s.$field$(.$inner)?),
            set: |s, value| s.$field$(.$inner)? = rows!(@set $kind, value),
            form: Form::$form,
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

/// The rules of the fleet: name, which value is the stricter, its form, and where it is kept.
const FLEET: [Row; 11] = rows! {
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

/// The rules of a content type: name and form. The lower value is the stricter of each.
const BY_TYPE: [(&str, Form); 3] =
    [("repeat", Form::Repeat), ("expiry_s", Form::Number), ("fresh_for_s", Form::Number)];
const REPEAT: usize = 0;
const EXPIRY: usize = 1;
const FRESH: usize = 2;

/// Repeats, from the strictest.
const REPEATS: [&str; 3] = ["non-retriable", "deduped", "retriable"];

/// A field of the rules.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Field {
    /// Of the fleet, by its place in the table.
    Fleet(usize),
    /// Of a content type.
    Of(usize, usize),
}

impl Field {
    /// Its path, with the names of the content types.
    pub fn path(self, types: &[String]) -> String {
        match self {
            Field::Fleet(at) => FLEET[at].name.to_string(),
            Field::Of(of, at) => {
                format!("types.{}.{}", types.get(of).map_or("?", String::as_str), BY_TYPE[at].0)
            }
        }
    }

    fn stricter(self) -> Stricter {
        match self {
            Field::Fleet(at) => FLEET[at].stricter,
            Field::Of(..) => Stricter::Lower,
        }
    }

    fn form(self) -> Form {
        match self {
            Field::Fleet(at) => FLEET[at].form,
            Field::Of(_, at) => BY_TYPE[at].1,
        }
    }
}

/// A value of every field; none is NaN.
#[derive(Debug, Clone, PartialEq)]
pub struct RuleSet {
    fleet: [f64; FLEET.len()],
    types: Vec<[f64; BY_TYPE.len()]>,
}

impl Eq for RuleSet {}

impl std::hash::Hash for RuleSet {
    fn hash<H: std::hash::Hasher>(&self, state: &mut H) {
        self.fleet.iter().chain(self.types.iter().flatten()).for_each(|value| value.to_bits().hash(state));
    }
}

impl RuleSet {
    /// What the platform's settings say, with the expiries of the content types.
    pub fn from_settings(s: &Settings, expiries: &[Nanos]) -> RuleSet {
        let of = |(told, expiry): (&copperroute_routing::interface::ContentType, &Nanos)| {
            let repeat = match told.retry_safety {
                RetrySafety::NonRetriable => 0.0,
                RetrySafety::Deduped { .. } => 1.0,
                RetrySafety::Retriable => 2.0,
            };
            [repeat, expiry.secs(), told.fresh_for.map_or(f64::INFINITY, Nanos::secs)]
        };
        RuleSet {
            fleet: std::array::from_fn(|at| (FLEET[at].get)(s)),
            types: s.content_types.iter().zip(expiries).map(of).collect(),
        }
    }

    /// The settings and expiries under these rules, which are no looser than those of the settings.
    pub fn apply(&self, base: &Settings, expiries: &[Nanos]) -> (Settings, Vec<Nanos>) {
        let (mut s, mut expiries) = (base.clone(), expiries.to_vec());
        FLEET.iter().zip(self.fleet).for_each(|(row, value)| (row.set)(&mut s, value));
        for ((told, expiry), of) in s.content_types.iter_mut().zip(&mut expiries).zip(&self.types) {
            if of[REPEAT] == 0.0 {
                told.retry_safety = RetrySafety::NonRetriable;
            }
            *expiry = Nanos::from_secs(of[EXPIRY]).min(*expiry);
            told.fresh_for = of[FRESH].is_finite().then(|| Nanos::from_secs(of[FRESH]));
        }
        (s, expiries)
    }

    /// All fields, in the order of the tables.
    pub fn fields(&self) -> impl Iterator<Item = Field> + use<> {
        let types = self.types.len();
        let of_types = (0..types).flat_map(|of| (0..BY_TYPE.len()).map(move |at| Field::Of(of, at)));
        (0..FLEET.len()).map(Field::Fleet).chain(of_types)
    }

    /// The value of a field.
    pub fn get(&self, field: Field) -> f64 {
        match field {
            Field::Fleet(at) => self.fleet[at],
            Field::Of(of, at) => self.types[of][at],
        }
    }

    fn set(&mut self, field: Field, value: f64) {
        match field {
            Field::Fleet(at) => self.fleet[at] = value,
            Field::Of(of, at) => self.types[of][at] = value,
        }
    }

    /// Whether one value of a field allows more than another.
    pub fn is_looser(field: Field, value: f64, than: f64) -> bool {
        match field.stricter() {
            Stricter::Lower => value > than,
            Stricter::Higher => value < than,
        }
    }

    /// The first field in which these allow what others forbid.
    pub fn first_looser_field(&self, other: &RuleSet) -> Option<Field> {
        self.fields().find(|field| Self::is_looser(*field, self.get(*field), other.get(*field)))
    }

    /// The first field in which two sets of rules contradict: one of them forbids what the other allows.
    pub fn contradiction(&self, other: &RuleSet) -> Option<Field> {
        self.fields().find(|field| self.get(*field) != other.get(*field))
    }

    /// In each field the stricter value of both.
    pub fn stricter(&self, other: &RuleSet) -> RuleSet {
        let mut both = self.clone();
        for field in self.fields() {
            if Self::is_looser(field, both.get(field), other.get(field)) {
                both.set(field, other.get(field));
            }
        }
        both
    }

    /// Reads the fields that a document names; the others are as in `base`.
    pub fn parse(
        base: &RuleSet,
        types: &[String],
        path: &str,
        told: &Map<String, Value>,
    ) -> Result<RuleSet, String> {
        let mut read = base.clone();
        for (name, value) in told {
            if name == "types" {
                let by_type = value.as_object().ok_or_else(|| format!("{path}.types: expected an object"))?;
                for (of, told) in by_type {
                    let path = format!("{path}.types.{of}");
                    let at = types.iter().position(|known| known == of);
                    let at = at.ok_or_else(|| {
                        format!("{path}: no content type; expected one of {}", types.join(", "))
                    })?;
                    let told = told.as_object().ok_or_else(|| format!("{path}: expected an object"))?;
                    for (name, value) in told {
                        let known = BY_TYPE.iter().position(|row| row.0 == name);
                        let field = known.map(|row| Field::Of(at, row));
                        read.read_one(
                            field,
                            &format!("{path}.{name}"),
                            BY_TYPE.map(|row| row.0).join(", "),
                            value,
                        )?;
                    }
                }
                continue;
            }
            let known = FLEET.iter().position(|row| row.name == name).map(Field::Fleet);
            let names = FLEET.each_ref().map(|row| row.name).join(", ");
            read.read_one(known, &format!("{path}.{name}"), format!("{names}, types"), value)?;
        }
        Ok(read)
    }

    fn read_one(
        &mut self,
        field: Option<Field>,
        path: &str,
        known: String,
        value: &Value,
    ) -> Result<(), String> {
        let field = field.ok_or_else(|| format!("{path}: no rule; expected one of {known}"))?;
        let number = value.as_f64().filter(|number| *number >= 0.0);
        let read = match field.form() {
            Form::Whole => number.filter(|number| number.fract() == 0.0 && *number >= 1.0),
            Form::Number => number,
            Form::Flag => value.as_bool().map(|flag| f64::from(u8::from(flag))),
            Form::Repeat => value
                .as_str()
                .and_then(|name| REPEATS.iter().position(|known| *known == name))
                .map(|at| at as f64),
        };
        let expected = match field.form() {
            Form::Whole => "a whole number, 1 or more",
            Form::Number => "a number, 0 or more",
            Form::Flag => "true or false",
            Form::Repeat => "non-retriable, deduped or retriable",
        };
        let read = read.ok_or_else(|| format!("{path}: {value}; expected {expected}"))?;
        // Whether a repeat is known elsewhere is the platform's, not the operators'.
        if field.form() == Form::Repeat && read != 0.0 && read != self.get(field) {
            let is = REPEATS[self.get(field) as usize];
            return Err(format!("{path}: {value}; the platform says {is}, expected that or non-retriable"));
        }
        self.set(field, read);
        Ok(())
    }

    /// A value as documents write it.
    pub fn to_json(field: Field, value: f64) -> Value {
        match field.form() {
            Form::Whole => json!(value as u64),
            Form::Number if value.is_infinite() => Value::Null,
            Form::Number => json!(value),
            Form::Flag => json!(value > 0.5),
            Form::Repeat => json!(REPEATS[(value as usize).min(2)]),
        }
    }
}

/// A field in which two sets of rules differ.
#[derive(Debug, Clone, PartialEq)]
pub struct Difference {
    /// Which.
    pub field: Field,
    /// Its path.
    pub path: String,
    /// Both values.
    pub values: [f64; 2],
    /// The second allows less.
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
    let told = |field: Field| Difference {
        field,
        path: field.path(types),
        values: [from.get(field), to.get(field)],
        stricter: RuleSet::is_looser(field, from.get(field), to.get(field)),
    };
    differ.map(told).collect()
}

/// Of two states of a node the one that allows less: what is gone takes nothing, what drains nothing new.
pub fn stricter_state(a: Readiness, b: Readiness) -> Readiness {
    let strictness = |state: Readiness| match state {
        Readiness::Ready => 0,
        Readiness::Draining => 1,
        Readiness::Gone => 2,
    };
    if strictness(b) > strictness(a) { b } else { a }
}
