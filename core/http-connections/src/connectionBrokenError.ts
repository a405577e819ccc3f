/**
 * A connection that was reset or failed otherwise. The clients that use connections convert it to errors of their own.
 * Its code isn't that of its cause, for which undici would end a response without a length as if it were complete.
 */
export class ConnectionBrokenError extends Error {
    readonly code = "CONNECTION_BROKEN";
    /** Code of the system's error, such as `ECONNRESET`, or its message. */
    readonly causeCode: string;
    /** Whether the peer or the network broke the connection. */
    readonly isBrokenByPeer: boolean;

    constructor(cause: NodeJS.ErrnoException) {
        super(`The connection broke: ${cause.code ?? cause.message}`, { cause });
        this.name = "ConnectionBrokenError";
        this.causeCode = cause.code ?? cause.message;
        this.isBrokenByPeer = cause.syscall !== undefined;
    }
}
