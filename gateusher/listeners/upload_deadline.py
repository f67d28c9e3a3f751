"""When the client's time for a body that is read slowly is over.

`UploadDeadline` owns the clock of one body (`upload_clock.py`).  Until the last byte is read the request has no
deadline in the core; no endpoint has received that byte either, so the listener may reject the request.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from ..upstream.upload import Upload
from .read_pause import ReadPause
from .request_parser import RequestParser
from .upload_clock import DRAINED_AFTER_S, UploadClock

CHECK_INTERVAL_S: Final = 0.1  # of the listener's sweeps


class UploadDeadline:
    """The deadline of one body.  All times are seconds of the event loop's clock unless noted."""

    def __init__(
        self, upload: Upload, parser: RequestParser, read_pause: ReadPause, unread_bytes: Callable[[], int]
    ) -> None:
        """`unread_bytes` tells what waits in the kernel."""
        self._upload = upload
        self._parser = parser
        self._read_pause = read_pause
        self._unread_bytes = unread_bytes
        self._clock = UploadClock()

    def reading_paused(self, now_s: float) -> None:
        """Record how much the client can have sent; called as a pause begins."""
        self._clock.reading_paused(now_s, self._parser.body_bytes, self._unread_bytes())

    def is_due(self, now_s: float) -> bool:
        """Whether the time may be over before the next check, or the body was not read for as long."""
        if self._read_pause.is_active:
            self.reading_paused(now_s)
        elif now_s - self._read_pause.ended_s > DRAINED_AFTER_S:
            self._clock.reading_drained()
        known_bytes = self._upload.total_bytes
        if self._upload.has_unknown_length:
            known_bytes = self._parser.body_bytes + self._unread_bytes()
        sent_s = self._clock.last_byte_sent_s(known_bytes)
        timeout_s = self._upload.timeout_ms / 1000
        if sent_s is None:
            return self._read_pause.elapsed_s(now_s) > timeout_s
        return now_s + CHECK_INTERVAL_S > sent_s + timeout_s

    def unread_ms(self, now_s: float) -> float:
        """How long the last byte, which is read now, may have waited, in milliseconds."""
        sent_s = self._clock.last_byte_sent_s(self._parser.body_bytes)
        return 0.0 if sent_s is None else (now_s - sent_s) * 1000
