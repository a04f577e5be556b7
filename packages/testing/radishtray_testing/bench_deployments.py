"""The deployments that measurements run at their sizes.

The example documents give kinds and deadlines. Times are scaled: the work and
the deadlines of every kind take `TIME_SCALE` times as long as assumed for the
real services, so that the rates that fill the true numbers of slots fit one
machine. The assumed times of work are not measured ones.
"""

import re
from collections import defaultdict
from pathlib import Path
from typing import Any, Final

import yaml

from radishtray_protocol import Document, RequestKind
from radishtray_testing.load_plan import KindLoad

TIME_SCALE: Final = 4
_EXAMPLES = Path(__file__).parents[3] / "examples"


class ServiceSize:
    """One service of a deployment.

    Attributes:
        name: Name of the service.
        upstreams: Number of upstreams.
        slots: Slots of each.
        work_ms: Assumed mean time of own work, unscaled.
    """

    __slots__ = ("name", "slots", "upstreams", "work_ms")

    def __init__(
        self,
        name: str,
        upstreams: int,
        slots: int,
        work_ms: float,
    ) -> None:
        """Holds the parts."""
        self.name = name
        self.upstreams = upstreams
        self.slots = slots
        self.work_ms = work_ms

    @property
    def scaled_ms(self) -> float:
        """Mean time of own work in the measurement."""
        return self.work_ms * TIME_SCALE


class Deployment:
    """A customer's deployment.

    Attributes:
        name: Name for files.
        domains: Failure domains; upstreams are spread over them in turn.
        services: The services.
        deep_service: The service that the chains end in.
        mix: Relative rate and path at the entry, by `service/kind`.
    """

    __slots__ = (
        "_document",
        "deep_service",
        "domains",
        "mix",
        "name",
        "services",
    )

    def __init__(
        self,
        name: str,
        document: str,
        domains: tuple[str, ...],
        deep_service: str,
        services: tuple[ServiceSize, ...],
        mix: dict[str, tuple[float, str]],
    ) -> None:
        """Holds the parts.

        Args:
            name: Name for files.
            document: File of the example document.
            domains: Failure domains.
            deep_service: The service that the chains end in.
            services: The services.
            mix: Relative rate and path at the entry, by `service/kind`.
        """
        self.name = name
        self.domains = domains
        self.deep_service = deep_service
        self.services = services
        self.mix = mix
        self._document = _EXAMPLES / document

    @property
    def upstreams(self) -> int:
        """Number of upstreams of all services."""
        return sum(service.upstreams for service in self.services)

    def document_text(self) -> str:
        """Returns the example document with scaled deadlines."""
        shown = yaml.safe_load(self._document.read_text(encoding="utf-8"))
        _scale(shown["defaults"])
        for section in shown["services"].values():
            for kind in section["kinds"].values():
                _scale(kind)
        return yaml.safe_dump(shown, sort_keys=False)

    def work_plan(self, service: str, document: Document) -> dict[str, Any]:
        """Returns the plan of a service's stand-ins."""
        size = next(s for s in self.services if s.name == service)
        return {
            f"{kind.method} {kind.path}": {
                "ms": size.scaled_ms,
                "calls": [_call(document, name) for name in kind.calls],
            }
            for kind in document.services[service].kinds.values()
        }

    def busy_share(self, document: Document) -> dict[str, float]:
        """Returns the mean share of busy slots by service at the rates."""
        busy: dict[str, float] = defaultdict(float)
        for name, (rate, _) in self.mix.items():
            self._add_busy(busy, document, name, rate)
        return {
            size.name: busy[size.name] / (size.upstreams * size.slots)
            for size in self.services
        }

    def chain_ms(self, document: Document, name: str) -> float:
        """Returns the mean time of work of a kind and its calls."""
        kind = _kind(document, name)
        own = next(s for s in self.services if s.name == kind.service)
        calls = (self.chain_ms(document, called) for called in kind.calls)
        return own.scaled_ms + sum(calls)

    def load(self, document: Document) -> list[KindLoad]:
        """Returns the load that fills the slots of the narrowest service."""
        fill = 1 / max(self.busy_share(document).values())
        loads = []
        for name, (share, path) in self.mix.items():
            kind = _kind(document, name)
            loads.append(
                KindLoad(
                    name,
                    kind.method,
                    path,
                    share * fill,
                    kind.weight,
                    kind.deadline_ms / 1000,
                    kind.at_most_once,
                    kind.idempotent,
                )
            )
        return loads

    def _add_busy(
        self, busy: dict[str, float], document: Document, name: str, rate: float
    ) -> None:
        kind = _kind(document, name)
        busy[kind.service] += rate * self.chain_ms(document, name) / 1000
        for called in kind.calls:
            self._add_busy(busy, document, called, rate)


def _kind(document: Document, name: str) -> RequestKind:
    kind = document.find_kind(*name.split("/"))
    if kind is None:
        raise ValueError(f"the document has no kind {name}")
    return kind


def _call(document: Document, name: str) -> str:
    kind = _kind(document, name)
    path = re.sub(r"\{\w+\}", "1", kind.path)
    return f"{kind.method} /call/{kind.service}{path}"


def _scale(part: dict[str, Any]) -> None:
    if "deadline_ms" in part:
        part["deadline_ms"] *= TIME_SCALE


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
