//! Rates as expressions of time: `8 + 4 * sin(t / 60)`, `max(0, 20 - t)`, `if(t, 30, 60) * 5`.
//!
//! `t` is the time in seconds. The syntax includes the operators `+ - * / ^`, parentheses, the constant `pi`, and the
//! functions `sin`, `cos`, `exp`, `sqrt`, `abs`, `min(a, b)`, `max(a, b)` and `if(t, from, to)`. The value of `if` is 1
//! where `from <= t < to`, else 0.

use winnow::ascii::{float, space0};
use winnow::combinator::{alt, delimited, fail, not, opt, preceded, repeat, separated};
use winnow::error::ContextError;
use winnow::prelude::*;
use winnow::token::{one_of, take_while};

/// Maximum length of an expression, in bytes. It bounds the recursion depth of the parser.
const MAX_LENGTH: usize = 200;
/// Number of intervals into which a duration is divided to search for the maximum.
const MAXIMUM_STEPS: u32 = 1000;

/// Error of a text that is not a valid rate expression.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RateExpressionError {
    /// The text exceeds the maximum length.
    #[error("a rate expression may have at most {MAX_LENGTH} bytes")]
    TooLong,
    /// The text is not a valid expression.
    #[error("syntax error in the rate expression {text:?} at {rest:?}")]
    Syntax {
        /// Complete text of the expression.
        text: String,
        /// Rest of the text, from the position that the parser did not accept.
        rest: String,
    },
}

/// A rate as an expression of time.
#[derive(Clone, Debug, PartialEq)]
pub struct RateExpression(Term);

