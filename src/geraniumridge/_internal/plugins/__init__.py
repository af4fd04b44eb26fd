"""Plug-ins of ``geraniumridged``, the daemon with the HTTP interface.

The proxy on the users' platform has its parts in `proxy` instead.

Importing this package registers every plug-in with the kernel, which
starts them in this order and drains them in reverse order.
"""

# isort: skip_file
from geraniumridge._internal.plugins import metrics  # noqa: F401
from geraniumridge._internal.plugins import peers  # noqa: F401
from geraniumridge._internal.plugins import membership  # noqa: F401,H306
from geraniumridge._internal.plugins import directory  # noqa: F401,H306
from geraniumridge._internal.plugins import configuration  # noqa: F401,H306
from geraniumridge._internal.plugins import terms  # noqa: F401
from geraniumridge._internal.plugins import durability  # noqa: F401,H306
from geraniumridge._internal.plugins import gateway  # noqa: F401,H306
from geraniumridge._internal.plugins import promises  # noqa: F401
from geraniumridge._internal.plugins import failover  # noqa: F401,H306
from geraniumridge._internal.plugins import limiter  # noqa: F401
from geraniumridge._internal.plugins import admission  # noqa: F401,H306
from geraniumridge._internal.plugins import entry  # noqa: F401,H306
from geraniumridge._internal.plugins import front  # noqa: F401
from geraniumridge._internal.plugins import operators  # noqa: F401
