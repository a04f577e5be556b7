"""Customer deployments that the bench runs at their real size.

Kinds and deadlines come from the example documents. Service times and deadlines
are `TIME_SCALE` times those of the real services. The request rate that fills
the real number of slots falls by the same factor, so that one machine can
serve it. The unscaled service times are assumptions, not measurements.
"""

import re
from collections import defaultdict
from pathlib import Path
from typing import Any, Final

import yaml

from radishtray_protocol import Document, RequestKind
from radishtray_testing.load_plan import KindLoad

TIME_SCALE: Final = 4
_EXAMPLES_DIRECTORY = Path(__file__).parents[3] / "examples"


class ServiceSize:
    """Size and mean service time of one service of a deployment.

    Attributes:
        name: Name of the service.
        upstream_count: Number of upstreams.
        slots_per_upstream: Concurrent requests that one upstream serves.
        mean_work_ms: Assumed mean service time without the calls to other
            services, before scaling.
    """

    __slots__ = (
        "mean_service_ms",
        "name",
        "slots_per_upstream",
        "upstream_count",
    )

    def __init__(
        self,
        name: str,
        upstream_count: int,
        slots_per_upstream: int,
        mean_service_ms: float,
    ) -> None:
        """Creates a service size from its attributes."""
        self.name = name
        self.upstream_count = upstream_count
        self.slots_per_upstream = slots_per_upstream
        self.mean_service_ms = mean_service_ms

    @property
    def scaled_service_ms(self) -> float:
        """Mean service time in the bench, without calls, in milliseconds."""
        return self.mean_service_ms * TIME_SCALE


class Deployment:
    """Services, sizes and request mix of one customer's deployment.

    Attributes:
        name: Name on the command line and in report file names.
        failure_domains: Failure domains; the upstreams of each service are
            assigned to them round-robin.
        deepest_service: The service at the end of the call chains.
        services: Sizes of the services.
        request_mix: Relative request rate and path at the entry node, by
            `service/kind`.
    """

    __slots__ = (
        "_document_path",
        "deepest_service",
        "failure_domains",
        "name",
        "request_mix",
        "services",
    )

    def __init__(
        self,
        name: str,
        document_name: str,
        failure_domains: tuple[str, ...],
        deepest_service: str,
        services: tuple[ServiceSize, ...],
        request_mix: dict[str, tuple[float, str]],
    ) -> None:
        """Creates a deployment.

        Args:
            name: Name on the command line and in report file names.
            document_name: File name of the example document.
            failure_domains: Failure domains, in the order of assignment.
            deepest_service: The service at the end of the call chains.
            services: Sizes of the services.
            request_mix: Relative request rate and path at the entry node, by
                `service/kind`.
        """
        self.name = name
        self.failure_domains = failure_domains
        self.deepest_service = deepest_service
        self.services = services
        self.request_mix = request_mix
        self._document_path = _EXAMPLES_DIRECTORY / document_name

    @property
    def upstream_count(self) -> int:
        """Total number of upstreams of all services."""
        return sum(service.upstream_count for service in self.services)

    def document_text(self) -> str:
        """Returns the example document with scaled deadlines."""
        content = yaml.safe_load(
            self._document_path.read_text(encoding="utf-8")
        )
        _scale_deadline(content["defaults"])
        for section in content["services"].values():
            for kind in section["kinds"].values():
                _scale_deadline(kind)
        return yaml.safe_dump(content, sort_keys=False)

    def work_plan(self, service: str, document: Document) -> dict[str, Any]:
        """Returns the work plan for the upstream stand-ins of a service.

        It maps `METHOD path` of each kind to its service time and its calls.
        """
        size = next(s for s in self.services if s.name == service)
        return {
            f"{kind.method} {kind.path}": {
                "ms": size.scaled_service_ms,
                "calls": [_format_call(document, name) for name in kind.calls],
            }
            for kind in document.services[service].kinds.values()
        }

    def slot_utilization(self, document: Document) -> dict[str, float]:
        """Returns the slot utilization of each service at the relative rates.

        By Little's law, the mean number of busy slots is the request rate
        times the mean time that a request holds its slot. The result exceeds
        1 where the rates are more than the slots can serve.
        """
        busy_slots: dict[str, float] = defaultdict(float)
        for name, (rate, _) in self.request_mix.items():
            self._add_busy_slots(busy_slots, document, name, rate)
        return {
            size.name: busy_slots[size.name]
            / (size.upstream_count * size.slots_per_upstream)
            for size in self.services
        }

    def chain_service_ms(self, document: Document, name: str) -> float:
        """Returns the mean time that a request of a kind holds its slot.

        It is the service time of the kind plus that of all calls down the
        chain, which are made one after another.
        """
        kind = _find_kind(document, name)
        service = next(s for s in self.services if s.name == kind.service)
        call_times_ms = (
            self.chain_service_ms(document, called) for called in kind.calls
        )
        return service.scaled_service_ms + sum(call_times_ms)

    def kind_loads(self, document: Document) -> list[KindLoad]:
        """Returns the load at which the most utilized service is at capacity.

        The relative rates are scaled so that its slot utilization is 1.
        """
        rate_scale = 1 / max(self.slot_utilization(document).values())
        loads = []
        for name, (relative_rate, path) in self.request_mix.items():
            kind = _find_kind(document, name)
            loads.append(
                KindLoad(
                    name,
                    kind.method,
                    path,
                    relative_rate * rate_scale,
                    kind.weight,
                    kind.deadline_ms / 1000,
                    kind.at_most_once,
                    kind.idempotent,
                )
            )
        return loads

    def _add_busy_slots(
        self,
        busy_slots: dict[str, float],
        document: Document,
        name: str,
        rate: float,
    ) -> None:
        kind = _find_kind(document, name)
        busy_slots[kind.service] += (
            rate * self.chain_service_ms(document, name) / 1000
        )
        for called in kind.calls:
            self._add_busy_slots(busy_slots, document, called, rate)