#[derive(Clone, Debug, PartialEq)]
enum Term {
    Number(f64),
    Time,
    Binary(Operator, Box<Term>, Box<Term>),
    Call(Function, Vec<Term>),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Operator {
    Add,
    Subtract,
    Multiply,
    Divide,
    Power,
}

impl Operator {
    fn apply(self, left: f64, right: f64) -> f64 {
        match self {
            Operator::Add => left + right,
            Operator::Subtract => left - right,
            Operator::Multiply => left * right,
            Operator::Divide => left / right,
            Operator::Power => left.powf(right),
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Function {
    Sin,
    Cos,
    Exp,
    Sqrt,
    Abs,
    Min,
    Max,
    If,
}

impl Function {
    /// Returns the function with a name and the number of its arguments, or `None` for an unknown name.
    fn named(name: &str) -> Option<(Function, usize)> {
        Some(match name {
            "sin" => (Function::Sin, 1),
            "cos" => (Function::Cos, 1),
            "exp" => (Function::Exp, 1),
            "sqrt" => (Function::Sqrt, 1),
            "abs" => (Function::Abs, 1),
            "min" => (Function::Min, 2),
            "max" => (Function::Max, 2),
            "if" => (Function::If, 3),
            _ => return None,
        })
    }

    fn apply(self, argument: impl Fn(usize) -> f64) -> f64 {
        match self {
            Function::Sin => argument(0).sin(),
            Function::Cos => argument(0).cos(),
            Function::Exp => argument(0).exp(),
            Function::Sqrt => argument(0).sqrt(),
            Function::Abs => argument(0).abs(),
            Function::Min => argument(0).min(argument(1)),
            Function::Max => argument(0).max(argument(1)),
            Function::If => {
                let is_within = argument(0) >= argument(1) && argument(0) < argument(2);
                f64::from(u8::from(is_within))
            }
        }
    }
}

impl RateExpression {
    /// Creates a constant rate.
    pub fn constant(rate: f64) -> RateExpression {
        RateExpression(Term::Number(rate))
    }

    /// Returns the rate multiplied by a factor.
    #[must_use]
    pub fn scaled(self, factor: f64) -> RateExpression {
        let factor = Term::Number(factor);
        RateExpression(Term::Binary(
            Operator::Multiply,
            factor.into(),
            self.0.into(),
        ))
    }

    /// Parses an expression.
    ///
    /// # Errors
    /// If the text is too long or not a valid expression.
    pub fn parse(text: &str) -> Result<RateExpression, RateExpressionError> {
        if text.len() > MAX_LENGTH {
            return Err(RateExpressionError::TooLong);
        }
        let mut rest = text;
        match sum(&mut rest) {
            Ok(term) if rest.trim().is_empty() => Ok(RateExpression(term)),
            _ => Err(RateExpressionError::Syntax {
                text: text.to_owned(),
                rest: rest.trim().to_owned(),
            }),
        }
    }

    /// Returns the rate at a time in s, or 0 where the expression has no finite value.
    pub fn at(&self, seconds: f64) -> f64 {
        let value = self.0.at(seconds);
        if value.is_finite() {
            value
        } else {
            0.0
        }
    }

    /// Returns the maximum of the rate over a duration in s. The rate is evaluated at evenly spaced times, so a short peak
    /// between them is missed.
    pub fn maximum(&self, seconds: f64) -> f64 {
        (0..=MAXIMUM_STEPS)
            .map(|step| self.at(seconds * f64::from(step) / f64::from(MAXIMUM_STEPS)))
            .fold(0.0, f64::max)
    }
}

impl Term {
    fn at(&self, t: f64) -> f64 {
        match self {
            Term::Number(value) => *value,
            Term::Time => t,
            Term::Binary(operator, left, right) => operator.apply(left.at(t), right.at(t)),
            Term::Call(function, arguments) => {
                function.apply(|index| arguments.get(index).map_or(0.0, |term| term.at(t)))
            }
        }
    }
}

type ParseResult<T> = winnow::Result<T, ContextError>;

/// Parses terms joined by left-associative operators of one precedence.
fn chain(
    operators: [(char, Operator); 2],
    next: fn(&mut &str) -> ParseResult<Term>,
    input: &mut &str,
) -> ParseResult<Term> {
    let first = next(input)?;
    let [(sign, operator), (other_sign, other)] = operators;
    let operator = alt((sign.value(operator), other_sign.value(other)));
    repeat(0.., (delimited(space0, operator, space0), next))
        .fold(
            move || first.clone(),
            |left, (operator, right): (Operator, Term)| {
                Term::Binary(operator, left.into(), right.into())
            },
        )
        .parse_next(input)
}

fn sum(input: &mut &str) -> ParseResult<Term> {
    let operators = [('+', Operator::Add), ('-', Operator::Subtract)];
    chain(operators, product, input)
}

fn product(input: &mut &str) -> ParseResult<Term> {
    let operators = [('*', Operator::Multiply), ('/', Operator::Divide)];
    chain(operators, power, input)
}

fn power(input: &mut &str) -> ParseResult<Term> {
    let base = operand(input)?;
    let exponent = opt(preceded((space0, '^', space0), power)).parse_next(input)?;
    Ok(match exponent {
        Some(exponent) => Term::Binary(Operator::Power, base.into(), exponent.into()),
        None => base,
    })
}

fn operand(input: &mut &str) -> ParseResult<Term> {
    let negated = preceded(('-', space0), power)
        .map(|term| Term::Binary(Operator::Subtract, Term::Number(0.0).into(), term.into()));
    let bracket = delimited(('(', space0), sum, (space0, ')'));
    // A sign before a number is parsed as an operator, not as part of the number.
    let number = preceded(not(one_of(['+', '-'])), float).map(Term::Number);
    preceded(space0, alt((bracket, negated, name, number))).parse_next(input)
}

/// Parses a variable, a constant or a function call.
fn name(input: &mut &str) -> ParseResult<Term> {
    let name = take_while(1.., |c: char| c.is_ascii_alphabetic()).parse_next(input)?;
    match name {
        "t" => return Ok(Term::Time),
        "pi" => return Ok(Term::Number(std::f64::consts::PI)),
        _ => {}
    }
    let Some((function, arity)) = Function::named(name) else {
        return fail.parse_next(input);
    };
    let comma = (space0, ',', space0);
    let arguments: Vec<Term> =
        delimited(('(', space0), separated(1..=3, sum, comma), (space0, ')')).parse_next(input)?;
    if arguments.len() != arity {
        return fail.parse_next(input);
    }
    Ok(Term::Call(function, arguments))
}
