//! Choice between a naive baseline and the implementation that ships.

/// One of two implementations of the same trait, chosen by a setting when a process starts.
///
/// # Examples
///
/// ```
/// use decide::Either;
/// use decide::limit::{Fixed, Gradient, Limit};
///
/// let naive: Either<Fixed, Gradient> = Either::Naive(Fixed::new(8));
/// assert_eq!(naive.limit(), 8);
/// ```
#[derive(Clone, Debug)]
pub enum Either<N, S> {
    /// The baseline.
    Naive(N),
    /// The implementation that ships.
    Shipped(S),
}

/// Evaluates the same expression for whichever implementation was chosen.
macro_rules! either {
    ($choice:expr, $inner:ident => $call:expr) => {
        match $choice {
            $crate::Either::Naive($inner) => $call,
            $crate::Either::Shipped($inner) => $call,
        }
    };
}

pub(crate) use either;
