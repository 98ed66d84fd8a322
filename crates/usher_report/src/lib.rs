//! Service-level burn report and explanations from bounded records
