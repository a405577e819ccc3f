import { buildConnector } from "undici";
import { HttpConnection } from "./httpConnection.js";

/**
 * Returns the `connect` option of an undici client or pool whose connections tell a reset from an orderly end.
 *
 * @param opts.onConnected called with each connection before undici uses it
 */
export function createHttpConnector(
    opts: { timeoutMs: number; onConnected?: (connection: HttpConnection) => void; },
): buildConnector.connector {
    // The connection itself ends the socket: one that Node.js closes at the peer's end doesn't tell of a reset after that.
    const connect = buildConnector({ timeout: opts.timeoutMs, allowHalfOpen: true });
    return (target, callback) =>
        connect(target, (...[error, socket]) => {
            if (error !== null) {
                callback(error, null);
                return;
            }
            const connection = new HttpConnection(socket);
            opts.onConnected?.(connection);
            // Undici uses of a socket only what a duplex stream has, and `ref` and `unref`.
            callback(null, connection as unknown as typeof socket);
        });
}
