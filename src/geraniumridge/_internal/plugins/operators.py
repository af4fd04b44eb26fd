"""HTTP interface for operators: health, status and metrics."""

import hmac

from geraniumridge._internal import exceptions
from geraniumridge._internal.kernel import kernel
from geraniumridge._internal.kernel import registry
from geraniumridge._internal.network import http
from geraniumridge._internal.network import streams

PAGES = registry.Registry("operators' page")
"""Handlers by path."""


@registry.PLUGINS.register("operators")
class Operators(kernel.Plugin):
    """HTTP server for the load balancer and the operators' tool."""

    async def start(self, nursery):
        """Listen for operators."""
        tls = streams.make_server_context(
            self._settings.tls, require_peer=True
        )
        await http.serve(
            nursery, self._settings.listen.operators, self._handle_request, tls
        )

    async def _handle_request(self, request):
        try:
            page = PAGES.find(request.path)
            if page is None:
                known_pages = ", ".join(PAGES.names)
                raise exceptions.NotFoundError(f"page (known: {known_pages})")
            if request.path != "/health":
                self._check_secret(request)
            return page(self._kernel)
        except exceptions.RequestError as error:
            return http.make_problem_response(error)

    def _check_secret(self, request):
        secret = self._settings.security.operator_secret
        presented = request.headers.get("authorization", "")
        if secret and not hmac.compare_digest(
            presented.encode(), f"Bearer {secret}".encode()
        ):
            raise exceptions.UnauthorizedError("operator secret is wrong")


@PAGES.register("/health")
def show_health(daemon_kernel):
    """Return whether the load balancer may send callers to this VM."""
    is_current = daemon_kernel.get("configuration").is_current
    is_in_cell = daemon_kernel.get("membership").cell.view is not None
    is_ready = daemon_kernel.is_started and not daemon_kernel.is_stopping
    is_ready = is_ready and is_current and is_in_cell
    status = 200 if is_ready else 503
    return http.make_json_response({"ready": is_ready}, status)


@PAGES.register("/metrics")
def show_metrics(daemon_kernel):
    """Return counters, gauges, encoded histograms and peer traffic."""
    data = daemon_kernel.get("metrics").export()
    data["traffic"] = daemon_kernel.get("peers").get_traffic()
    return http.make_json_response(data)


@PAGES.register("/status")
def show_status(daemon_kernel):
    """Return the state of this VM, its cell and its targets."""
    settings = daemon_kernel.settings
    membership = daemon_kernel.get("membership")
    view = membership.cell.view
    return http.make_json_response(
        {
            "vm": settings.vm.name,
            "domain": settings.vm.domain,
            "config_version": daemon_kernel.get("configuration").version,
            "view": f"{view.number} {view.leader}" if view else "",
            "is_leader": membership.cell.is_leader,
            "members": sorted(view.names) if view else [],
            "share": round(membership.get_share(), 3),
            "contact_age_s": round(
                daemon_kernel.get("directory").contact_age_s, 3
            ),
            "connections": daemon_kernel.get("front").connection_count,
            "targets": daemon_kernel.get("gateway").get_state(),
        }
    )
