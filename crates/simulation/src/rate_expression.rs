//! Rates as curves of time: `8 + 4 * sin(t / 60)`, `max(0, 20 - t)`, `if(t, 30, 60) * 5`.
//!
//! `t` is the time in seconds. There are `+ - * / ^`, brackets, `pi`, and the functions `sin`, `cos`, `exp`, `sqrt`,
//! `abs`, `min(a, b)`, `max(a, b)` and `if(t, from, to)`: 1 where `from <= t < to`, else 0.

use winnow::ascii::{float, space0};
use winnow::combinator::{alt, delimited, fail, opt, preceded, repeat, separated};
use winnow::error::ContextError;
use winnow::prelude::*;
use winnow::token::{one_of, take_while};

/// Longer ones are refused, so that no text nests deep enough to do harm.
const LONGEST: usize = 200;

/// A curve that was read.
#[derive(Clone, Debug, PartialEq)]
pub struct Curve(Term);

#[derive(Clone, Debug, PartialEq)]
enum Term {
    Number(f64),
    Time,
    Two(char, Box<Term>, Box<Term>),
    Call(Function, Vec<Term>),
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
}

impl Curve {
    /// The same value at all times.
    pub fn flat(value: f64) -> Curve {
        Curve(Term::Number(value))
    }

    /// It, times a factor.
    pub fn times(self, factor: f64) -> Curve {
        Curve(Term::Two(
            '*',
            Box::new(Term::Number(factor)),
            Box::new(self.0),
        ))
    }

    /// Reads one.
    ///
    /// # Errors
    /// Where it stops making sense, in words.
    pub fn parse(text: &str) -> Result<Curve, String> {
        if text.len() > LONGEST {
            return Err(format!("a curve is {LONGEST} characters at most"));
        }
        let mut rest = text;
        let term = sum(&mut rest);
        match term {
            Ok(term) if rest.trim().is_empty() => Ok(Curve(term)),
            _ => Err(format!(
                "the curve {text:?} makes no sense from {:?} on",
                rest.trim()
            )),
        }
    }

    /// Its value at a time in s; 0 where it has none.
    pub fn at(&self, seconds: f64) -> f64 {
        let value = self.0.at(seconds);
        if value.is_finite() {
            value
        } else {
            0.0
        }
    }

    /// What it reaches within so many seconds, as far as a thousand steps tell.
    pub fn most(&self, seconds: f64) -> f64 {
        (0..=1000)
            .map(|step| self.at(seconds * f64::from(step) / 1000.0))
            .fold(0.0, f64::max)
    }
}

impl Term {
    fn at(&self, t: f64) -> f64 {
        match self {
            Term::Number(value) => *value,
            Term::Time => t,
            Term::Two(sign, a, b) => {
                let (a, b) = (a.at(t), b.at(t));
                match sign {
                    '+' => a + b,
                    '-' => a - b,
                    '*' => a * b,
                    '/' => a / b,
                    _ => a.powf(b),
                }
            }
            Term::Call(function, given) => {
                let given = |place: usize| given.get(place).map_or(0.0, |term| term.at(t));
                match function {
                    Function::Sin => given(0).sin(),
                    Function::Cos => given(0).cos(),
                    Function::Exp => given(0).exp(),
                    Function::Sqrt => given(0).sqrt(),
                    Function::Abs => given(0).abs(),
                    Function::Min => given(0).min(given(1)),
                    Function::Max => given(0).max(given(1)),
                    Function::If => {
                        f64::from(u8::from(given(0) >= given(1) && given(0) < given(2)))
                    }
                }
            }
        }
    }
}

type Read<T> = winnow::Result<T, ContextError>;

/// Terms joined from the left by signs of one rank.
fn chain(signs: [char; 2], next: fn(&mut &str) -> Read<Term>, input: &mut &str) -> Read<Term> {
    let first = next(input)?;
    repeat(0.., (delimited(space0, one_of(signs), space0), next))
        .fold(
            move || first.clone(),
            |so_far, (sign, term): (char, Term)| Term::Two(sign, so_far.into(), term.into()),
        )
        .parse_next(input)
}

fn sum(input: &mut &str) -> Read<Term> {
    chain(['+', '-'], product, input)
}

fn product(input: &mut &str) -> Read<Term> {
    chain(['*', '/'], power, input)
}

fn power(input: &mut &str) -> Read<Term> {
    let base = single(input)?;
    let above = opt(preceded((space0, '^', space0), power)).parse_next(input)?;
    Ok(match above {
        Some(above) => Term::Two('^', base.into(), above.into()),
        None => base,
    })
}

fn single(input: &mut &str) -> Read<Term> {
    let minus = preceded(('-', space0), power)
        .map(|term| Term::Two('-', Term::Number(0.0).into(), term.into()));
    let bracket = delimited(('(', space0), sum, (space0, ')'));
    // Without a sign: those stand between terms.
    let number = preceded(winnow::combinator::not(one_of(['+', '-'])), float).map(Term::Number);
    preceded(space0, alt((bracket, minus, word, number))).parse_next(input)
}

fn word(input: &mut &str) -> Read<Term> {
    let name = take_while(1.., |c: char| c.is_ascii_alphabetic()).parse_next(input)?;
    match name {
        "t" => return Ok(Term::Time),
        "pi" => return Ok(Term::Number(std::f64::consts::PI)),
        _ => {}
    }
    let Some((function, wanted)) = Function::named(name) else {
        return fail.parse_next(input);
    };
    let comma = (space0, ',', space0);
    let given: Vec<Term> =
        delimited(('(', space0), separated(1..=3, sum, comma), (space0, ')')).parse_next(input)?;
    if given.len() != wanted {
        return fail.parse_next(input);
    }
    Ok(Term::Call(function, given))
}
