"""Match requests to routes by host name and path prefix; pure."""

from collections.abc import Iterable

from trefoilstage.components.forwarding.models import Route


class RouteTable:
    """Find the route with the longest prefix of a path, for a host name."""

    def __init__(self, *, routes: Iterable[Route]) -> None:
        self._routes = {(route.host, route.path_prefix): route for route in routes}

    def match(self, host: str, path: str) -> Route | None:
        """Return the route of a path, or None. Prefixes begin and end with a slash."""
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = self._routes.get((host, path[: end + 1]))
            if route is not None:
                return route
        return None
