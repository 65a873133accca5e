//! Rates as expressions of time: `8 + 4 * sin(t / 60)`, `max(0, 20 - t)`, `if(t, 30, 60) * 5`.
//!
//! `t` is the time in seconds. There are `+ - * / ^`, brackets, `pi`, and the functions `sin`, `cos`, `exp`, `sqrt`,
//! `abs`, `min(a, b)`, `max(a, b)` and `if(t, from, to)`, which is 1 where `from <= t < to`, else 0.

use winnow::ascii::{float, space0};
use winnow::combinator::{alt, delimited, fail, not, opt, preceded, repeat, separated};
use winnow::error::ContextError;
use winnow::prelude::*;
use winnow::token::{one_of, take_while};

/// The longest expression, in bytes. It bounds the depth of the parser's recursion.
const MAX_LENGTH: usize = 200;
/// Steps in which the maximum is searched.
const MAXIMUM_STEPS: u32 = 1000;

/// Why a text is not a rate expression.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RateExpressionError {
    /// The text is too long.
    #[error("a curve is {MAX_LENGTH} characters at most")]
    TooLong,
    /// The text is not an expression.
    #[error("the curve {text:?} makes no sense from {rest:?} on")]
    Syntax {
        /// The text.
        text: String,
        /// What the parser did not accept.
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
    /// The function of a name, and the number of its arguments.
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
    /// A constant rate.
    pub fn constant(rate: f64) -> RateExpression {
        RateExpression(Term::Number(rate))
    }

    /// The rate multiplied by a factor.
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
    /// If the text is too long or not an expression.
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

    /// The rate at a time in s; 0 where the expression has no finite value.
    pub fn at(&self, seconds: f64) -> f64 {
        let value = self.0.at(seconds);
        if value.is_finite() {
            value
        } else {
            0.0
        }
    }

    /// The maximum of the rate over a duration in s, as far as it shows at evenly spaced times.
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

/// Parses terms joined by operators of one precedence, from left to right.
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
    // A sign before a number is an operator.
    let number = preceded(not(one_of(['+', '-'])), float).map(Term::Number);
    preceded(space0, alt((bracket, negated, name, number))).parse_next(input)
}

/// Parses a variable, a constant or a call of a function.
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
