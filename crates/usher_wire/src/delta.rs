//! Encodes a large frame by its difference from the large frame before it. Not for: deciding which
//! connections use it.

use crate::{codec, error};

/// Length from which frames are compared with the one before, in bytes. Only messages that hold a
/// whole document or several are longer.
const MIN_BYTES: usize = 64 * 1_024;

/// Compression level of Zstandard; the fast end, because most of the gain comes from the prefix.
const LEVEL: i32 = 1;

/// Logarithm of the window: a frame and its prefix, of [`codec::MAX_FRAME_BYTES`] each, fit in.
const WINDOW_LOG: u32 = 23;

/// The last large frame of one direction of a connection.
#[derive(Debug, Default)]
pub(crate) struct DeltaBase {
    frame: Option<bytes::Bytes>,
}

impl DeltaBase {
    /// Returns the difference of a frame from the last large one, if it is smaller than the frame,
    /// and remembers the frame if it is large.
    pub(crate) fn encode(&mut self, frame: &bytes::Bytes) -> Option<Vec<u8>> {
        if frame.len() < MIN_BYTES {
            return None;
        }
        let base = self.frame.replace(frame.clone())?;
        let mut compressed = Vec::with_capacity(frame.len() / 2);
        match compress(&base, frame, &mut compressed) {
            Ok(()) => Some(compressed),
            // The difference is no smaller than half of the frame.
            Err(_) => None,
        }
    }

    /// Remembers a frame that arrived in full, if it is large.
    pub(crate) fn record(&mut self, frame: &bytes::Bytes) {
        if frame.len() >= MIN_BYTES {
            self.frame = Some(frame.clone());
        }
    }

    /// Returns the frame of a difference and remembers it.
    ///
    /// # Errors
    ///
    /// Fails when there is no frame before it, or the result is invalid or too long.
    pub(crate) fn decode(&mut self, compressed: &[u8]) -> Result<bytes::Bytes, error::WireError> {
        let base = self.frame.take();
        let base = base.ok_or(error::WireError::Delta("no frame precedes it"))?;
        let size = zstd_safe::get_frame_content_size(compressed);
        let size = size.ok().flatten();
        let size = size.and_then(|size| usize::try_from(size).ok());
        let size = size.filter(|size| *size <= codec::MAX_FRAME_BYTES);
        let size = size.ok_or(error::WireError::Delta(
            "its length is missing or too great",
        ))?;
        let mut frame = Vec::with_capacity(size);
        decompress(&base, compressed, &mut frame)
            .map_err(|code| error::WireError::Delta(zstd_safe::get_error_name(code)))?;
        let frame = bytes::Bytes::from(frame);
        self.frame = Some(frame.clone());
        Ok(frame)
    }
}

fn compress(
    base: &[u8],
    frame: &[u8],
    compressed: &mut Vec<u8>,
) -> Result<(), zstd_safe::ErrorCode> {
    use zstd_safe::CParameter;
    let mut context = zstd_safe::CCtx::create();
    context.set_parameter(CParameter::CompressionLevel(LEVEL))?;
    context.set_parameter(CParameter::WindowLog(WINDOW_LOG))?;
    context.set_parameter(CParameter::EnableLongDistanceMatching(true))?;
    context.set_parameter(CParameter::ChecksumFlag(true))?;
    context.ref_prefix(base)?;
    context.compress2(compressed, frame)?;
    Ok(())
}

fn decompress(
    base: &[u8],
    compressed: &[u8],
    frame: &mut Vec<u8>,
) -> Result<(), zstd_safe::ErrorCode> {
    let mut context = zstd_safe::DCtx::create();
    context.set_parameter(zstd_safe::DParameter::WindowLogMax(WINDOW_LOG))?;
    context.ref_prefix(base)?;
    context.decompress(frame, compressed)?;
    Ok(())
}
