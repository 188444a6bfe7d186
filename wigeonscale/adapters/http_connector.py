"""Connection pool of an HTTP client whose responses must belong to their requests."""

__all__ = ["CleanConnector"]

import aiohttp


class CleanConnector(aiohttp.TCPConnector):
    """Connector that does not reuse a connection with unread data.

    Data after a complete response is no response to the next request. The base class
    notices it only if it arrives before the connection returns to the pool.
    """

    async def _get(self, key, traces):
        while True:
            conn = await super()._get(key, traces)
            if conn is None or not conn.protocol.should_close:
                return conn
            conn.close()
