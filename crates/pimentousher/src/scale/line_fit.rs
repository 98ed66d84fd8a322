//! Fits a line to measured points by least squares.

usher_types::value_type! {
    /// Line fitted to measured points, with its largest residual.
    ///
    /// ```
    /// use pimentousher::scale::LineFit;
    /// let fit = LineFit::from_points(&[(1.0, 3.0), (2.0, 5.0), (4.0, 9.0), (8.0, 17.0)]);
    /// assert!((fit.at(16.0) - 33.0).abs() < 1e-9);
    /// assert!(fit.residual < 1e-9);
    /// ```
    #[derive(Copy, serde::Serialize)]
    pub struct LineFit {
        /// Value at size 0.
        pub intercept: f64,
        /// Increase per unit of size.
        pub slope: f64,
        /// Largest distance of a point from the line, as a fraction of the largest value.
        pub residual: f64,
    }
}

impl LineFit {
    /// Fits a line to pairs of size and value; with only one size, the line is horizontal.
    pub fn from_points(points: &[(f64, f64)]) -> Self {
        let count = points.len().max(1) as f64;
        let mean_size = points.iter().map(|(size, _)| size).sum::<f64>() / count;
        let mean_value = points.iter().map(|(_, value)| value).sum::<f64>() / count;
        let sum_of_squares: f64 = points
            .iter()
            .map(|(size, _)| (size - mean_size).powi(2))
            .sum();
        let sum_of_products: f64 = points
            .iter()
            .map(|(size, value)| (size - mean_size) * (value - mean_value))
            .sum();
        let slope = if sum_of_squares > 0.0 {
            sum_of_products / sum_of_squares
        } else {
            0.0
        };
        let mut fit = Self {
            intercept: mean_value - slope * mean_size,
            slope,
            residual: 0.0,
        };
        let max_value = points
            .iter()
            .map(|(_, value)| value.abs())
            .fold(f64::MIN_POSITIVE, f64::max);
        let max_distance = points
            .iter()
            .map(|(size, value)| (value - fit.at(*size)).abs())
            .fold(0.0, f64::max);
        fit.residual = max_distance / max_value;
        fit
    }

    /// Returns the value of the line at a size.
    pub fn at(&self, size: f64) -> f64 {
        self.intercept + self.slope * size
    }
}
