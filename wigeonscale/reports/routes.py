"""HTTP endpoint of an entry for its event counts."""

__all__ = ["BURN_PATH", "burn_routes"]

from aiohttp import web

from wigeonscale.reports.recorder import BurnRecorder

BURN_PATH = "/report/burn"


def burn_routes(recorder: BurnRecorder) -> list[web.RouteDef]:
    """Return the HTTP routes that serve the export of a recorder.

    Args:
        recorder: Recorder of the entry.
    """

    async def show_burn(req: web.Request) -> web.Response:
        return web.json_response(recorder.export())

    return [web.get(BURN_PATH, show_burn)]
