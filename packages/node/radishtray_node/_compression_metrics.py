"""Gauge of the bytes of compressed frames."""

from radishtray_node._metrics import Metrics
from radishtray_transport import CompressionTotals


def add_compression_gauge(metrics: Metrics, totals: CompressionTotals) -> None:
    """Registers the bytes before and after compression, by direction."""
    metrics.add_labelled_gauge(
        "radishtray_compressed_frame_bytes",
        "Bytes of frames that were compressed, before and after compression.",
        ("direction", "form"),
        lambda: (
            (("sent", "before"), totals.sent_frame_bytes),
            (("sent", "after"), totals.sent_wire_bytes),
            (("received", "before"), totals.received_frame_bytes),
            (("received", "after"), totals.received_wire_bytes),
        ),
    )