def _find_kind(document: Document, name: str) -> RequestKind:
    kind = document.find_kind(*name.split("/"))
    if kind is None:
        raise ValueError(f"the document does not define the kind {name}")
    return kind


def _format_call(document: Document, name: str) -> str:
    """Returns a call of a kind in the form that work plans contain."""
    kind = _find_kind(document, name)
    path = re.sub(r"\{\w+\}", "1", kind.path)
    return f"{kind.method} /call/{kind.service}{path}"


def _scale_deadline(section: dict[str, Any]) -> None:
    if "deadline_ms" in section:
        section["deadline_ms"] *= TIME_SCALE


PASAPORTE = Deployment(
    "pasaporte",
    "pasaporte-gremlin.yaml",
    ("a", "b", "c"),
    "catalogo",
    (
        ServiceSize("catalogo", 4, 40, 50),
        ServiceSize("taquilla", 3, 60, 120),
        ServiceSize("gafete", 3, 60, 100),
        ServiceSize("portones", 3, 15, 50),
    ),
    {
        "taquilla/comprar": (60, "/taquilla/compras"),
        "taquilla/ver-compra": (65, "/taquilla/compras/{}"),
        "taquilla/cotizar": (65, "/taquilla/cotizaciones"),
        "gafete/validar": (50, "/gafete/gafetes/{}/validez"),
        "portones/registrar-entrada": (40, "/portones/portones/1/entradas"),
        "portones/ver-porton": (20, "/portones/portones/{}"),
        "portones/listar-portones": (20, "/portones/portones"),
        "catalogo/listar-eventos": (150, "/catalogo/eventos"),
        "catalogo/ver-evento": (150, "/catalogo/eventos/{}"),
    },
)
FUNDACION = Deployment(
    "fundacion",
    "fundacion.yaml",
    ("a", "b", "c", "d"),
    "cartelera",
    (
        ServiceSize("cartelera", 5, 140, 50),
        ServiceSize("reservas", 4, 170, 80),
        ServiceSize("archivos", 4, 170, 100),
        ServiceSize("cuotas", 4, 30, 60),
    ),
    {
        "reservas/reservar": (60, "/reservas/reservas"),
        "reservas/ver-reserva": (60, "/reservas/reservas/{}"),
        "reservas/anular": (20, "/reservas/reservas/{}"),
        "archivos/ver-archivo": (50, "/archivos/archivos/{}"),
        "archivos/guardar": (30, "/archivos/archivos/{}"),
        "archivos/buscar": (60, "/archivos/archivos"),
        "cuotas/pagar-cuota": (50, "/cuotas/cuotas/{}/pagos"),
        "cuotas/ver-cuota": (50, "/cuotas/cuotas/{}"),
        "cartelera/ver-cartelera": (120, "/cartelera/cartelera"),
        "cartelera/ver-funcion": (120, "/cartelera/funciones/{}"),
    },
)
DEPLOYMENTS: Final = {d.name: d for d in (PASAPORTE, FUNDACION)}
