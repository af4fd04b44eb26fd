"""The operators' interface of one daemon: health, status, metrics."""

import hmac

from geraniumridge._internal import exceptions
from geraniumridge._internal.kernel import kernel
from geraniumridge._internal.kernel import registry
from geraniumridge._internal.network import http
from geraniumridge._internal.network import streams

PAGES = registry.Registry("operators' page")


@registry.PLUGINS.register("operators")
class Operators(kernel.Plugin):
    """Answers the balancer and the operators' tool."""

    async def start(self, nursery):
        """Listen for operators."""
        tls = streams.make_server_context(
            self._settings.tls, require_peer=True
        )
        await http.serve(
            nursery, self._settings.listen.operators, self._handle, tls
        )

    async def _handle(self, request):
        try:
            page = PAGES.find(request.path)
            if page is None:
                known = ", ".join(PAGES.names)
                raise exceptions.NotFoundError(f"page (known: {known})")
            if request.path != "/health":
                self._check_secret(request)
            return page(self._kernel)
        except exceptions.RequestError as error:
            return http.make_problem_response(error)

    def _check_secret(self, request):
        secret = self._settings.security.operator_secret
        shown = request.headers.get("authorization", "")
        if secret and not hmac.compare_digest(
            shown.encode(), f"Bearer {secret}".encode()
        ):
            raise exceptions.UnauthorizedError("operator secret is wrong")


@PAGES.register("/health")
def show_health(owner):
    """Tell the balancer whether to send callers here."""
    current = owner.get("configuration").is_current
    in_cell = owner.get("membership").cell.view is not None
    ready = owner.is_started and not owner.is_stopping
    ready = ready and current and in_cell
    status = 200 if ready else 503
    return http.make_json_response({"ready": ready}, status)


@PAGES.register("/metrics")
def show_metrics(owner):
    """Return counters, gauges and encoded histograms."""
    data = owner.get("metrics").export()
    data["traffic"] = owner.get("peers").get_traffic()
    return http.make_json_response(data)


@PAGES.register("/status")
def show_status(owner):
    """Return what this VM knows and owns."""
    settings = owner.settings
    members = owner.get("membership")
    view = members.cell.view
    return http.make_json_response(
        {
            "vm": settings.vm.name,
            "domain": settings.vm.domain,
            "config_version": owner.get("configuration").version,
            "view": f"{view.number} {view.leader}" if view else "",
            "is_leader": members.cell.is_leader,
            "members": sorted(view.names) if view else [],
            "share": round(members.get_share(), 3),
            "contact_age_s": round(owner.get("directory").contact_age_s, 3),
            "connections": owner.get("front").connection_count,
            "targets": owner.get("gateway").get_state(),
        }
    )
