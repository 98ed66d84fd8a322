//! Windows of burn rates and the alert rules on them. Not for: counting.

use std::{fmt, time};

const MINUTE: time::Duration = time::Duration::from_secs(60);
const HOUR: time::Duration = time::Duration::from_secs(3_600);

usher_types::value_type! {
    /// Length of a sliding window that ends now.
    #[derive(serde::Serialize)]
    pub enum BurnWindow {
        /// 5 minutes.
        #[serde(rename = "5m")]
        FiveMinutes,
        /// 30 minutes.
        #[serde(rename = "30m")]
        HalfHour,
        /// 1 hour.
        #[serde(rename = "1h")]
        Hour,
        /// 6 hours.
        #[serde(rename = "6h")]
        SixHours,
        /// 3 days.
        #[serde(rename = "3d")]
        ThreeDays,
    }
}

impl BurnWindow {
    /// All windows, the shortest first.
    pub const ALL: [Self; 5] = [
        Self::FiveMinutes,
        Self::HalfHour,
        Self::Hour,
        Self::SixHours,
        Self::ThreeDays,
    ];

    /// Returns the length of the window.
    pub const fn length(self) -> time::Duration {
        match self {
            Self::FiveMinutes => MINUTE.saturating_mul(5),
            Self::HalfHour => MINUTE.saturating_mul(30),
            Self::Hour => HOUR,
            Self::SixHours => HOUR.saturating_mul(6),
            Self::ThreeDays => HOUR.saturating_mul(72),
        }
    }
}

impl fmt::Display for BurnWindow {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::FiveMinutes => "5m",
            Self::HalfHour => "30m",
            Self::Hour => "1h",
            Self::SixHours => "6h",
            Self::ThreeDays => "3d",
        })
    }
}

usher_types::value_type! {
    /// Urgency of an alert.
    #[derive(serde::Serialize)]
    #[serde(rename_all = "kebab-case")]
    pub enum AlertLevel {
        /// Somebody must act during the next working day.
        Ticket,
        /// Somebody must act now.
        Page,
    }
}

impl fmt::Display for AlertLevel {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Ticket => "ticket",
            Self::Page => "page",
        })
    }
}

usher_types::value_type! {
    /// Alert rule on two windows: the long one shows that the burn is significant, the short one
    /// that it continues.
    #[derive(Copy, serde::Serialize)]
    pub struct AlertRule {
        /// Shorter window.
        pub short: BurnWindow,
        /// Longer window.
        pub long: BurnWindow,
        /// Share of the total budget that has been used in the long window when the alert fires.
        pub budget_share: f64,
        /// Urgency of the alert.
        pub level: AlertLevel,
    }
}

impl AlertRule {
    /// All rules, the most urgent first. The shares are the commonly used ones, which give burn
    /// rates of 14.4, 6 and 1 for a budget of 30 days.
    pub const ALL: [Self; 3] = [
        Self {
            short: BurnWindow::FiveMinutes,
            long: BurnWindow::Hour,
            budget_share: 0.02,
            level: AlertLevel::Page,
        },
        Self {
            short: BurnWindow::HalfHour,
            long: BurnWindow::SixHours,
            budget_share: 0.05,
            level: AlertLevel::Page,
        },
        Self {
            short: BurnWindow::SixHours,
            long: BurnWindow::ThreeDays,
            budget_share: 0.10,
            level: AlertLevel::Ticket,
        },
    ];

    /// Returns the burn rate above which the rule fires.
    ///
    /// ```
    /// use std::time::Duration;
    /// use usher_report::AlertRule;
    /// let month = Duration::from_secs(30 * 24 * 3_600);
    /// assert!((AlertRule::ALL[0].threshold(month) - 14.4).abs() < 1e-9);
    /// ```
    pub fn threshold(&self, budget_window: time::Duration) -> f64 {
        self.budget_share * budget_window.as_secs_f64() / self.long.length().as_secs_f64()
    }
}
