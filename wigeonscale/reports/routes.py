"""The page on which an entry gives out its burn counts."""

__all__ = ["BURN_PATH", "burn_routes"]

from aiohttp import web

from wigeonscale.reports.recorder import BurnRecorder

BURN_PATH = "/report/burn"


def burn_routes(recorder: BurnRecorder) -> list[web.RouteDef]:
    """Return the routes that serve a recorder's export.

    Args:
        recorder: The entry's recorder.
    """

    async def show_burn(req: web.Request) -> web.Response:
        return web.json_response(recorder.export())

    return [web.get(BURN_PATH, show_burn)]
